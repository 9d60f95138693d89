//! Reads the evacuated zones from the store.

use {
    crate::{
        control::{
            Control, StoreClient,
            handlers::{ActorReply, GetStoreReadPlan},
            message::Input,
            store::{ConnectionChoice, StoreError},
            tasks::IDLE_POLL_INTERVAL,
        },
        process::Shared,
    },
    kameo::actor::ActorRef,
    oriolehoist_backoff::CallKind,
    oriolehoist_evacuation::{READ_SPREAD, ZoneSet},
    oriolehoist_log::{Event, report},
    oriolehoist_port::{Change, Item, Revision, StoreRequest, StoreResponse},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashSet},
        sync::Arc,
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// The maximum duration of a watch, which bounds how long a stalled connection goes unnoticed.
const WATCH_TIMEOUT: Millis = Millis(3000);
/// The range of the random delay before a daemon that has just started reads the zones. The assigner may
/// tell them meanwhile.
const FIRST_READ_SPREAD_MS: u64 = 300;
/// The delay after a read of a stale set, which may be ignored as older than the known one.
const REREAD_DELAY: Duration = Duration::from_millis(200);
/// The maximum number of unusable keys that are logged.
const MAX_REPORTED_KEYS: usize = 64;

/// Reads the evacuated zones: as the assigner all the time, and otherwise if nothing has confirmed them in
/// time. Ends at once if zones are not evacuated in this deployment.
pub(super) async fn follow_evacuations(
    cx: Arc<Shared>,
    store: Arc<StoreClient>,
    control: ActorRef<Control>,
) {
    if cx.evacuation_timing().is_none() {
        return;
    }
    sleep(Duration::from_millis(fastrand::u64(..FIRST_READ_SPREAD_MS))).await;
    let mut reader = EvacuationReader::new(cx, store);
    // Whether the last read failed.
    let mut failed = false;
    // Whether the set is stale, so that it is read over a new connection.
    let mut is_stale = false;
    let mut spread = random_spread();
    loop {
        let plan = control.ask(GetStoreReadPlan).await.ok().map(|ActorReply(plan)| plan);
        let is_assigner = plan.is_some_and(|plan| plan.is_assigner);
        if !is_assigner && !is_stale {
            reader.after = None;
            tell(&control, Input::EvacuationsWatched(false)).await;
            let stale = timeout(IDLE_POLL_INTERVAL, reader.cx.evacuations_stale(spread));
            is_stale = stale.await.is_ok();
            // A failed read is repeated without another line.
            if is_stale && !failed {
                reader.report_stale();
            }
            continue;
        }
        if !reader.cx.try_call_store(CallKind::Evacuations, is_assigner) {
            sleep(IDLE_POLL_INTERVAL).await;
            // Another daemon may have told the set meanwhile.
            is_stale &= reader.cx.are_evacuations_stale(spread);
            continue;
        }
        let watching = is_assigner && !is_stale && reader.after.is_some();
        tell(&control, Input::EvacuationsWatched(watching)).await;
        let started_at = reader.cx.clock.now();
        let result = match reader.after.filter(|_| watching) {
            Some(after) => {
                let stale = reader.cx.clone();
                let ended = tokio::select! {
                    result = reader.watch(after) => Some(result),
                    () = stale.evacuations_stale(spread) => None,
                };
                // The next call may have to wait.
                tell(&control, Input::EvacuationsWatched(false)).await;
                let Some(result) = ended else {
                    reader.report_stale();
                    is_stale = true;
                    continue;
                };
                result
            }
            None => {
                reader
                    .list(if is_stale { ConnectionChoice::New } else { ConnectionChoice::Any })
                    .await
            }
        };
        let was_stale = std::mem::take(&mut is_stale);
        match result {
            Ok((read_at, zones)) => {
                failed = false;
                spread = random_spread();
                tell(&control, Input::Evacuations { read_at: read_at.max(started_at), zones })
                    .await;
                // A set that the actor ignores as older leaves the known one stale.
                if was_stale {
                    sleep(REREAD_DELAY).await;
                }
            }
            Err(StoreError::Interrupted) => {}
            Err(StoreError::HistoryCompacted) => reader.after = None,
            Err(_) => {
                reader.after = None;
                failed = true;
            }
        }
    }
}

fn random_spread() -> Millis {
    Millis(fastrand::u64(..READ_SPREAD.0))
}

async fn tell(control: &ActorRef<Control>, input: Input) {
    // The actor runs until the process exits.
    let _ = control.tell(input).await;
}

/// The evacuated zones as read from the store.
struct EvacuationReader {
    cx: Arc<Shared>,
    store: Arc<StoreClient>,
    /// The zone that each key evacuates.
    zones: BTreeMap<String, SmolStr>,
    /// The revision after which a watch continues.
    after: Option<Revision>,
    /// The unusable keys that have been logged.
    malformed: HashSet<String>,
    /// The number of ignored zones that has been logged.
    ignored: usize,
}

impl EvacuationReader {
    fn new(cx: Arc<Shared>, store: Arc<StoreClient>) -> EvacuationReader {
        let (zones, malformed) = (BTreeMap::new(), HashSet::new());
        EvacuationReader { cx, store, zones, after: None, malformed, ignored: 0 }
    }

    fn report_stale(&self) {
        // Before the first time there is nothing that can be stale.
        if let Some(age) = self.cx.evacuations_age() {
            report(Event::EvacuationsStale, format_args!("confirmed_ms={}", age.0));
        }
    }

    /// Reads all zones. Returns when the request was sent, and the zones.
    async fn list(&mut self, choice: ConnectionChoice) -> Result<(Millis, ZoneSet), StoreError> {
        let started_at = self.cx.clock.now();
        let prefix = self.cx.platform.evacuations_prefix();
        let (mut keys, mut first_revision) = (Vec::new(), None);
        let on_page = |revision, items: Vec<Item>| {
            first_revision.get_or_insert(revision);
            keys.extend(items.into_iter().map(|item| item.key));
        };
        let coverage = self.store.list(prefix, choice, on_page).await?;
        // The pages are no snapshot, so a watch continues from the first one.
        let revision = first_revision.unwrap_or_default();
        self.zones.retain(|key, _| !coverage.includes(key));
        for key in keys {
            self.insert(key);
        }
        self.after = Some(revision);
        Ok((started_at, self.zone_set(revision)))
    }

    /// Waits for changes. Returns a time at which the store had no others, and the zones.
    async fn watch(&mut self, after: Revision) -> Result<(Millis, ZoneSet), StoreError> {
        let prefix = self.cx.platform.evacuations_prefix().to_owned();
        let request = StoreRequest::Watch { prefix, after, wait: WATCH_TIMEOUT };
        let (response, call) = self.store.traced_call(request, ConnectionChoice::Any).await;
        let (changes, revision) = match response? {
            StoreResponse::Changes { changes, revision } => (changes, revision),
            StoreResponse::HistoryCompacted => return Err(StoreError::HistoryCompacted),
            _ => return Err(StoreError::Malformed),
        };
        for change in changes {
            match change {
                Change::Written(item) => self.insert(item.key),
                Change::Removed { key, .. } => drop(self.zones.remove(&key)),
            }
        }
        let revision = revision.max(after);
        self.after = Some(revision);
        // A watch that has waited for its whole duration has read the store after that.
        let waited = call.ended_at.since(call.started_at) >= WATCH_TIMEOUT;
        let read_at = if waited { call.started_at + WATCH_TIMEOUT } else { call.started_at };
        Ok((read_at, self.zone_set(revision)))
    }

    fn insert(&mut self, key: String) {
        match self.cx.platform.decode_evacuation(&key) {
            Ok(zone) => drop(self.zones.insert(key, zone)),
            Err(error) => {
                if self.malformed.len() < MAX_REPORTED_KEYS && self.malformed.insert(key) {
                    report(Event::EvacuationMalformed, format_args!("error=\"{error}\""));
                }
            }
        }
    }

    fn zone_set(&mut self, revision: Revision) -> ZoneSet {
        let zones = ZoneSet::new(revision, self.zones.values().cloned());
        let ignored = zones.ignored();
        if ignored > std::mem::replace(&mut self.ignored, ignored) {
            let used = zones.names().len();
            let text = format_args!("error=\"too many zones\" used={used} ignored={ignored}");
            report(Event::EvacuationMalformed, text);
        }
        zones
    }
}
