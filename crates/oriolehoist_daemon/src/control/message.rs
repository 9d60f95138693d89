//! The messages of the control actor.

use {
    oriolehoist_ownership::{AssignerStatus, ServerIndex},
    oriolehoist_platform::{Instance, Revision},
    oriolehoist_protocol::{
        AcceptTermRequest, AcceptTermResponse, Assignment, BuildCounts, Heartbeat,
        HeartbeatResponse, HolderQuery, InstanceName, OrderResponse, PeerHello, Resignation,
        ServiceName, ShardGrant, Term, TermRecord, Version, Witness,
    },
    oriolehoist_settings::SettingsVersion,
    oriolehoist_time::Millis,
    serde::Serialize,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// Wraps a value of any type as an actor's reply.
#[derive(Debug, kameo::Reply)]
pub(crate) struct Reply<T: Send + 'static>(pub(crate) T);

/// Sent at regular intervals to drive timeouts and periodic work.
pub(crate) struct Tick;

/// Makes the daemon give up its terms and win no new ones.
pub(crate) struct Stop;

/// A heartbeat from an assigner at another daemon.
pub(crate) struct PeerHeartbeat(pub(crate) Heartbeat);

/// A new assigner's request to accept its term.
pub(crate) struct PeerAcceptTerm(pub(crate) AcceptTermRequest);

/// An assigner has given up its term.
pub(crate) struct PeerResigned(pub(crate) Resignation);

/// A peer's query whether this daemon has lost contact with the holder of a term.
pub(crate) struct QueryHolder(pub(crate) HolderQuery);

/// Requests this daemon's identity and the versions that it holds.
pub(crate) struct GetHello;

/// Requests the settings in force.
pub(crate) struct GetSettings;

/// Requests the assignment by which this daemon routes a service.
pub(crate) struct GetAssignment(pub(crate) ServiceName);

/// Requests the daemon's status for operators.
pub(crate) struct GetStatus;

/// A peer has responded with its identity and the versions that it holds.
pub(crate) struct HelloReceived {
    pub(crate) address: SocketAddr,
    pub(crate) hello: PeerHello,
}

/// Requests the next [`SyncPlan`].
pub(crate) struct GetSyncPlan;

/// Which peers to poll, and what to fetch from which peer.
#[derive(Debug, Default)]
pub(crate) struct SyncPlan {
    /// Whether settings are in force.
    pub(crate) has_settings: bool,
    pub(crate) poll: Vec<SocketAddr>,
    pub(crate) settings_from: Option<SocketAddr>,
    pub(crate) assignments_from: Vec<(ServiceName, SocketAddr)>,
}

/// The platform's list of instances has been read.
pub(crate) struct InstancesListed(pub(crate) Vec<Instance>);

/// A version of the settings has been read from the store or a peer.
pub(crate) struct SettingsReceived(pub(crate) SettingsVersion);

/// A peer's copy of an assignment has been fetched.
pub(crate) struct AssignmentReceived(pub(crate) Assignment);

/// A backend server has responded to an order.
pub(crate) struct OrderResponseReceived {
    pub(crate) service: ServiceName,
    pub(crate) term: Term,
    pub(crate) server: ServerIndex,
    pub(crate) sent: Millis,
    pub(crate) is_probe: bool,
    /// The grants that the order revoked, if it was a revocation.
    pub(crate) revoked_grants: Option<Vec<ShardGrant>>,
    pub(crate) response: OrderResponse,
}

/// A daemon has responded to a heartbeat.
pub(crate) struct HeartbeatResponseReceived {
    pub(crate) service: ServiceName,
    pub(crate) term: Term,
    pub(crate) from: InstanceName,
    pub(crate) sent: Millis,
    pub(crate) response: HeartbeatResponse,
}

/// A witness has responded to a request to accept a term.
pub(crate) struct AcceptTermResponseReceived {
    pub(crate) service: ServiceName,
    pub(crate) term: Term,
    pub(crate) from: Witness,
    pub(crate) response: AcceptTermResponse,
}

/// An attempt to write a service's term record has ended.
pub(crate) struct RecordWriteFinished {
    pub(crate) service: ServiceName,
    /// The record found in the store afterwards, or `None` if that is unknown.
    pub(crate) found: Option<TermRecord>,
    /// The assignment that the store holds; read only if this daemon holds the term.
    pub(crate) stored: Option<StoredAssignment>,
}

/// An assignment in the store, with its revision.
pub(crate) struct StoredAssignment {
    pub(crate) assignment: Assignment,
    pub(crate) revision: Revision,
}

/// An attempt to write a service's assignment has ended.
pub(crate) struct AssignmentWriteFinished {
    pub(crate) service: ServiceName,
    pub(crate) term: Term,
    /// The version that the store now holds and its revision, or `None` if that is unknown. The
    /// version is 0 if the store holds no assignment of this term, and the maximum if it holds one
    /// of a higher term.
    pub(crate) stored: Option<(Version, Revision)>,
}

/// The status of a daemon, for operators.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct DaemonStatus {
    pub(crate) instance: InstanceName,
    pub(crate) zone: oriolehoist_protocol::ZoneName,
    pub(crate) stopping: bool,
    pub(crate) settings: Version,
    pub(crate) build: SmolStr,
    /// How many of this daemon and its live peers run which build.
    pub(crate) builds: BuildCounts,
    pub(crate) peers: Vec<PeerStatus>,
    pub(crate) services: Vec<ServiceStatus>,
}

/// The status of a peer, for operators.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PeerStatus {
    pub(crate) instance: InstanceName,
    pub(crate) address: SocketAddr,
    pub(crate) settings: Version,
    pub(crate) leaving: bool,
    pub(crate) build: SmolStr,
}

/// The status of a keyed service, for operators.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ServiceStatus {
    pub(crate) service: ServiceName,
    pub(crate) term: Term,
    pub(crate) version: Version,
    /// The holder of the term that this daemon follows, if it knows one.
    pub(crate) assigner: Option<InstanceName>,
    /// The time since the assigner's last heartbeat.
    pub(crate) heard_ago: Millis,
    pub(crate) unserved_shards: usize,
    /// Present at the daemon that holds the service's term.
    pub(crate) assigning: Option<AssignerStatus>,
}
