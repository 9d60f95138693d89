use {
    oriolehoist_port::{LeaseId, Revision},
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The revision of the last write.
    pub revision: Revision,
    /// The value, of at most one megabyte.
    pub value: String,
}

/// Request to write `value` if the entry still has the expected revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CasRequest {
    /// The key.
    pub key: String,
    /// The revision that the entry must have; [`Revision::ABSENT`] if it must not exist.
    pub expected: Revision,
    /// The new value.
    pub value: String,
    /// The lease with which the entry expires, if any.
    pub lease: Option<LeaseId>,
}

/// Request for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// How long the lease lasts without renewal.
    pub ttl: Millis,
}

/// Response to a [`LeaseRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The granted lease.
    pub id: LeaseId,
}

/// Request to wait until an entry whose key has a prefix is written after a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The prefix of the keys.
    pub prefix: String,
    /// Only entries with a later revision are returned.
    pub after: Revision,
    /// The maximum time to wait.
    pub wait: Millis,
}

/// Response to a [`WatchRequest`]. It has no entries if the request timed out.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The entries written after [`WatchRequest::after`], ordered by revision.
    pub entries: Vec<Entry>,
}
