//! Reads the registered servers from the store.

use {
    crate::control::store::{ConnectionChoice, StoreClient, StoreError},
    oriolehoist_backoff::MIN_OUTAGE,
    oriolehoist_log::{Event, Word, report},
    oriolehoist_port::{
        Change, Coverage, Item, Platform, RegisteredServer, StoreRequest, StoreResponse,
    },
    oriolehoist_registry::{Listing, Registration, Registry, RegistryVersion},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::collections::HashSet,
};

/// The maximum duration of a watch, which bounds how long a stalled connection goes unnoticed.
const WATCH_TIMEOUT: Millis = Millis(2000);
/// The maximum duration of a watch for changes that were already made.
const CATCH_UP_TIMEOUT: Millis = Millis(1);
/// How many times all servers are listed again because the store discarded its history meanwhile.
const MAX_LISTINGS: u32 = 3;
/// The maximum number of keys with malformed registrations that are logged.
const MAX_REPORTED_KEYS: usize = 1024;

/// The state of the server list as read from the store.
#[derive(Default)]
pub(crate) struct ServerReader {
    registry: Registry,
    /// Whether the next read waits for changes, instead of listing all servers.
    watching: bool,
    /// The keys of malformed registrations that have been logged.
    malformed: HashSet<SmolStr>,
    /// The keys of registrations with a malformed warm-up that have been logged.
    malformed_warm_ups: HashSet<SmolStr>,
    /// When the first of the current series of failed reads was started.
    failing_since: Option<Millis>,
}

impl ServerReader {
    /// Discards what was read before a pause, and continues from what this daemon has received in
    /// the meantime.
    pub(crate) fn restart(&mut self, registry: Registry) {
        let malformed = std::mem::take(&mut self.malformed);
        let malformed_warm_ups = std::mem::take(&mut self.malformed_warm_ups);
        *self = ServerReader { registry, malformed, malformed_warm_ups, ..ServerReader::default() };
    }

    /// Returns whether the next read waits for changes.
    pub(crate) fn is_watching(&self) -> bool {
        self.watching
    }

    /// Returns whether the last reads have failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns the version of what was read.
    pub(crate) fn version(&self) -> RegistryVersion {
        self.registry.version()
    }

    /// Reads all servers the first time, and after that waits for changes. Returns the current
    /// registrations.
    pub(crate) async fn read(
        &mut self,
        store: &StoreClient,
        platform: &dyn Platform,
        now: impl Fn() -> Millis,
    ) -> Result<Registry, StoreError> {
        let started_at = now();
        let result = match self.watching {
            false => self.list(store, platform, &now).await,
            true => match self.watch(store, platform, WATCH_TIMEOUT, &now).await {
                Err(StoreError::HistoryCompacted) => self.list(store, platform, &now).await,
                result => result,
            },
        };
        self.watching = result.is_ok();
        match result {
            Ok(()) => {
                self.registry.drop_removed(now());
                Ok(self.registry.clone())
            }
            Err(error) => {
                // A watch that was interrupted has not failed before.
                let failing_since =
                    if error == StoreError::Interrupted { now() } else { started_at };
                self.failing_since.get_or_insert(failing_since);
                Err(error)
            }
        }
    }

    /// Lists all servers, and applies the changes that were made while their pages were read.
    async fn list(
        &mut self,
        store: &StoreClient,
        platform: &dyn Platform,
        now: &impl Fn() -> Millis,
    ) -> Result<(), StoreError> {
        for _ in 0..MAX_LISTINGS {
            let listing = self.read_pages(store, platform, now).await?;
            let unavailable_for = self.failing_since.take().map(|since| now().since(since));
            // Calls of other kinds and of other daemons show an outage too: while the store is away, few
            // calls are made, and the first one that reads the servers may be answered.
            if unavailable_for.is_some_and(|time| time > MIN_OUTAGE)
                || store.servers_may_have_lapsed()
            {
                self.registry.on_store_recovered(now());
            }
            self.registry.replace(now(), listing);
            match self.catch_up(store, platform, now).await {
                Err(StoreError::HistoryCompacted) => {}
                result => return result,
            }
        }
        Err(StoreError::HistoryCompacted)
    }

    /// Applies changes until the registry is consistent.
    async fn catch_up(
        &mut self,
        store: &StoreClient,
        platform: &dyn Platform,
        now: &impl Fn() -> Millis,
    ) -> Result<(), StoreError> {
        while !self.registry.is_consistent() {
            let revision = self.registry.revision();
            self.watch(store, platform, CATCH_UP_TIMEOUT, now).await?;
            if self.registry.revision() == revision {
                return Err(StoreError::Malformed);
            }
        }
        Ok(())
    }

    async fn read_pages(
        &mut self,
        store: &StoreClient,
        platform: &dyn Platform,
        now: &impl Fn() -> Millis,
    ) -> Result<Listing, StoreError> {
        let started_at = now();
        let mut listing = Listing::default();
        let on_page = |revision, items: Vec<Item>| {
            let registrations = items.into_iter().map(|item| self.decode(platform, item));
            listing.add_page(revision, registrations);
        };
        let coverage =
            store.list(platform.servers_prefix(), ConnectionChoice::Any, on_page).await?;
        if let Coverage::UpTo(key) = coverage {
            listing.end_at(server_id(platform, &key));
        }
        let text = format_args!(
            "servers={} pages={} first={} last={} took_ms={}",
            listing.len(),
            listing.pages(),
            listing.first_revision(),
            listing.last_revision(),
            now().since(started_at).0,
        );
        report(Event::ServersRead, text);
        Ok(listing)
    }

    /// Waits for changes and applies them.
    async fn watch(
        &mut self,
        store: &StoreClient,
        platform: &dyn Platform,
        wait: Millis,
        now: &impl Fn() -> Millis,
    ) -> Result<(), StoreError> {
        let prefix = platform.servers_prefix().to_owned();
        let request = StoreRequest::Watch { prefix, after: self.registry.revision(), wait };
        match store.call(request).await? {
            StoreResponse::Changes { changes, revision } => {
                for change in changes {
                    match change {
                        Change::Written(item) => {
                            let registration = self.decode(platform, item);
                            self.registry.on_registered(registration);
                        }
                        Change::Removed { key, revision } => {
                            self.registry.on_removed(now(), &server_id(platform, &key), revision);
                        }
                    }
                }
                self.registry.advance(revision);
                Ok(())
            }
            StoreResponse::HistoryCompacted => Err(StoreError::HistoryCompacted),
            _ => Err(StoreError::Malformed),
        }
    }

    fn decode(&mut self, platform: &dyn Platform, item: Item) -> Registration {
        let Item { key, value, revision } = item;
        let id = server_id(platform, &key);
        let server = match platform.decode_server(&key, &value) {
            Ok(server) => {
                let is_stated = server.warm_up_remaining != RegisteredServer::WARM_UP_UNSTATED;
                let error = (!is_stated).then(|| platform.malformed_warm_up(&value)).flatten();
                if let Some(error) = error
                    && self.malformed_warm_ups.len() < MAX_REPORTED_KEYS
                    && self.malformed_warm_ups.insert(id.clone())
                {
                    let text = format_args!("key={} error=\"{error}\"", Word(&key));
                    report(Event::WarmUpMalformed, text);
                }
                Some(server)
            }
            Err(error) => {
                if self.malformed.len() < MAX_REPORTED_KEYS && self.malformed.insert(id.clone()) {
                    let text = format_args!("key={} error=\"{error}\"", Word(&key));
                    report(Event::ServerMalformed, text);
                }
                None
            }
        };
        Registration { id, revision, server }
    }
}

/// Returns the id of the server that is registered under `key`.
fn server_id(platform: &dyn Platform, key: &str) -> SmolStr {
    SmolStr::new(key.strip_prefix(platform.servers_prefix()).unwrap_or(key))
}
