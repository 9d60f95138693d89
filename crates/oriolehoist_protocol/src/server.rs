use {
    crate::{Epoch, Incarnation, ServiceName, ShardId, Term},
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// A shard with the epoch of its assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardGrant {
    /// The shard.
    pub shard: ShardId,
    /// The assignment's epoch.
    pub epoch: Epoch,
}

/// A grant as a server reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// The grant.
    pub grant: ShardGrant,
    /// Whether it was revoked, and work under it is still in flight.
    pub ending: bool,
}

/// A message from an assigner to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service whose shards the order is about.
    pub service: ServiceName,
    /// The assigner's term. A server refuses any term lower than the highest that it has seen.
    pub term: Term,
    /// What to do.
    pub body: OrderBody,
}

/// What an [`Order`] asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderBody {
    /// Reports the server's clock, incarnation and live grants, and fences lower terms.
    Probe,
    /// Prolongs grants until `echo + length` on the server's own clock.
    Renew {
        /// The server's time from an earlier answer, echoed.
        echo: Millis,
        /// The incarnation that gave that time.
        incarnation: Incarnation,
        /// How long the grants last, counted from `echo`.
        length: Millis,
        /// Numbers the list of granted shards. Zero is never used.
        list: u64,
        /// The whole list, or `None` when the server already holds list number `list`.
        grants: Option<Vec<ShardGrant>>,
    },
    /// Ends grants. Answered once the work in flight under them has ended.
    Revoke {
        /// The grants to end.
        grants: Vec<ShardGrant>,
    },
}

/// How a backend server took an [`Order`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The order is in force.
    Accepted,
    /// A higher term was seen; nothing was changed.
    StaleTerm,
    /// The echoed time is of an earlier incarnation; nothing was changed.
    WrongIncarnation,
    /// The grant would already have ended; nothing was changed.
    StaleEcho,
    /// The server does not hold the list that the renewal names; it needs the whole list.
    UnknownList,
}

/// What a backend server reports of its load. It may lag or mislead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// How many requests the server runs at once.
    pub slots: u32,
    /// How many requests are running.
    pub running: u32,
    /// Whether the server has just started and is still slow.
    pub cold: bool,
    /// Whether the server is draining and wants no new work.
    pub draining: bool,
}

/// A backend server's answer to an [`Order`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerAnswer {
    /// How the order was taken.
    pub outcome: OrderOutcome,
    /// The server's present incarnation.
    pub incarnation: Incarnation,
    /// The server's own clock when it answered.
    pub time: Millis,
    /// The highest term that the server has seen for the service.
    pub highest_term: Term,
    /// The number of the grant list that it holds.
    pub list: u64,
    /// Its live grants; filled in for a probe only.
    pub held: Vec<HeldGrant>,
    /// Its load.
    pub load: LoadReport,
}
