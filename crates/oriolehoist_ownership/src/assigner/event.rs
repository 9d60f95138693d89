use {
    crate::assigner::ServerIndex,
    oriolehoist_protocol::{
        AcceptAnswer, AcceptTerm, HeartbeatAnswer, InstanceName, Order, ServerAnswer, ServerName,
        ShardGrant, ShardId, Witness,
    },
    oriolehoist_time::Millis,
};

/// What an [`Assigner`](crate::Assigner) reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A server answered a probe or a renewal.
    ServerAnswered {
        /// The server.
        server: ServerIndex,
        /// When the order was sent, by the assigner's clock.
        sent: Millis,
        /// Whether the order was a probe, whose answer lists what the server holds.
        probed: bool,
        /// Its answer.
        answer: ServerAnswer,
    },
    /// A server answered a revocation: the work in flight under the grants has ended.
    Revoked {
        /// The server.
        server: ServerIndex,
        /// The grants that the order named.
        grants: Vec<ShardGrant>,
        /// Its answer.
        answer: ServerAnswer,
    },
    /// A daemon answered a heartbeat.
    Heartbeat {
        /// The daemon.
        from: InstanceName,
        /// When the heartbeat was sent, by the assigner's clock.
        sent: Millis,
        /// Its answer.
        answer: HeartbeatAnswer,
    },
    /// A witness of an earlier record answered a request to accept this term.
    TermAccepted {
        /// The witness as the earlier record names it.
        from: Witness,
        /// Its answer. A new incarnation at the same address counts as well: the earlier one has
        /// ended, and no later one vouches for the earlier record.
        answer: AcceptAnswer,
    },
    /// These servers, and no others, are leaving. Takes effect with the next tick.
    ServersLeaving(Vec<ServerName>),
    /// Only these shards are bound to certain servers. Takes effect with the next tick.
    Bindings(Vec<ShardBinding>),
}

/// The servers that may own a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardBinding {
    /// The shard.
    pub shard: ShardId,
    /// The servers.
    pub servers: Vec<ServerName>,
}

/// What an [`Assigner`](crate::Assigner) asks the runtime to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends an order to a server.
    Send {
        /// The server.
        server: ServerIndex,
        /// The order.
        order: Order,
    },
    /// Asks a witness of an earlier record to accept this term.
    AskAccept {
        /// The witness.
        witness: Witness,
        /// The request.
        request: AcceptTerm,
    },
    /// No earlier holder can renew anything any more: the record may be rewritten with nothing
    /// unsettled.
    Settled,
    /// A higher term exists; this assigner does nothing more.
    StepDown,
}
