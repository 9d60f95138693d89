//! What daemons tell each other, and what the control actor is told.

use {
    crate::control::store::StoreError,
    bytes::Bytes,
    oriolehoist_keyspace::{KeyRoutes, LoadReport, OrderId, OrderOutcome},
    oriolehoist_port::{RegisteredServer, Revision, StoreResponse},
    oriolehoist_protocol::Incarnation,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// A daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) instance: SmolStr,
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
}

/// Orders what assigners say: by their term, and by how often the matter changed under it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Stamp {
    pub(crate) term: u64,
    pub(crate) count: u64,
}

/// Which version of each matter a daemon holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Versions {
    pub(crate) config: u64,
    pub(crate) servers: Stamp,
    pub(crate) routes: Stamp,
    pub(crate) members: Stamp,
}

/// The registered servers as the store had them at a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ServerList {
    pub(crate) at: Revision,
    pub(crate) servers: Vec<RegisteredServer>,
}

/// What the assigner tells every daemon a few times a second; only what the receiver lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Sync {
    pub(crate) from: Member,
    pub(crate) term: u64,
    pub(crate) versions: Versions,
    /// How long ago the store was last read for the servers.
    pub(crate) servers_age: Millis,
    /// The assigner is about to give up its role.
    pub(crate) resigning: bool,
    pub(crate) config: Option<Bytes>,
    pub(crate) servers: Option<ServerList>,
    pub(crate) routes: Option<BTreeMap<SmolStr, KeyRoutes>>,
    pub(crate) members: Option<Vec<Member>>,
}

/// The answer to a [`Sync`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SyncAnswer {
    /// The highest term that the daemon knows.
    pub(crate) term: u64,
    pub(crate) versions: Versions,
    /// The configuration, if it is newer than the assigner's.
    pub(crate) config: Option<Bytes>,
    pub(crate) load: Vec<(SmolStr, LoadReport)>,
}

/// What the control actor is told.
pub(crate) enum Input {
    /// Time has passed.
    Tick,
    /// A configuration was read in the store or came from a peer.
    Config(Bytes),
    /// The servers were read in the store by a reading that began at this time.
    /// Until `settles_at` servers may be missing that live.
    Servers { began: Millis, list: ServerList, settles_at: Millis },
    /// The stored table was read.
    StoredTable(Bytes),
    /// The servers could not be read.
    ServersUnread,
    /// The members were read in the store.
    Members(Vec<Member>),
    /// A peer answered a [`Sync`], or did not.
    Synced { to: Member, answer: Option<SyncAnswer> },
    /// What the store said of the assigner's key.
    Candidacy(Candidacy),
    /// The renewal of the assigner's lease, sent at this time, has ended.
    LeaseKept { term: Revision, sent: Millis, answer: Result<StoreResponse, StoreError> },
    /// A write of the table has ended.
    TableWritten { term: Revision, version: u64, end: TableWrite },
    /// An order has ended.
    OrderEnded { term: Revision, service: SmolStr, flight: OrderId, end: OrderOutcome },
}

/// How an attempt to become the assigner ended.
#[derive(Clone, Debug)]
pub(crate) enum Candidacy {
    /// This daemon is the assigner; what the table then held.
    Won { won: Won, table: Option<(Revision, Bytes)> },
    /// Another daemon is, or nothing could be found out.
    Lost,
}

/// The proof of being the assigner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Won {
    /// The revision of the assigner's key, which numbers the terms.
    pub(crate) term: Revision,
    pub(crate) lease: oriolehoist_port::LeaseId,
    /// Until when the lease lasts at least.
    pub(crate) until: Millis,
}

/// How a write of the table ended.
#[derive(Clone, Debug)]
pub(crate) enum TableWrite {
    /// The store has it, at this revision.
    Stored(Revision),
    /// The store has an earlier table of this assigner, at this revision.
    Earlier(Revision),
    /// Another daemon is the assigner.
    Superseded,
    /// Nothing was found out; try again.
    Failed,
}
