//! The inputs of the control actor. Messages between daemons are in [`wire`](crate::wire).

pub(crate) use crate::wire::{Member, RouteEntry, RouteKey, SyncMessage, SyncResponse, Versions};

use {
    crate::control::{
        claim::Candidacy,
        store::{CallTrace, StoreError},
    },
    bytes::Bytes,
    oriolehoist_admission::Fingerprint,
    oriolehoist_evacuation::ZoneSet,
    oriolehoist_keyspace::{AssignmentTable, FenceCounter, OrderId, OrderOutcome},
    oriolehoist_port::{Revision, StoreResponse},
    oriolehoist_registry::Registry,
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{
        collections::HashMap,
        fmt::{self, Display, Formatter},
    },
};

/// Where a version of the configuration came from.
#[derive(Clone, Debug)]
pub(crate) enum ConfigSource {
    Store(CallTrace),
    Daemon(SmolStr),
}

impl Display for ConfigSource {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ConfigSource::Store(call) => {
                let connection = match call.reused {
                    Some(true) => "reused",
                    Some(false) => "new",
                    None => "none",
                };
                let took = call.ended_at.since(call.started_at).0;
                write!(f, "{} took_ms={took} connection={connection}", call.kind.name())
            }
            ConfigSource::Daemon(instance) => write!(f, "{instance}"),
        }
    }
}

/// An input of the control actor.
pub(crate) enum Input {
    /// The time for periodic work.
    Tick,
    /// A configuration was read from the store or received from a peer.
    Config { bytes: Bytes, source: ConfigSource },
    /// The store had no other version of the configuration at this time.
    ConfigConfirmed(Millis),
    /// The servers were read from the store by a request sent at `read_at`.
    Servers { read_at: Millis, registry: Registry },
    /// The stored table was read while this daemon was starting.
    StoredTable(Bytes),
    /// Whether a watch of the configuration is about to be sent that ends before the configuration is
    /// stale. A longer one may be silent for longer than that.
    ConfigWatched(bool),
    /// Whether a watch of the servers is about to be sent. None is if reading them failed or is not
    /// needed.
    ServersWatched(bool),
    /// The evacuated zones were read from the store, which had them at `read_at`.
    Evacuations { read_at: Millis, zones: ZoneSet },
    /// Whether a watch of the evacuated zones is about to be sent.
    EvacuationsWatched(bool),
    /// What another daemon knows, which need not have heard from the assigner.
    PeerState(Box<SyncMessage>),
    /// The registered members were read from the store.
    Members(Vec<Member>),
    /// A peer responded to a [`SyncMessage`], or did not respond.
    Synced { to: Member, response: Option<Box<SyncResponse>> },
    /// An attempt to become the assigner has ended.
    ElectionEnded { outcome: ElectionOutcome, candidacy: Candidacy },
    /// The result of a renewal of the assigner's lease that was sent at `sent_at`.
    LeaseRenewed { term: Revision, sent_at: Millis, response: Result<StoreResponse, StoreError> },
    /// A write of the table has ended.
    TableWritten { term: Revision, version: u64, outcome: TableWrite },
    /// The crash suspects that were stored before a term, with the number of their crashes.
    SuspectsRead { term: Revision, stored: HashMap<Fingerprint, usize> },
    /// A write of the crash suspects has ended. `written` are these requests, if it succeeded.
    SuspectsWritten { term: Revision, written: Option<HashMap<Fingerprint, usize>> },
    /// An order has ended.
    OrderEnded { term: Revision, service: SmolStr, order_id: OrderId, outcome: OrderOutcome },
}

/// How an attempt to become the assigner ended.
#[derive(Clone, Debug)]
pub(crate) enum ElectionOutcome {
    /// This daemon is the assigner. `table` is the stored table at that time, if there is one, and
    /// `fences` continues above its limit, with a block that was reserved with the claim.
    Won { term_lease: TermLease, table: Option<AssignmentTable>, fences: FenceCounter },
    /// Another daemon is the assigner, or the result could not be determined.
    Lost,
}

/// An assigner's term, with the lease that it depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TermLease {
    /// The revision of the assigner key, which serves as the number of the term.
    pub(crate) term: Revision,
    pub(crate) lease: oriolehoist_port::LeaseId,
    /// The earliest time at which the lease can expire.
    pub(crate) expiry: Millis,
}

/// How a write of the table ended.
#[derive(Clone, Debug)]
pub(crate) enum TableWrite {
    /// The table is stored at this revision, with this limit of fencing tokens.
    Stored { revision: Revision, fence_limit: u64 },
    /// The write had no effect. The store still has an earlier table of this assigner or of the one
    /// before, at this revision.
    Earlier(Revision),
    /// Another daemon is the assigner.
    Superseded,
    /// The write failed, or its result could not be determined. It should be retried.
    Failed,
}
