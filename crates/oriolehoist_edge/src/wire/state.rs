//! The messages by which the assigner tells the daemons the state.

use {
    bytes::Bytes,
    oriolehoist_backoff::StoreNews,
    oriolehoist_evacuation::{EvacuationNews, EvacuationVersion},
    oriolehoist_fleet::FleetNews,
    oriolehoist_keyspace::{Holder, LoadReport},
    oriolehoist_port::InstanceSize,
    oriolehoist_protocol::{Incarnation, SuspectNews},
    oriolehoist_reach::ReachSummary,
    oriolehoist_registry::{RegistryChanges, RegistryVersion},
    oriolehoist_replica::{MapUpdate, TermVersion},
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::{IpAddr, SocketAddr},
};

/// A daemon of the cluster, as registered in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of its instance.
    pub instance: SmolStr,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The address for messages of other daemons.
    pub address: SocketAddr,
    /// Missing in the entries of older versions, like the size.
    #[serde(default)]
    pub zone: SmolStr,
    /// The size of its machine.
    #[serde(default)]
    pub size: InstanceSize,
    /// Whether it can relay the assigner's messages.
    #[serde(default)]
    pub relays: bool,
    /// The build of its program. Missing in the entries of releases up to 36b0849, and in those that
    /// such a release has passed on.
    #[serde(default)]
    pub build: Option<SmolStr>,
    /// Whether it sends requests to cold servers with permits only. Missing in the entries of releases up to
    /// e2a1875, which share the limits of cold servers among themselves.
    #[serde(default)]
    pub asks_for_permits: bool,
}

impl Member {
    /// Returns whether both are the same run of a daemon at the same address. The other fields may
    /// differ: a daemon that does not know a field passes the entry on without it.
    pub fn is_same_run(&self, other: &Member) -> bool {
        self.instance == other.instance
            && self.incarnation == other.incarnation
            && self.address == other.address
    }
}

/// The version of each part of the state that a daemon has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version of the configuration, zero if there is none.
    pub config: u64,
    /// The version of the registered servers.
    pub servers: RegistryVersion,
    /// The version of the routes by key.
    pub routes: TermVersion,
    /// The version of the list of daemons.
    pub members: TermVersion,
    /// Missing in the messages of older versions, and if the evacuated zones are not known.
    #[serde(default)]
    pub evacuations: Option<EvacuationVersion>,
}

/// The key of a range in the replicated routes: its service and its first key.
pub type RouteKey = (SmolStr, u16);
/// The last key of a range, and the server that serves it.
pub type RouteEntry = (u16, Holder);

/// Sent by the assigner to every daemon regularly and after each change. Contains only what the
/// receiver lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncMessage {
    /// The sender.
    pub from: Member,
    /// The highest term that the sender knows: its own if it is the assigner.
    pub term: u64,
    /// What the sender has of each part of the state.
    pub versions: Versions,
    /// The time within which the next message follows.
    pub interval: Millis,
    /// The time since the server list was last confirmed by the store.
    pub servers_age: Millis,
    /// The time since the configuration was last confirmed by the store. Missing in the messages of
    /// older versions.
    #[serde(default)]
    pub config_age: Option<Millis>,
    /// Whether the assigner is about to give up its role.
    pub resigning: bool,
    /// The time since a relay last heard from the assigner, or `None` if the sender is the assigner.
    #[serde(default)]
    pub relayed_after: Option<Millis>,
    /// The daemons that the receiver relays the state to.
    #[serde(default)]
    pub children: Vec<SmolStr>,
    /// All relays, if the receiver is one.
    #[serde(default)]
    pub relays: Vec<SmolStr>,
    /// The short ids of servers of which the assigner wants to know whether the receiver reaches them.
    #[serde(default)]
    pub asked: Vec<u32>,
    /// The evacuated zones. Missing in the messages of older versions.
    #[serde(default)]
    pub evacuations: Option<EvacuationNews>,
    /// What the sender knows of calls to the store. Missing in the messages of older versions.
    #[serde(default)]
    pub store: Option<StoreNews>,
    /// How long servers take for a request according to all daemons, in tenths of a millisecond, by
    /// the short ids of the servers. Missing in the messages of older versions.
    #[serde(default)]
    pub server_speeds: Vec<(u32, u32)>,
    /// The number of daemons. Missing in the messages of older versions, and if it is not known.
    #[serde(default)]
    pub fleet_size: Option<FleetNews>,
    /// The requests that may have crashed servers. Missing if the sender knows none, and in the messages
    /// of releases up to bd8a48a.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub suspects: Option<SuspectNews>,
    /// The address of the daemon that issues permits to send requests. Missing in the messages of
    /// releases up to e2a1875, and if the sender knows none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub permit_issuer: Option<IpAddr>,
    /// The configuration as it is in the store.
    pub config: Option<Bytes>,
    /// The registered servers that changed.
    pub servers: Option<RegistryChanges>,
    /// The routes by key that changed.
    pub routes: Option<MapUpdate<RouteKey, RouteEntry>>,
    /// The daemons that changed.
    pub members: Option<MapUpdate<SmolStr, Member>>,
}

/// The response to a [`SyncMessage`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncResponse {
    /// The daemon that responded. Missing in the responses of older versions.
    #[serde(default)]
    pub from: Option<Member>,
    /// The highest term known to the daemon.
    pub term: u64,
    /// What the daemon has of each part of the state.
    pub versions: Versions,
    /// The configuration, if it is newer than the assigner's.
    pub config: Option<Bytes>,
    /// The requests and service times measured by the daemon since its last response, by service.
    pub load: Vec<(SmolStr, LoadReport)>,
    /// The daemons that a relay can't reach.
    #[serde(default)]
    pub unresponsive: Vec<SmolStr>,
    /// How many of the servers that it was asked for the daemon reaches.
    #[serde(default)]
    pub reach: Option<ReachSummary>,
    /// The requests that may have crashed servers. Missing if the daemon knows none, and in the responses
    /// of releases up to bd8a48a.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub suspects: Option<SuspectNews>,
}

impl SyncResponse {
    /// Returns whether the daemon responded that the message was for, and not another one that has
    /// its address now. A restarted daemon counts as the same, because the versions are its own.
    pub fn is_from(&self, member: &Member) -> bool {
        self.from.as_ref().is_none_or(|from| from.instance == member.instance)
    }
}
