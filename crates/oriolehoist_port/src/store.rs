use {
    bytes::Bytes,
    derive_more::Display,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// The revision of an item. Every change in the store raises it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Stands for "the key does not exist" in a condition.
    pub const ABSENT: Revision = Revision(0);
}

/// Identifies a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The revision of the last write.
    pub revision: Revision,
}

/// A change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The item was written.
    Written(Item),
    /// The key was removed.
    Removed(String),
}

/// A write: all or nothing, and only if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Commit {
    /// The revisions that keys must have.
    pub conditions: Vec<(String, Revision)>,
    /// What is written.
    pub puts: Vec<Put>,
}

/// One value of a [`Commit`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The lease with which the item ends.
    pub lease: Option<LeaseId>,
}

impl Commit {
    /// Adds a condition.
    #[must_use]
    pub fn expect(mut self, key: impl Into<String>, revision: Revision) -> Commit {
        self.conditions.push((key.into(), revision));
        self
    }

    /// Adds a value.
    #[must_use]
    pub fn put(
        mut self,
        key: impl Into<String>,
        value: impl Into<Bytes>,
        lease: Option<LeaseId>,
    ) -> Commit {
        self.puts.push(Put { key: key.into(), value: value.into(), lease });
        self
    }
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads one item.
    Get(String),
    /// Reads a page of the items under a prefix, after a key.
    List {
        /// The prefix of the keys.
        prefix: String,
        /// The last key of the page before.
        after: Option<String>,
    },
    /// Waits for a change under a prefix.
    Watch {
        /// The prefix of the keys.
        prefix: String,
        /// Only later changes are of interest.
        after: Revision,
        /// The longest wait.
        wait: Millis,
    },
    /// Writes under conditions.
    Commit(Commit),
    /// Opens a lease of this length.
    OpenLease(Millis),
    /// Renews a lease.
    KeepLease(LeaseId),
    /// Ends a lease, and with it its items.
    EndLease(LeaseId),
}

/// How calls are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCallKind {
    /// Reads an item or a page.
    Read,
    /// Waits for a change.
    Watch,
    /// Writes.
    Write,
    /// Renews a lease.
    Keep,
}

impl StoreCall {
    /// Returns how the call is counted.
    pub fn kind(&self) -> StoreCallKind {
        match self {
            StoreCall::Get(_) | StoreCall::List { .. } => StoreCallKind::Read,
            StoreCall::Watch { .. } => StoreCallKind::Watch,
            StoreCall::Commit(_) | StoreCall::OpenLease(_) | StoreCall::EndLease(_) => {
                StoreCallKind::Write
            }
            StoreCall::KeepLease(_) => StoreCallKind::Keep,
        }
    }
}

impl StoreCallKind {
    /// Returns the kind's name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            StoreCallKind::Read => "read",
            StoreCallKind::Watch => "watch",
            StoreCallKind::Write => "write",
            StoreCallKind::Keep => "keep",
        }
    }
}

/// The store's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// To [`StoreCall::Get`].
    Item {
        /// The item, if the key exists.
        item: Option<Item>,
        /// The store's revision, from where a watch can continue; that of the item if the store
        /// does not say.
        at: Revision,
    },
    /// To [`StoreCall::List`].
    Page {
        /// The items.
        items: Vec<Item>,
        /// Whether there are further pages.
        more: bool,
        /// The store's revision.
        at: Revision,
    },
    /// To [`StoreCall::Watch`].
    Changes {
        /// What has changed, in order.
        changes: Vec<Change>,
        /// From where to continue.
        at: Revision,
    },
    /// To [`StoreCall::Watch`]: that history is no longer available.
    HistoryGone,
    /// To [`StoreCall::Commit`]: done at this revision.
    Committed(Revision),
    /// To [`StoreCall::Commit`]: a condition did not hold; the items that were compared.
    Conflict(Vec<Item>),
    /// To [`StoreCall::OpenLease`] and [`StoreCall::KeepLease`].
    Lease {
        /// The lease, when it was opened.
        id: Option<LeaseId>,
        /// The length that applies.
        length: Millis,
    },
    /// The lease has ended.
    LeaseGone,
    /// To [`StoreCall::EndLease`].
    Ended,
}
