//! What the assigner knows about its peers, and what it sends them.

use {
    crate::control::{
        cluster_state::ClusterState,
        message::{SyncMessage, Versions},
    },
    oriolehoist_capacity::Cursor,
    oriolehoist_protocol::Incarnation,
    oriolehoist_reach::ReachSummary,
    oriolehoist_registry::RegistryChanges,
    oriolehoist_replica::MapUpdate,
    oriolehoist_time::Millis,
};

/// A message with more entries than this is a large one.
const BULK_ENTRIES: usize = 64;

/// What the assigner knows about a peer.
#[derive(Debug)]
pub(crate) struct PeerState {
    pub(super) incarnation: Incarnation,
    /// The versions that the peer has confirmed, or `None` before its first response and after a
    /// message that it did not confirm. It then gets only the regular messages.
    pub(crate) confirmed: Option<Versions>,
    pub(crate) sync_in_flight: bool,
    /// Whether the message in flight is a large one.
    pub(crate) bulk_in_flight: bool,
    /// Whether the peer lacks so much that it waits for its turn to get a large message.
    pub(crate) awaits_bulk: bool,
    pub(crate) next_sync_at: Millis,
    /// When the peer last responded, also to a relay, or when it was first seen.
    pub(crate) responded_at: Millis,
    /// Whether it confirmed the last message, from this daemon or from a relay.
    pub(crate) responds: bool,
    /// How many servers it reaches, as it said last.
    pub(super) reach: Option<ReachSummary>,
    /// The digest of the crash suspects that it knows, as it said last.
    pub(super) suspects: Option<u64>,
    /// Which speeds of servers it was sent.
    pub(super) speeds: Cursor,
}

impl PeerState {
    pub(super) fn new(now: Millis, incarnation: Incarnation) -> PeerState {
        PeerState {
            incarnation,
            confirmed: None,
            sync_in_flight: false,
            bulk_in_flight: false,
            awaits_bulk: false,
            next_sync_at: Millis::ZERO,
            responded_at: now,
            responds: true,
            reach: None,
            suspects: None,
            speeds: Cursor::default(),
        }
    }

    /// Returns the parts of `state` that the peer lacks, or `None` if it lacks none.
    pub(crate) fn missing_parts(&self, now: Millis, state: &ClusterState) -> Option<MissingParts> {
        let (confirmed, versions) = (self.confirmed?, state.versions());
        let config_due = now >= state.config_push_at;
        // A peer with a later revision has read the servers itself.
        let servers_differ = confirmed.servers.digest != versions.servers.digest
            && confirmed.servers.revision <= versions.servers.revision;
        let evacuations = confirmed.evacuations.zip(versions.evacuations);
        let missing = MissingParts {
            confirmed,
            config: confirmed.config < versions.config && config_due,
            servers: servers_differ,
            routes: confirmed.routes != versions.routes,
            members: confirmed.members != versions.members,
            evacuations: evacuations.is_some_and(|(confirmed, known)| confirmed.lacks(known)),
        };
        let is_any = missing.config || missing.servers || missing.routes || missing.members;
        (is_any || missing.evacuations).then_some(missing)
    }
}

/// The parts of the state that a peer lacks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MissingParts {
    /// The versions that the peer has.
    confirmed: Versions,
    config: bool,
    servers: bool,
    routes: bool,
    members: bool,
    /// Every message has the evacuated zones, but they are not to wait for a regular one.
    evacuations: bool,
}

impl MissingParts {
    /// Adds the missing parts to a message to the peer. Returns whether they are large.
    pub(crate) fn add_to(self, sync: &mut SyncMessage, now: Millis, state: &ClusterState) -> bool {
        let known = self.confirmed;
        sync.config = self.config.then(|| state.config_bytes.clone());
        sync.servers =
            self.servers.then(|| state.registry.changes_since(now, known.servers.revision));
        sync.routes = self.routes.then(|| state.routes.update_since(known.routes));
        sync.members = self.members.then(|| state.members.update_since(known.members));
        let entries = sync.servers.as_ref().map_or(0, RegistryChanges::len)
            + sync.routes.as_ref().map_or(0, MapUpdate::len)
            + sync.members.as_ref().map_or(0, MapUpdate::len);
        self.config || entries > BULK_ENTRIES
    }
}
