//! What the control actor is told and asked.

use {
    oriolehoist_ownership::{AssignerStatus, ServerIndex},
    oriolehoist_platform::{Instance, Revision},
    oriolehoist_protocol::{
        AcceptTermRequest, AcceptTermResponse, Assignment, Heartbeat, HeartbeatResponse,
        HolderQuery, InstanceName, OrderResponse, PeerHello, Resignation, ServiceName, ShardGrant,
        Term, TermRecord, Version, Witness,
    },
    oriolehoist_settings::SettingsVersion,
    oriolehoist_time::Millis,
    serde::Serialize,
    std::net::SocketAddr,
};

/// Wraps a reply, so that any type can be one.
#[derive(Debug, kameo::Reply)]
pub(crate) struct Reply<T: Send + 'static>(pub(crate) T);

/// Time has passed.
pub(crate) struct Tick;

/// The daemon is to hand its roles over and take no new ones.
pub(crate) struct Stop;

/// A heartbeat came from an assigner.
pub(crate) struct PeerHeartbeat(pub(crate) Heartbeat);

/// A new assigner asks to accept its term.
pub(crate) struct PeerAccept(pub(crate) AcceptTermRequest);

/// An assigner gave up its term.
pub(crate) struct PeerResigns(pub(crate) Resignation);

/// A peer asks whether the holder of a term is missed here.
pub(crate) struct AskMissing(pub(crate) HolderQuery);

/// A peer asks who this daemon is.
pub(crate) struct AskHello;

/// A peer asks for the settings.
pub(crate) struct AskSettings;

/// A peer asks for the assignment of a service.
pub(crate) struct AskAssignment(pub(crate) ServiceName);

/// An operator asks how things are.
pub(crate) struct AskStatus;

/// A peer told who it is.
pub(crate) struct PeerSeen {
    pub(crate) address: SocketAddr,
    pub(crate) hello: PeerHello,
}

/// The greeting loop asks what to do next.
pub(crate) struct AskPlan;

/// Whom to greet, and what to fetch from whom.
#[derive(Debug, Default)]
pub(crate) struct PeerPlan {
    pub(crate) has_settings: bool,
    pub(crate) greet: Vec<SocketAddr>,
    pub(crate) settings_from: Option<SocketAddr>,
    pub(crate) assignments_from: Vec<(ServiceName, SocketAddr)>,
}

/// The platform's list of instances was read.
pub(crate) struct InstancesListed(pub(crate) Vec<Instance>);

/// A version of the settings arrived from the store or from a peer.
pub(crate) struct SettingsArrived(pub(crate) SettingsVersion);

/// Another daemon's copy of an assignment arrived.
pub(crate) struct AssignmentArrived(pub(crate) Assignment);

/// A server answered an order.
pub(crate) struct OrderAnswered {
    pub(crate) service: ServiceName,
    pub(crate) term: Term,
    pub(crate) server: ServerIndex,
    pub(crate) sent: Millis,
    pub(crate) probed: bool,
    pub(crate) revoked: Option<Vec<ShardGrant>>,
    pub(crate) answer: OrderResponse,
}

/// A daemon answered a heartbeat.
pub(crate) struct HeartbeatAnswered {
    pub(crate) service: ServiceName,
    pub(crate) term: Term,
    pub(crate) from: InstanceName,
    pub(crate) sent: Millis,
    pub(crate) answer: HeartbeatResponse,
}

/// A witness answered a request to accept a term.
pub(crate) struct AcceptAnswered {
    pub(crate) service: ServiceName,
    pub(crate) term: Term,
    pub(crate) from: Witness,
    pub(crate) answer: AcceptTermResponse,
}

/// An attempt to write a service's record ended.
pub(crate) struct RecordAttempted {
    pub(crate) service: ServiceName,
    /// The record that the store holds now, if that could be learnt.
    pub(crate) found: Option<TermRecord>,
    /// The assignment that the store holds, for a record that was won.
    pub(crate) stored: Option<StoredAssignment>,
}

/// An assignment as the store holds it.
pub(crate) struct StoredAssignment {
    pub(crate) assignment: Assignment,
    pub(crate) revision: Revision,
}

/// An attempt to write a service's assignment ended.
pub(crate) struct AssignmentStored {
    pub(crate) service: ServiceName,
    pub(crate) term: Term,
    /// The version that the store now holds, with its revision; `None` if that isn't known.
    pub(crate) stored: Option<(Version, Revision)>,
}

/// How a daemon is, for operators.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct DaemonStatus {
    pub(crate) instance: InstanceName,
    pub(crate) zone: oriolehoist_protocol::ZoneName,
    pub(crate) stopping: bool,
    pub(crate) settings: Version,
    pub(crate) peers: Vec<PeerStatus>,
    pub(crate) services: Vec<ServiceStatus>,
}

/// One peer, for operators.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PeerStatus {
    pub(crate) instance: InstanceName,
    pub(crate) address: SocketAddr,
    pub(crate) settings: Version,
    pub(crate) leaving: bool,
}

/// One service that is split by key, for operators.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ServiceStatus {
    pub(crate) service: ServiceName,
    pub(crate) term: Term,
    pub(crate) version: Version,
    pub(crate) assigner: Option<InstanceName>,
    pub(crate) heard_ago: Millis,
    pub(crate) unserved_shards: usize,
    /// Present at the daemon that assigns.
    pub(crate) assigning: Option<AssignerStatus>,
}
