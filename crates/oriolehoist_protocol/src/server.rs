use {
    crate::{Epoch, Incarnation, ServiceName, ShardId, Term},
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// The grant of a shard to a backend server, under the epoch of the shard's assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardGrant {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the assignment.
    pub epoch: Epoch,
}

/// A grant as reported by the server that holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldGrant {
    /// The grant.
    pub grant: ShardGrant,
    /// Whether the grant has been revoked while work under it is still in flight.
    pub ending: bool,
}

/// A message from an assigner to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The service whose shards the order is about.
    pub service: ServiceName,
    /// The assigner's term. A server refuses orders with a lower term than the highest that it has
    /// seen.
    pub term: Term,
    /// The requested action.
    pub body: OrderBody,
}

/// The action requested by an [`Order`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderBody {
    /// Asks for the server's clock, incarnation and active grants, and fences off lower terms.
    Probe,
    /// Extends grants until `echo + length` on the server's own clock.
    Renew {
        /// The server's clock reading from an earlier response.
        echo: Millis,
        /// The server incarnation that `echo` comes from.
        incarnation: Incarnation,
        /// The duration of the grants, measured from `echo`.
        length: Millis,
        /// The number of the grant list, which increases with every change. Never zero, which
        /// stands for no list.
        list: u64,
        /// The full list, or `None` if the server already has list number `list`.
        grants: Option<Vec<ShardGrant>>,
    },
    /// Ends grants. The server responds once no work is in flight under them.
    Revoke {
        /// The grants to end.
        grants: Vec<ShardGrant>,
    },
}

/// The result of an [`Order`] at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The order was applied.
    Accepted,
    /// The server has seen a higher term. Nothing was changed.
    StaleTerm,
    /// The order is about another service than the server's. Nothing was changed.
    WrongService,
    /// The echoed time comes from an earlier incarnation. Nothing was changed.
    WrongIncarnation,
    /// The renewal is out of date: its grants would already have expired, or its list is older than
    /// the current one. Nothing was changed.
    StaleEcho,
    /// The server does not have the list that the renewal refers to, and needs the full list.
    UnknownList,
}

/// A backend server's report of its load, which may be outdated or wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of requests that the server can run concurrently.
    pub slots: u32,
    /// The number of requests currently running.
    pub running: u32,
    /// Whether the server started recently and is still warming up.
    pub cold: bool,
    /// Whether the server is draining and should receive no new work.
    pub draining: bool,
}

/// A backend server's response to an [`Order`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResponse {
    /// The result of the order.
    pub outcome: OrderOutcome,
    /// The server's current incarnation.
    pub incarnation: Incarnation,
    /// The server's clock at the time of the response.
    pub time: Millis,
    /// The highest term that the server has seen for the service.
    pub highest_term: Term,
    /// The number of the server's current grant list, or zero if it has received none under
    /// `highest_term`.
    pub list: u64,
    /// The server's active and ending grants. Only filled in for probes.
    pub held: Vec<HeldGrant>,
    /// The server's load.
    pub load: LoadReport,
}
