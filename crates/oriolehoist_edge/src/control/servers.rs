//! Reads the registered servers from the store.

use {
    crate::control::{
        message::ServerList,
        store::{StoreClient, StoreError},
    },
    oriolehoist_log::{Event, report},
    oriolehoist_port::{
        Change, Item, Platform, RegisteredServer, Revision, ServerState, StoreRequest,
        StoreResponse,
    },
    oriolehoist_time::Millis,
    std::collections::{BTreeMap, HashSet},
};

/// The maximum duration of a watch, which bounds how long a stalled connection goes unnoticed.
const WATCH_TIMEOUT: Millis = Millis(2000);
/// How long a server whose entry was removed is kept as draining, so that its keys can be moved
/// away.
const REMOVED_RETENTION: Millis = Millis(8000);
/// How long after the store is available again missing entries may still be registered again.
const REREGISTRATION_PERIOD: Millis = Millis(2300);
/// The store is considered to have been unavailable if its requests failed for longer than this.
const UNAVAILABLE_AFTER: Millis = Millis(400);

/// The state of the server list as read from the store.
#[derive(Default)]
pub(crate) struct ServerReader {
    /// The store revision from which the next watch continues, or `None` to read all servers.
    revision: Option<Revision>,
    /// The registrations by key. Malformed ones are `None`.
    entries: BTreeMap<String, Option<RegisteredServer>>,
    /// Servers whose entries were removed, with the time of the removal.
    removed: BTreeMap<String, (Millis, RegisteredServer)>,
    /// The keys of malformed registrations that have been logged.
    malformed: HashSet<String>,
    /// When the first of the current series of failed reads was started.
    failing_since: Option<Millis>,
    /// When the store last became available again, or zero.
    recovered_at: Millis,
}

impl ServerReader {
    /// Discards what was read before a pause, and continues from the server list that this daemon
    /// has received in the meantime.
    pub(crate) fn restart(&mut self, platform: &dyn Platform, server_list: &ServerList) {
        let malformed = std::mem::take(&mut self.malformed);
        let key = |server: &RegisteredServer| format!("{}{}", platform.servers_prefix(), server.id);
        let entries = server_list.servers.iter().map(|server| (key(server), Some(server.clone())));
        let entries = entries.collect();
        *self = ServerReader { malformed, entries, ..ServerReader::default() };
    }

    /// Returns the time until which entries may be missing because the store was unavailable, or
    /// zero if it was not.
    pub(crate) fn settles_at(&self) -> Millis {
        match self.recovered_at {
            Millis::ZERO => Millis::ZERO,
            recovered_at => recovered_at + REREGISTRATION_PERIOD,
        }
    }

    /// Reads all servers the first time, and after that waits for changes. Returns the current
    /// list.
    pub(crate) async fn read(
        &mut self,
        store: &StoreClient,
        platform: &dyn Platform,
        now: impl Fn() -> Millis,
    ) -> Result<ServerList, StoreError> {
        let started_at = now();
        let result = match self.revision {
            None => self.list(store, platform, &now).await,
            Some(after) => self.watch(store, platform, after, &now).await,
        };
        if let Err(error) = result {
            self.revision = None;
            self.failing_since.get_or_insert(started_at);
            return Err(error);
        }
        Ok(self.current_list(now()))
    }

    async fn list(
        &mut self,
        store: &StoreClient,
        platform: &dyn Platform,
        now: &impl Fn() -> Millis,
    ) -> Result<(), StoreError> {
        let started_at = now();
        let mut found = Vec::new();
        let (mut pages, mut first_revision) = (0, None);
        let mut after: Option<String> = None;
        let watch_revision = loop {
            let prefix = platform.servers_prefix().to_owned();
            let request = StoreRequest::List { prefix, after: after.clone() };
            let StoreResponse::Page { items, has_more: more, revision: at } =
                store.call(request).await?
            else {
                return Err(StoreError::Malformed);
            };
            pages += 1;
            first_revision.get_or_insert(at);
            after = items.last().map(|item| item.key.clone());
            found.extend(items);
            // Pages are not a consistent snapshot, so the first watch has to see the changes that
            // were made between them. It starts at the revision reported with the last page.
            if !more || after.is_none() {
                break at;
            }
        };
        let unavailable_for = self.failing_since.take().map(|since| now().since(since));
        if unavailable_for.is_some_and(|time| time > UNAVAILABLE_AFTER) {
            self.recovered_at = now();
        }
        let text = format_args!(
            "servers={} pages={pages} first={} last={watch_revision} took_ms={}",
            found.len(),
            first_revision.unwrap_or_default(),
            now().since(started_at).0,
        );
        report(Event::ServersRead, text);
        let keys: HashSet<&String> = found.iter().map(|item| &item.key).collect();
        let missing: Vec<String> =
            self.entries.keys().filter(|key| !keys.contains(key)).cloned().collect();
        for key in missing {
            self.remove(now(), &key);
        }
        for item in found {
            self.insert(platform, item);
        }
        self.revision = Some(watch_revision);
        Ok(())
    }

    async fn watch(
        &mut self,
        store: &StoreClient,
        platform: &dyn Platform,
        after: Revision,
        now: &impl Fn() -> Millis,
    ) -> Result<(), StoreError> {
        let prefix = platform.servers_prefix().to_owned();
        let request = StoreRequest::Watch { prefix, after, wait: WATCH_TIMEOUT };
        match store.call(request).await? {
            StoreResponse::Changes { changes, revision: at } => {
                for change in changes {
                    match change {
                        Change::Written(item) => self.insert(platform, item),
                        Change::Removed(key) => self.remove(now(), &key),
                    }
                }
                self.revision = Some(at.max(after));
                Ok(())
            }
            StoreResponse::HistoryCompacted => self.list(store, platform, now).await,
            _ => Err(StoreError::Malformed),
        }
    }

    fn insert(&mut self, platform: &dyn Platform, item: Item) {
        let server = match platform.decode_server(&item.key, &item.value) {
            Ok(server) => Some(server),
            Err(error) => {
                if self.malformed.insert(item.key.clone()) {
                    let text = format_args!("key={} error=\"{error}\"", item.key);
                    report(Event::ServerMalformed, text);
                }
                None
            }
        };
        self.removed.remove(&item.key);
        self.entries.insert(item.key, server);
    }

    fn remove(&mut self, now: Millis, key: &str) {
        if let Some(Some(server)) = self.entries.remove(key) {
            self.removed.insert(key.to_owned(), (now, server));
        }
    }

    fn current_list(&mut self, now: Millis) -> ServerList {
        self.removed.retain(|_, (at, _)| now.since(*at) < REMOVED_RETENTION);
        let recovering = now < self.settles_at();
        let removed = self.removed.values().map(|(at, server)| {
            let state = match server.state {
                ServerState::Ready if recovering && *at >= self.recovered_at => ServerState::Ready,
                _ => ServerState::Draining,
            };
            RegisteredServer { state, ..server.clone() }
        });
        let mut servers: Vec<RegisteredServer> =
            self.entries.values().flatten().cloned().chain(removed).collect();
        servers.sort_by(|a, b| (&a.id, a.started_at).cmp(&(&b.id, b.started_at)));
        // Only whether a server was warming up matters, and only when it is first seen. A new value
        // of the remaining time is not a change of the list.
        for server in &mut servers {
            server.warm_up_remaining = Millis(server.warm_up_remaining.0.min(1));
        }
        ServerList { revision: self.revision.unwrap_or_default(), servers }
    }
}
