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

/// The longest wait of a watch: it bounds how long a connection that went silent is trusted.
const WATCH_WAIT: Millis = Millis(2000);
/// How long the entry of a server that vanished is kept as leaving, so that its keys can be taken
/// over from it.
const KEEP_VANISHED: Millis = Millis(8000);
/// How long after the store's return missing entries may still come back.
const RETURN_TIME: Millis = Millis(2300);
/// The store counts as having been away if its calls failed for this long.
const AWAY_AFTER: Millis = Millis(400);

/// What was read so far.
#[derive(Default)]
pub(crate) struct ServerReader {
    at: Option<Revision>,
    entries: BTreeMap<String, Option<RegisteredServer>>,
    vanished: BTreeMap<String, (Millis, RegisteredServer)>,
    malformed: HashSet<String>,
    failing_since: Option<Millis>,
    returned_at: Millis,
}

impl ServerReader {
    /// Forgets what was read before a pause, and starts from what this daemon knows meanwhile.
    pub(crate) fn restart(&mut self, platform: &dyn Platform, known: &ServerList) {
        let malformed = std::mem::take(&mut self.malformed);
        let key = |server: &RegisteredServer| format!("{}{}", platform.servers_prefix(), server.id);
        let entries = known.servers.iter().map(|server| (key(server), Some(server.clone())));
        let entries = entries.collect();
        *self = ServerReader { malformed, entries, ..ServerReader::default() };
    }

    /// Returns until when entries may be missing that come back after the store's return.
    pub(crate) fn settles_at(&self) -> Millis {
        match self.returned_at {
            Millis::ZERO => Millis::ZERO,
            returned_at => returned_at + RETURN_TIME,
        }
    }

    /// Reads once: everything at first, then what has changed. Returns the servers.
    pub(crate) async fn read(
        &mut self,
        store: &StoreClient,
        platform: &dyn Platform,
        now: impl Fn() -> Millis,
    ) -> Result<ServerList, StoreError> {
        let began = now();
        let read = match self.at {
            None => self.list(store, platform, &now).await,
            Some(after) => self.watch(store, platform, after, &now).await,
        };
        if let Err(error) = read {
            self.at = None;
            self.failing_since.get_or_insert(began);
            return Err(error);
        }
        Ok(self.current(now()))
    }

    async fn list(
        &mut self,
        store: &StoreClient,
        platform: &dyn Platform,
        now: &impl Fn() -> Millis,
    ) -> Result<(), StoreError> {
        let mut found = Vec::new();
        let mut after: Option<String> = None;
        let first_at = loop {
            let prefix = platform.servers_prefix().to_owned();
            let call = StoreRequest::List { prefix, after: after.clone() };
            let StoreResponse::Page { items, has_more: more, revision: at } =
                store.call(call).await?
            else {
                return Err(StoreError::Malformed);
            };
            after = items.last().map(|item| item.key.clone());
            found.extend(items);
            // Pages are no snapshot: what changes meanwhile is seen by the first watch, which
            // continues from the first page.
            if !more || after.is_none() {
                break at;
            }
        };
        let away = self.failing_since.take().map(|since| now().since(since));
        if away.is_some_and(|away| away > AWAY_AFTER) {
            self.returned_at = now();
        }
        let keys: HashSet<&String> = found.iter().map(|item| &item.key).collect();
        let missing: Vec<String> =
            self.entries.keys().filter(|key| !keys.contains(key)).cloned().collect();
        for key in missing {
            self.remove(now(), &key);
        }
        for item in found {
            self.insert(platform, item);
        }
        self.at = Some(first_at);
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
        let call = StoreRequest::Watch { prefix, after, wait: WATCH_WAIT };
        match store.call(call).await? {
            StoreResponse::Changes { changes, revision: at } => {
                for change in changes {
                    match change {
                        Change::Written(item) => self.insert(platform, item),
                        Change::Removed(key) => self.remove(now(), &key),
                    }
                }
                self.at = Some(at.max(after));
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
        self.vanished.remove(&item.key);
        self.entries.insert(item.key, server);
    }

    fn remove(&mut self, now: Millis, key: &str) {
        if let Some(Some(server)) = self.entries.remove(key) {
            self.vanished.insert(key.to_owned(), (now, server));
        }
    }

    fn current(&mut self, now: Millis) -> ServerList {
        self.vanished.retain(|_, (since, _)| now.since(*since) < KEEP_VANISHED);
        let returning = now < self.settles_at();
        let vanished = self.vanished.values().map(|(since, server)| {
            let state = match server.state {
                ServerState::Ready if returning && *since >= self.returned_at => ServerState::Ready,
                _ => ServerState::Draining,
            };
            RegisteredServer { state, ..server.clone() }
        });
        let mut servers: Vec<RegisteredServer> =
            self.entries.values().flatten().cloned().chain(vanished).collect();
        // How long a server stays slow only matters when it is first seen.
        servers.sort_by(|a, b| (&a.id, a.started_at).cmp(&(&b.id, b.started_at)));
        for server in &mut servers {
            server.warm_up_remaining = Millis(server.warm_up_remaining.0.min(1));
        }
        ServerList { at: self.at.unwrap_or_default(), servers }
    }
}
