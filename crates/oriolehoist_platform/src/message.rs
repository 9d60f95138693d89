use {
    oriolehoist_port::{LeaseId, Revision},
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The revision of the last write.
    pub revision: Revision,
    /// The value, at most a megabyte.
    pub value: String,
}

/// Asks to write `value` if the entry still has the expected revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CasRequest {
    /// The key.
    pub key: String,
    /// The revision that the entry must have.
    pub expected: Revision,
    /// The new value.
    pub value: String,
    /// The lease with which the entry ends, if any.
    pub lease: Option<LeaseId>,
}

/// Asks for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// How long the lease lasts without being kept alive.
    pub ttl: Millis,
}

/// A lease that was granted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseGranted {
    /// The lease.
    pub id: LeaseId,
}

/// Waits for entries under a prefix that are newer than a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The prefix of the keys.
    pub prefix: String,
    /// Only later revisions are of interest.
    pub after: Revision,
    /// The longest wait.
    pub wait: Millis,
}

/// The entries that a watch found; none if its wait ran out.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Changed entries in the order of their revisions.
    pub entries: Vec<Entry>,
}
