use {
    crate::Listing,
    oriolehoist_port::{RegisteredServer, Revision, ServerState},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::collections::{BTreeMap, HashSet},
};

/// How long a server whose registration was removed is kept as draining, so that its keys can be
/// moved away.
const REMOVED_RETENTION: Millis = Millis(8000);
/// How long after the store is available again missing servers may still register again. The
/// platform promises about two seconds.
const REREGISTRATION_PERIOD: Millis = Millis(2300);

/// The registration of a server as of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The server's id.
    pub id: SmolStr,
    /// The store's revision of the change.
    pub revision: Revision,
    /// The server, or `None` if the registration is malformed.
    pub server: Option<RegisteredServer>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum EntryState {
    Registered(RegisteredServer),
    Malformed,
    Removed {
        server: RegisteredServer,
        /// When the removal was noticed.
        at: Millis,
        /// Whether the server may register again, because its registration may have expired while
        /// the store was unavailable.
        lapsed: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    revision: Revision,
    state: EntryState,
}

/// The registrations of all servers at a revision of the store.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    revision: Revision,
    /// The revision from which on the entries match the store.
    consistent_from: Revision,
    entries: BTreeMap<SmolStr, Entry>,
    /// Until this time, live servers may not have registered again, or zero.
    settles_at: Millis,
}

impl Registry {
    /// Creates a registry from servers that were known at a revision of the store.
    pub fn from_servers(
        revision: Revision,
        servers: impl IntoIterator<Item = RegisteredServer>,
    ) -> Registry {
        let entry = |server: RegisteredServer| {
            (server.id.clone(), Entry { revision, state: EntryState::Registered(server) })
        };
        let entries = servers.into_iter().map(entry).collect();
        Registry { revision, consistent_from: revision, entries, settles_at: Millis::ZERO }
    }

    /// Returns the revision up to which all changes are included.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether the entries match the store at [`Registry::revision`].
    pub fn is_consistent(&self) -> bool {
        self.revision >= self.consistent_from
    }

    /// Returns the time until which live servers may be missing, because their registrations
    /// expired while the store was unavailable, or zero.
    pub fn settles_at(&self) -> Millis {
        self.settles_at
    }

    /// Records that the store is available again after an outage. Ready servers whose registrations
    /// turn out to be missing may then register again within a period.
    pub fn on_store_recovered(&mut self, now: Millis) {
        self.settles_at = now + REREGISTRATION_PERIOD;
    }

    /// Replaces all entries by those of a complete listing.
    pub fn replace(&mut self, now: Millis, listing: Listing) {
        (self.revision, self.consistent_from) = (listing.first_revision(), listing.last_revision());
        let listed: HashSet<&SmolStr> =
            listing.registrations.iter().map(|entry| &entry.id).collect();
        let missing: Vec<SmolStr> =
            self.entries.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in missing {
            self.mark_removed(now, self.revision, &id);
        }
        for registration in listing.registrations {
            self.insert(registration);
        }
    }

    /// Applies a change, unless a later one of the same entry is already included.
    pub fn on_registered(&mut self, registration: Registration) {
        if self.is_newer(&registration.id, registration.revision) {
            self.insert(registration);
        }
    }

    /// Applies the removal of an entry, unless a later change of it is already included.
    pub fn on_removed(&mut self, now: Millis, id: &SmolStr, revision: Revision) {
        if self.is_newer(id, revision) {
            self.mark_removed(now, revision, id);
        }
    }

    /// Records that all changes up to `revision` have been applied.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the known servers. Servers whose registrations were removed count as draining for
    /// some time, or as ready while they may register again.
    pub fn servers(&mut self, now: Millis) -> Vec<RegisteredServer> {
        self.entries.retain(|_, entry| match &entry.state {
            EntryState::Removed { at, .. } => now.since(*at) < REMOVED_RETENTION,
            _ => true,
        });
        let settled = now >= self.settles_at;
        let servers = self.entries.values().filter_map(|entry| match &entry.state {
            EntryState::Registered(server) => Some(server.clone()),
            EntryState::Removed { server, lapsed: true, .. } if !settled => Some(server.clone()),
            EntryState::Removed { server, .. } => {
                Some(RegisteredServer { state: ServerState::Draining, ..server.clone() })
            }
            EntryState::Malformed => None,
        });
        servers.collect()
    }

    fn is_newer(&self, id: &SmolStr, revision: Revision) -> bool {
        self.entries.get(id).is_none_or(|entry| entry.revision < revision)
    }

    fn insert(&mut self, registration: Registration) {
        let Registration { id, revision, server } = registration;
        let state = server.map_or(EntryState::Malformed, EntryState::Registered);
        self.entries.insert(id, Entry { revision, state });
    }

    fn mark_removed(&mut self, now: Millis, revision: Revision, id: &SmolStr) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        match &entry.state {
            EntryState::Registered(server) => {
                let lapsed = server.state == ServerState::Ready && now < self.settles_at;
                let state = EntryState::Removed { server: server.clone(), at: now, lapsed };
                *entry = Entry { revision, state };
            }
            EntryState::Malformed => drop(self.entries.remove(id)),
            EntryState::Removed { .. } => entry.revision = entry.revision.max(revision),
        }
    }
}
