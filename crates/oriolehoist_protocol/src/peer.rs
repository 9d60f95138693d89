use {
    crate::{
        AssignmentDelta, Incarnation, ServiceName, Term, TermRecord, Version, Witness, ZoneName,
    },
    oriolehoist_reach::ReachSummary,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// An assigner's periodic message to every daemon.
///
/// It shows that the assigner is alive, carries changes of the assignment and asks each witness for
/// a lease. The assigner may renew grants only while leases of a majority of the witnesses are in
/// force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The service.
    pub service: ServiceName,
    /// The term of the sender.
    pub term: Term,
    /// The record of that term, or `None` if the receiver is known to have it.
    pub record: Option<TermRecord>,
    /// The assignment changes that the receiver does not have yet, if any.
    pub delta: Option<AssignmentDelta>,
    /// The settings version in use at the sender.
    pub settings: Version,
    /// Whether the receiver is to find out which servers it reaches. Missing in older versions.
    #[serde(default)]
    pub asks_reach: bool,
}

/// A daemon's response to a [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The incarnation of the responding daemon.
    pub incarnation: Incarnation,
    /// The highest term that the daemon has accepted.
    pub accepted: Term,
    /// Whether the daemon grants the assigner a lease, as a witness of the record that has accepted
    /// no higher term.
    #[serde(rename = "vouched")]
    pub lease_granted: bool,
    /// The daemon's assignment version under the heartbeat's term, or zero if it has none.
    pub version: Version,
    /// The write id of the daemon's record, or an empty string if it has none.
    pub record: SmolStr,
    /// The settings version in use at the daemon.
    pub settings: Version,
    /// How many of the service's servers the daemon reaches. Missing in older versions.
    #[serde(default)]
    pub reach: Option<ReachSummary>,
}

/// A new assigner's request that a witness of a previous record accept the new term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptTermRequest {
    /// The service.
    pub service: ServiceName,
    /// The new term.
    pub term: Term,
}

/// A witness's response to [`AcceptTermRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptTermResponse {
    /// The incarnation of the responding witness.
    pub incarnation: Incarnation,
    /// The highest term that the witness has accepted, including the requested one.
    pub accepted: Term,
    /// How long the last lease that the witness granted for any lower term may still be in force.
    #[serde(rename = "voucher_left")]
    pub lease_remaining: Millis,
}

/// A daemon's description of itself and its state, returned to any peer that asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// The daemon as it would be listed as a witness in a [`TermRecord`].
    pub witness: Witness,
    /// The daemon's availability zone.
    pub zone: ZoneName,
    /// Whether the daemon is shutting down.
    pub leaving: bool,
    /// The settings version in use at the daemon.
    pub settings: Version,
    /// The addresses of all daemons that this one knows, including its own, so that peers can be
    /// discovered without the platform.
    #[serde(rename = "known")]
    pub known_peers: Vec<SocketAddr>,
    /// The daemon's last contact with the assigner of each service.
    #[serde(rename = "heard")]
    pub assigner_contacts: Vec<AssignerContact>,
    /// The build of the daemon's program. Missing in older versions.
    #[serde(default)]
    pub build: Option<SmolStr>,
    /// The requests that may have crashed servers. Missing if the daemon knows none, and in older versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub suspects: Option<SuspectNews>,
}

/// A daemon's last contact with the assigner of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignerContact {
    /// The service.
    pub service: ServiceName,
    /// The time since the last heartbeat, or `None` if there was none.
    #[serde(rename = "ago")]
    pub last_heartbeat_age: Option<Millis>,
    /// The term and version of the assignment that the daemon routes by.
    pub assignment: (Term, Version),
}

/// Asks a witness whether it has lost contact with the holder of a service's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderQuery {
    /// The service.
    pub service: ServiceName,
    /// The term of the current record.
    pub term: Term,
}

/// A witness's response to [`HolderQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderQueryResponse {
    /// Whether the witness has not heard from the holder for so long that it should be replaced.
    #[serde(rename = "missing")]
    pub holder_lost: bool,
}

/// Announces that an assigner is stopping, so that it can be replaced without waiting for the
/// heartbeat timeout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resignation {
    /// The service.
    pub service: ServiceName,
    /// The term that the sender has given up.
    pub term: Term,
}

/// Reports that a request was being executed by a backend server when that server crashed, which
/// the request may have caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNotice {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The incarnation of the crashed server.
    pub crashed: Incarnation,
}

/// What a daemon tells others of the requests that were in flight at crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNews {
    /// Identifies the crashes that the sender knows. It is zero if there are none.
    pub digest: u64,
    /// What the sender knows, if the receiver may lack any of it.
    pub records: Vec<SuspectReport>,
}

/// A request, with the crashes at which it was in flight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The crashes.
    pub crashes: Vec<CrashReport>,
}

/// A crash of a server, as told by a daemon that knows of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The incarnation of the crashed server.
    pub crashed: Incarnation,
    /// The time since the crash.
    pub age: Millis,
    /// Whether the request was answered later.
    #[serde(default)]
    pub cleared: bool,
}
