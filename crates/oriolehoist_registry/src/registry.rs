use {
    crate::Listing,
    oriolehoist_port::{RegisteredServer, Revision, ServerState},
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::collections::{BTreeMap, HashSet},
    xxhash_rust::xxh3::Xxh3,
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

/// Identifies the content of a registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryVersion {
    /// The revision up to which all changes are included.
    pub revision: Revision,
    /// A digest of the registrations. It shows whether two registries have the same ones, also if
    /// their revisions differ.
    pub digest: u64,
}

/// The entries of a registry that changed since a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RegistryChanges {
    /// Whether these are all entries.
    complete: bool,
    /// The version that the changes lead to.
    pub version: RegistryVersion,
    /// For how long live servers may not have registered again.
    settles_in: Millis,
    entries: Vec<(SmolStr, Revision, EntryChange)>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum EntryChange {
    Registered(RegisteredServer),
    Malformed,
    Removed { server: RegisteredServer, lapsed: bool },
}

impl RegistryChanges {
    /// Returns whether these are all entries of the registry.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the number of changed entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entries changed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum EntryState {
    Registered {
        server: RegisteredServer,
        /// Whether this may be an older state than the one known before, in which the server was
        /// leaving, because the store continued from an older copy.
        reverted: bool,
    },
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
    /// Returns the revision up to which all changes are included.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the version, which identifies the registrations.
    pub fn version(&self) -> RegistryVersion {
        let mut hasher = Xxh3::new();
        let registered = |entry: &Entry| !matches!(entry.state, EntryState::Removed { .. });
        for (id, entry) in self.entries.iter().filter(|(_, entry)| registered(entry)) {
            hasher.update(id.as_bytes());
            hasher.update(&[0]);
            hasher.update(&entry.revision.0.to_le_bytes());
        }
        RegistryVersion { revision: self.revision, digest: hasher.digest() }
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

    /// Replaces all entries by those of a listing; those that it could not read stay. The first one of a
    /// later era may be missing registrations, which are then written again within a period.
    pub fn replace(&mut self, now: Millis, listing: Listing) {
        let restored = self.is_before_era_of(listing.last_revision());
        if restored {
            self.on_store_recovered(now);
        }
        (self.revision, self.consistent_from) = (listing.first_revision(), listing.last_revision());
        let listed: HashSet<&SmolStr> =
            listing.registrations.iter().map(|entry| &entry.id).collect();
        let is_missing = |id: &SmolStr| listing.includes(id) && !listed.contains(id);
        self.remove_if(now, self.revision, is_missing);
        for registration in listing.registrations {
            let Registration { id, revision, server } = registration;
            let state = match server {
                Some(server) => self.registered(&id, revision, server, restored),
                None => EntryState::Malformed,
            };
            self.entries.insert(id, Entry { revision, state });
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

    /// Returns the entries that changed since `base`, for a daemon whose registry has that revision,
    /// or all entries if it has none.
    ///
    /// An entry that was removed and dropped since is not among them. The digest of the version
    /// then shows the receiver that it needs all entries.
    pub fn changes_since(&self, now: Millis, base: Revision) -> RegistryChanges {
        let complete = base == Revision::default();
        let changed = self.entries.iter().filter(|(_, entry)| complete || entry.revision > base);
        let entries = changed.map(|(id, entry)| {
            let change = match &entry.state {
                EntryState::Registered { server, .. } => EntryChange::Registered(server.clone()),
                EntryState::Malformed => EntryChange::Malformed,
                EntryState::Removed { server, lapsed, .. } => {
                    EntryChange::Removed { server: server.clone(), lapsed: *lapsed }
                }
            };
            (id.clone(), entry.revision, change)
        });
        RegistryChanges {
            complete,
            version: self.version(),
            settles_in: self.settles_at.since(now),
            entries: entries.collect(),
        }
    }

    /// Applies changes from another daemon's registry, unless this one has a later revision.
    /// Returns whether it now has the registrations of the other one.
    pub fn apply(&mut self, now: Millis, changes: RegistryChanges) -> bool {
        let RegistryVersion { revision, digest } = changes.version;
        if revision >= self.revision {
            let restored = self.is_before_era_of(revision);
            self.settles_at = self.settles_at.max(match changes.settles_in {
                Millis::ZERO => Millis::ZERO,
                settles_in => now + settles_in,
            });
            if changes.complete {
                let listed: HashSet<&SmolStr> =
                    changes.entries.iter().map(|entry| &entry.0).collect();
                self.remove_if(now, revision, |id| !listed.contains(id));
            }
            for (id, entry_revision, change) in changes.entries {
                if self.is_newer(&id, entry_revision) {
                    let state = match change {
                        EntryChange::Registered(server) => {
                            self.registered(&id, entry_revision, server, restored)
                        }
                        EntryChange::Malformed => EntryState::Malformed,
                        EntryChange::Removed { server, lapsed } => {
                            EntryState::Removed { server, at: now, lapsed }
                        }
                    };
                    self.entries.insert(id, Entry { revision: entry_revision, state });
                }
            }
            (self.revision, self.consistent_from) = (revision, revision);
        }
        self.version().digest == digest
    }

    /// Returns the next time at which the servers change without a change of a registration.
    pub fn next_change_after(&self, now: Millis) -> Option<Millis> {
        let changes = self.entries.values().filter_map(|entry| match entry.state {
            EntryState::Removed { lapsed: true, .. }
            | EntryState::Registered { reverted: true, .. }
                if now < self.settles_at =>
            {
                Some(self.settles_at)
            }
            EntryState::Removed { at, .. } => Some(at + REMOVED_RETENTION),
            _ => None,
        });
        changes.min()
    }

    /// Records that all changes up to `revision` have been applied.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Drops the servers whose registrations were removed some time ago.
    pub fn drop_removed(&mut self, now: Millis) {
        self.entries.retain(|_, entry| match &entry.state {
            EntryState::Removed { at, .. } => now.since(*at) < REMOVED_RETENTION,
            _ => true,
        });
    }

    /// Returns the known servers. Servers whose registrations were removed count as draining until
    /// they are dropped, or as ready while they may register again.
    pub fn servers(&self, now: Millis) -> Vec<RegisteredServer> {
        let settled = now >= self.settles_at;
        let servers = self.entries.values().filter_map(|entry| match &entry.state {
            EntryState::Removed { server, lapsed: true, .. } if !settled => Some(server.clone()),
            EntryState::Registered { server, reverted } if settled || !reverted => {
                Some(server.clone())
            }
            EntryState::Registered { server, .. } | EntryState::Removed { server, .. } => {
                Some(RegisteredServer { state: ServerState::Draining, ..server.clone() })
            }
            EntryState::Malformed => None,
        });
        // A new value of the remaining warm-up is not a change of the servers.
        let servers = servers.map(|server| {
            let is_stated = server.warm_up_remaining != RegisteredServer::WARM_UP_UNSTATED;
            let remaining = server.warm_up_remaining.0.min(u64::from(is_stated));
            RegisteredServer { warm_up_remaining: Millis(remaining), ..server }
        });
        servers.collect()
    }

    /// Returns the servers with the revision of their last registration, and whether they are still
    /// registered. The remaining warm-up is that of the registration.
    pub fn registrations(&self) -> impl Iterator<Item = (&RegisteredServer, Revision, bool)> {
        self.entries.values().filter_map(|entry| match &entry.state {
            EntryState::Registered { server, .. } => Some((server, entry.revision, true)),
            EntryState::Removed { server, .. } => Some((server, entry.revision, false)),
            EntryState::Malformed => None,
        })
    }

    /// Returns whether `revision` is of a later era than all registrations.
    fn is_before_era_of(&self, revision: Revision) -> bool {
        self.revision != Revision::default() && self.revision.era() < revision.era()
    }

    /// Returns the state of a registered server. `restored` is whether the store may have gone back
    /// to an older state of it.
    fn registered(
        &self,
        id: &SmolStr,
        revision: Revision,
        server: RegisteredServer,
        restored: bool,
    ) -> EntryState {
        let is_same = |known: &RegisteredServer| known.started_at == server.started_at;
        let was_leaving = self.entries.get(id).is_some_and(|entry| match &entry.state {
            EntryState::Registered { server: known, reverted: true } => {
                is_same(known) && (restored || entry.revision == revision)
            }
            EntryState::Registered { server: known, .. } => {
                restored && is_same(known) && known.state == ServerState::Draining
            }
            EntryState::Removed { server: known, lapsed, .. } => {
                restored && is_same(known) && !lapsed
            }
            EntryState::Malformed => false,
        });
        let reverted = was_leaving && server.state == ServerState::Ready;
        EntryState::Registered { server, reverted }
    }

    fn remove_if(
        &mut self,
        now: Millis,
        revision: Revision,
        is_removed: impl Fn(&SmolStr) -> bool,
    ) {
        let removed: Vec<SmolStr> =
            self.entries.keys().filter(|id| is_removed(id)).cloned().collect();
        for id in removed {
            self.mark_removed(now, revision, &id);
        }
    }

    fn is_newer(&self, id: &SmolStr, revision: Revision) -> bool {
        self.entries.get(id).is_none_or(|entry| entry.revision < revision)
    }

    fn insert(&mut self, registration: Registration) {
        let Registration { id, revision, server } = registration;
        let registered = |server| EntryState::Registered { server, reverted: false };
        let state = server.map_or(EntryState::Malformed, registered);
        self.entries.insert(id, Entry { revision, state });
    }

    fn mark_removed(&mut self, now: Millis, revision: Revision, id: &SmolStr) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        match &entry.state {
            EntryState::Registered { server, reverted } => {
                let lapsed =
                    server.state == ServerState::Ready && !reverted && now < self.settles_at;
                let state = EntryState::Removed { server: server.clone(), at: now, lapsed };
                *entry = Entry { revision, state };
            }
            EntryState::Malformed => drop(self.entries.remove(id)),
            EntryState::Removed { .. } => entry.revision = entry.revision.max(revision),
        }
    }
}
