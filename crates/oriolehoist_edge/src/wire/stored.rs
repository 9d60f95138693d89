//! Values in the platform's store, next to the table of `oriolehoist_keyspace` and [`Member`].

use {
    crate::wire::Member,
    oriolehoist_port::{LeaseId, StoreEra},
    oriolehoist_protocol::SuspectReport,
    serde::{Deserialize, Serialize},
};

/// The value of the assigner key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AssignerRecord {
    /// The daemon that has the role.
    pub member: Member,
    /// The lease with which the key expires.
    pub lease: LeaseId,
    /// The store's era in which the key was written. The holder does not act in a later one.
    #[serde(default)]
    pub era: StoreEra,
}

/// The crash suspects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSuspects {
    /// The requests, with the crashes at which they were in flight.
    pub suspects: Vec<SuspectReport>,
}
