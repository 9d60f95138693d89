use {
    bytes::Bytes,
    derive_more::Display,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// A revision of the store. Every change of the store increases it, and each item has the revision
/// of its last write.
///
/// The upper 24 bits are the [`StoreEra`] in which it was read, and the lower 40 bits the store's own
/// number. So every revision of a later era is higher, although the store issues its numbers again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// In a condition, requires that the key does not exist.
    pub const ABSENT: Revision = Revision(0);
    /// The number of bits for the store's own number.
    pub const NUMBER_BITS: u32 = 40;

    /// Creates the revision with this number in an era.
    pub fn new(era: StoreEra, number: u64) -> Revision {
        let era = era.0.min((1 << (u64::BITS - Self::NUMBER_BITS)) - 1);
        Revision(era << Self::NUMBER_BITS | number & ((1 << Self::NUMBER_BITS) - 1))
    }

    /// Returns the era.
    pub fn era(self) -> StoreEra {
        StoreEra(self.0 >> Self::NUMBER_BITS)
    }

    /// Returns the store's own number.
    pub fn number(self) -> u64 {
        self.0 & ((1 << Self::NUMBER_BITS) - 1)
    }
}

/// The era of the store's data. It increases each time the store continues from an older copy of its
/// data. It is zero if the store names none.
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
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// Identifies a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A key-value pair.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The revision of the last write to the key.
    pub revision: Revision,
}

/// A change reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The item was written.
    Written(Item),
    /// The key was removed.
    Removed {
        /// The key.
        key: String,
        /// The revision of the removal.
        revision: Revision,
    },
}

impl Change {
    /// Returns the key that was written or removed.
    pub fn key(&self) -> &str {
        match self {
            Change::Written(item) => &item.key,
            Change::Removed { key, .. } => key,
        }
    }
}

/// An atomic write of several values, which is applied only if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The revisions that keys are required to have.
    pub conditions: Vec<(String, Revision)>,
    /// The values to write.
    pub puts: Vec<Put>,
}

/// A value that a [`Transaction`] writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The lease that the item is attached to; the item is deleted when the lease ends.
    pub lease: Option<LeaseId>,
}

impl Transaction {
    /// Adds a condition on the revision of a key.
    #[must_use]
    pub fn require_revision(mut self, key: impl Into<String>, revision: Revision) -> Transaction {
        self.conditions.push((key.into(), revision));
        self
    }

    /// Adds a value to write.
    #[must_use]
    pub fn put(
        mut self,
        key: impl Into<String>,
        value: impl Into<Bytes>,
        lease: Option<LeaseId>,
    ) -> Transaction {
        self.puts.push(Put { key: key.into(), value: value.into(), lease });
        self
    }
}

/// A request to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Reads an item.
    Get(String),
    /// Reads a page of the items under a prefix.
    List {
        /// The prefix of the keys.
        prefix: String,
        /// The last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// Waits for changes under a prefix.
    Watch {
        /// The prefix of the keys.
        prefix: String,
        /// Only changes after this revision are returned.
        after: Revision,
        /// The maximum time to wait.
        wait: Millis,
    },
    /// Writes values if all conditions hold.
    Transaction(Transaction),
    /// Creates a lease with this time to live.
    CreateLease(Millis),
    /// Extends a lease by its time to live.
    RenewLease(LeaseId),
    /// Revokes a lease, which deletes the items attached to it.
    RevokeLease(LeaseId),
}

/// The category under which a request is counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRequestKind {
    /// Reads of an item or a page of items.
    Read,
    /// Watches.
    Watch,
    /// Writes, and the creation and revocation of leases.
    Write,
    /// Renewals of leases.
    RenewLease,
}

impl StoreRequest {
    /// Returns the latest era of the revisions that the request refers to, if it refers to any.
    pub fn era(&self) -> Option<StoreEra> {
        match self {
            StoreRequest::Watch { after, .. } => Some(after.era()),
            StoreRequest::Transaction(transaction) => {
                let conditions = transaction.conditions.iter().map(|(_, revision)| *revision);
                let required = conditions.filter(|revision| *revision != Revision::ABSENT);
                required.map(Revision::era).max()
            }
            _ => None,
        }
    }

    /// Returns the category under which the request is counted.
    pub fn kind(&self) -> StoreRequestKind {
        match self {
            StoreRequest::Get(_) | StoreRequest::List { .. } => StoreRequestKind::Read,
            StoreRequest::Watch { .. } => StoreRequestKind::Watch,
            StoreRequest::Transaction(_)
            | StoreRequest::CreateLease(_)
            | StoreRequest::RevokeLease(_) => StoreRequestKind::Write,
            StoreRequest::RenewLease(_) => StoreRequestKind::RenewLease,
        }
    }
}

impl StoreRequestKind {
    /// Returns the label value in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            StoreRequestKind::Read => "read",
            StoreRequestKind::Watch => "watch",
            StoreRequestKind::Write => "write",
            StoreRequestKind::RenewLease => "keep",
        }
    }
}

/// The store's response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// Response to [`StoreRequest::Get`].
    Item {
        /// The item, if the key exists.
        item: Option<Item>,
        /// The store's revision, from which a watch can continue; the item's revision if the
        /// response does not contain it, and [`Revision::ABSENT`] if the key does not exist.
        revision: Revision,
    },
    /// Response to [`StoreRequest::List`].
    Page {
        /// The items.
        items: Vec<Item>,
        /// Whether there are more pages.
        has_more: bool,
        /// The store's revision, from which a watch can continue.
        revision: Revision,
    },
    /// Response to [`StoreRequest::Watch`].
    Changes {
        /// The changes, in order.
        changes: Vec<Change>,
        /// The revision from which the next watch continues.
        revision: Revision,
    },
    /// Response to [`StoreRequest::Watch`]: the history after the given revision is no longer
    /// available, or the revision is of an earlier era.
    HistoryCompacted,
    /// Response to [`StoreRequest::Transaction`]: the values were written at this revision.
    Committed(Revision),
    /// Response to [`StoreRequest::Transaction`]: a condition did not hold. Contains the items that
    /// the conditions refer to.
    Conflict(Vec<Item>),
    /// Response to [`StoreRequest::CreateLease`] and [`StoreRequest::RenewLease`].
    Lease {
        /// The id of the lease, if it was created by the request.
        id: Option<LeaseId>,
        /// The time to live that the store applies.
        ttl: Millis,
    },
    /// Response to [`StoreRequest::Transaction`] and [`StoreRequest::RenewLease`]: the lease does
    /// not exist, or no longer exists.
    LeaseNotFound,
    /// Response to [`StoreRequest::RevokeLease`], also if the lease did not exist.
    LeaseRevoked,
}
