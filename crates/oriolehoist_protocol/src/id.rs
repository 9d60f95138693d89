use {
    derive_more::{Display, From},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    xxhash_rust::xxh3::xxh3_64,
};

/// Declares a name as a text type of its own.
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
            /// Returns the name as text.
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
    /// The name of one entry instance, unique within a site.
    InstanceName
);
name!(
    /// The name of one backend server, unique within a service.
    ServerName
);
name!(
    /// The name of a service. A keyed service is also one cell of shards.
    ServiceName
);
name!(
    /// The name of an availability zone.
    ZoneName
);

/// Declares a number as an ordered type of its own.
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
    /// The term of an assigner. A higher term fences every lower one. Zero means that none was seen.
    Term(u64)
);
number!(
    /// One life of a process. A restart draws a new one.
    Incarnation(u64)
);
number!(
    /// A shard's index within its service.
    ShardId(u32)
);
number!(
    /// A version of the settings or of an assignment. It never falls.
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
    /// Returns the shard that holds `key` in a service of `shards` shards. `shards` must not be zero.
    pub fn of_key(key: &str, shards: u32) -> ShardId {
        let hash = xxh3_64(key.as_bytes());
        // Taking the high bits by multiplication is uniform without a division.
        let index = (u128::from(hash) * u128::from(shards)) >> 64;
        ShardId(u32::try_from(index).unwrap_or(0))
    }

    /// Returns the shard's position in a vector of shards.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}

/// Identifies one assignment of a shard to an owner. Unique across terms.
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
    /// Counts the assignments of that term from one.
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

    /// Parses the form that [`Display`](std::fmt::Display) writes, such as `3.17`.
    pub fn parse(text: &str) -> Option<Epoch> {
        let (term, sequence) = text.split_once('.')?;
        Some(Epoch { term: Term(term.parse().ok()?), sequence: sequence.parse().ok()? })
    }
}
