use {
    crate::assigner::ServerIndex,
    oriolehoist_protocol::{
        AcceptTermRequest, AcceptTermResponse, HeartbeatResponse, InstanceName, Order,
        OrderResponse, ServerName, ShardGrant, ShardId, Witness,
    },
    oriolehoist_time::Millis,
};

/// An input of an [`Assigner`](crate::Assigner).
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A server responded to a probe or a renewal.
    OrderResponse {
        /// The server.
        server: ServerIndex,
        /// When the order was sent, on the assigner's clock.
        sent: Millis,
        /// Whether the order was a probe. Only responses to probes list the server's grants.
        is_probe: bool,
        /// The response.
        response: OrderResponse,
    },
    /// A server responded to a revocation: no work is in flight under the grants any more.
    RevokeResponse {
        /// The server.
        server: ServerIndex,
        /// The grants that the order revoked.
        grants: Vec<ShardGrant>,
        /// The response.
        response: OrderResponse,
    },
    /// A daemon responded to a heartbeat.
    HeartbeatResponse {
        /// The daemon.
        from: InstanceName,
        /// When the heartbeat was sent, on the assigner's clock.
        sent: Millis,
        /// The response.
        response: HeartbeatResponse,
    },
    /// A witness of a previous record responded to a request to accept the assigner's term.
    AcceptTermResponse {
        /// The witness as listed in the previous record.
        from: Witness,
        /// The response. A response from a newer incarnation at the same address counts as well:
        /// the listed incarnation has ended, and no newer one grants leases under that record.
        response: AcceptTermResponse,
    },
    /// Replaces the set of leaving servers. Takes effect on the next tick.
    ServersLeaving(Vec<ServerName>),
    /// Replaces the bindings of shards to servers. Takes effect on the next tick.
    Bindings(Vec<ShardBinding>),
}

/// Restricts a shard to the servers that may own it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardBinding {
    /// The shard.
    pub shard: ShardId,
    /// The servers that may own the shard.
    pub servers: Vec<ServerName>,
}

/// An action that an [`Assigner`](crate::Assigner) requests from its caller.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends an order to a server.
    SendOrder {
        /// The server.
        server: ServerIndex,
        /// The order.
        order: Order,
    },
    /// Asks a witness of a previous record to accept the assigner's term.
    SendAcceptTerm {
        /// The witness.
        witness: Witness,
        /// The request.
        request: AcceptTermRequest,
    },
    /// All grants of previous holders have expired, and those to servers that are no longer listed
    /// have ended: the record may be replaced by a settled one.
    Settled,
    /// A higher term exists. This assigner has stopped.
    StepDown,
}
