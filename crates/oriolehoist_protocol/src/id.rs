use {
    derive_more::{Display, From},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    xxhash_rust::xxh3::xxh3_64,
};

/// Declares a newtype around a string.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub SmolStr);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name(SmolStr::new(text))
            }
        }
    };
}

name!(
    /// The name of an instance that runs a daemon, unique within a site.
    InstanceName
);
name!(
    /// The name of a backend server, unique within a service.
    ServerName
);
name!(
    /// The name of a service. A service that is sharded by key has its own shards and assigner.
    ServiceName
);
name!(
    /// The name of an availability zone.
    ZoneName
);

/// Declares an ordered newtype around an integer.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    };
}

number!(
    /// The term of an assigner. A higher term fences off every lower one. Zero means that no term
    /// has been seen yet.
    Term(u64)
);
number!(
    /// Identifies one run of a process. A restarted process has a new incarnation.
    Incarnation(u64)
);
number!(
    /// The index of a shard within its service.
    ShardId(u32)
);
number!(
    /// The version of the settings, or of an assignment within its term. Versions never decrease.
    Version(u64)
);

impl Term {
    /// Returns the term after this one.
    pub const fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

impl Version {
    /// Returns the version after this one.
    pub const fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl ShardId {
    /// Returns the shard of `key` in a service of `shards` shards. `shards` must not be zero.
    pub fn of_key(key: &str, shards: u32) -> ShardId {
        let hash = xxh3_64(key.as_bytes());
        // Multiplying and taking the high bits maps the hash uniformly without a division.
        let index = (u128::from(hash) * u128::from(shards)) >> 64;
        ShardId(u32::try_from(index).unwrap_or(0))
    }

    /// Returns the index as a `usize`, for indexing vectors with one element per shard.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// Identifies one assignment of a shard to an owner. Epochs of a service are unique, also across
/// terms, and ordered.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{term}.{sequence}")]
pub struct Epoch {
    /// The term of the assigner that made the assignment.
    pub term: Term,
    /// The number of the assignment within the term, starting at 1.
    pub sequence: u64,
}

impl Epoch {
    /// Returns the first epoch of a term.
    pub const fn first(term: Term) -> Epoch {
        Epoch { term, sequence: 1 }
    }

    /// Returns the next epoch of the same term.
    pub const fn next(self) -> Epoch {
        Epoch { term: self.term, sequence: self.sequence + 1 }
    }

    /// Parses the [`Display`](std::fmt::Display) form, such as `3.17`.
    pub fn parse(text: &str) -> Option<Epoch> {
        let (term, sequence) = text.split_once('.')?;
        Some(Epoch { term: Term(term.parse().ok()?), sequence: sequence.parse().ok()? })
    }
}
