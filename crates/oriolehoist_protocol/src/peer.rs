use {
    crate::{
        AssignmentDelta, Incarnation, ServiceName, Term, TermRecord, Version, Witness, ZoneName,
    },
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// An assigner's periodic message to every daemon.
///
/// It shows that the assigner lives, carries changes of the assignment and asks for a voucher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The service.
    pub service: ServiceName,
    /// The term under which the sender assigns.
    pub term: Term,
    /// The record of that term, unless the receiver is known to hold it.
    pub record: Option<TermRecord>,
    /// What the receiver has yet to learn, if anything.
    pub delta: Option<AssignmentDelta>,
    /// The settings version in force at the sender.
    pub settings: Version,
}

/// A daemon's answer to a [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// The process life that answers.
    pub incarnation: Incarnation,
    /// The highest term that it has accepted.
    pub accepted: Term,
    /// Whether it vouches that it has accepted no higher term, as a witness of the record.
    pub vouched: bool,
    /// The assignment version that it now holds under the heartbeat's term, or zero.
    pub version: Version,
    /// The write id of the record that it holds, or nothing.
    pub record: SmolStr,
    /// The settings version in force there.
    pub settings: Version,
}

/// A new assigner's request to a witness of the previous record: accept my term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptTerm {
    /// The service.
    pub service: ServiceName,
    /// The new term.
    pub term: Term,
}

/// A witness's answer to [`AcceptTerm`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptAnswer {
    /// The process life that answers.
    pub incarnation: Incarnation,
    /// The highest term that it has accepted, this one included.
    pub accepted: Term,
    /// How long its last voucher for any lower term may still be in force.
    pub voucher_left: Millis,
}

/// What a daemon tells any peer that asks: who it is and what it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHello {
    /// The daemon, as it would stand in a record of witnesses.
    pub witness: Witness,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is stopping.
    pub leaving: bool,
    /// The settings version in force there.
    pub settings: Version,
    /// Where it knows daemons, itself included, so that others find them without the platform.
    pub known: Vec<SocketAddr>,
    /// For each service, how long ago it heard the assigner and which term it has accepted.
    pub heard: Vec<Heard>,
}

/// What a daemon knows of one service's assigner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// The service.
    pub service: ServiceName,
    /// How long ago the last heartbeat came, if one ever did.
    pub ago: Option<Millis>,
    /// The term and the version of the assignment that it routes by.
    pub assignment: (Term, Version),
}

/// Asks a witness whether it misses the holder of a service's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderQuestion {
    /// The service.
    pub service: ServiceName,
    /// The term of the present record.
    pub term: Term,
}

/// A witness's answer to [`HolderQuestion`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderAnswer {
    /// Whether the holder has been silent here for so long that it should be replaced.
    pub missing: bool,
}

/// An assigner that stops says so, and the others need not wait for its silence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resignation {
    /// The service.
    pub service: ServiceName,
    /// The term that the sender no longer uses.
    pub term: Term,
}

/// What a daemon has learnt of a request that was at a server when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNotice {
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// The incarnation of the server that crashed.
    pub crashed: Incarnation,
}
