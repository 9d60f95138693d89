//! The loops that feed the control actor: time, and what is read in the store.

use {
    crate::{
        control::{
            Control, StoreClient,
            election::{MEMBERS_PREFIX, TABLE_KEY},
            handlers::{AskReading, AskServers, Reading, Reply},
            message::{Input, Member},
            occupancy::exchange,
            peers::{ask_knowledge, spread_suspects},
            servers::ServerReader,
        },
        process::Shared,
    },
    kameo::actor::ActorRef,
    oriolehoist_port::{Change, Item, LeaseId, Revision, StoreRequest, StoreResponse, Transaction},
    oriolehoist_time::Millis,
    std::{collections::BTreeMap, ops::Range, sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval, sleep},
};

/// Time between ticks of the decisions.
const TICK: Duration = Duration::from_millis(25);
/// The longest wait of a watch of the configuration by the daemons that watch it closely: it bounds
/// how long a connection that went silent is trusted.
const CONFIG_WAIT: Millis = Millis(5000);
/// The same for the others, which the assigner tells.
const RELAXED_CONFIG_WAIT: Millis = Millis(28_000);
/// The longest wait of a watch of the members.
const MEMBERS_WAIT: Millis = Millis(8000);
/// The pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// The pause before reading anew when the store has dropped its history.
const HISTORY_PAUSE: Duration = Duration::from_millis(100);
/// The pause between two readings of the servers, so that changes at the same time come together.
const SERVERS_PAUSE: Duration = Duration::from_millis(200);
/// How often a reader that is not needed looks whether it is.
const IDLE_PAUSE: Duration = Duration::from_millis(50);
/// How long a member's entry outlives its daemon. The assigner notices earlier that it is gone.
const MEMBER_LEASE: Millis = Millis::from_secs(60);
/// Time between renewals of a member's entry, in milliseconds; they are spread, since daemons start
/// together.
const MEMBER_INTERVAL: Range<u64> = 12_000..24_000;
/// How often a starting daemon tries to read the stored table.
const TABLE_ATTEMPTS: u32 = 20;
/// How long a starting daemon waits for the store before it asks its seeds.
const SEEDS_AFTER: Duration = Duration::from_millis(700);

/// Starts the loops.
pub(crate) fn spawn_tasks(
    cx: &Arc<Shared>,
    store: &Arc<StoreClient>,
    control: &ActorRef<Control>,
    me: &Member,
) {
    let feed = Feed { cx: Arc::clone(cx), store: Arc::clone(store), control: control.clone() };
    tokio::spawn(exchange(Arc::clone(cx)));
    tokio::spawn(spread_suspects(Arc::clone(cx)));
    tokio::spawn(feed.clone().tick());
    tokio::spawn(feed.clone().follow_config());
    tokio::spawn(feed.clone().follow_servers());
    tokio::spawn(feed.clone().follow_members());
    tokio::spawn(feed.clone().register(me.clone()));
    tokio::spawn(feed.clone().read_table());
    tokio::spawn(feed.ask_seeds());
}

#[derive(Clone)]
struct Feed {
    cx: Arc<Shared>,
    store: Arc<StoreClient>,
    control: ActorRef<Control>,
}

impl Feed {
    async fn tell(&self, input: Input) {
        // The actor only ends with the process.
        let _ = self.control.tell(input).await;
    }

    async fn reading(&self) -> Option<Reading> {
        self.control.ask(AskReading).await.ok().map(|Reply(reading)| reading)
    }

    async fn tick(self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            self.tell(Input::Tick).await;
        }
    }

    /// Follows the operators' configuration: reads it, and waits for the next change.
    async fn follow_config(self) {
        let key = self.cx.platform.configuration_key();
        let mut after = None;
        loop {
            let Some(revision) = after else {
                match self.store.call(StoreRequest::Get(key.into())).await {
                    Ok(StoreResponse::Item { item: Some(item), revision: at }) => {
                        after = Some(at);
                        self.tell(Input::Config(item.value)).await;
                    }
                    _ => sleep(FAILURE_PAUSE).await,
                }
                continue;
            };
            let closely = self.reading().await.is_none_or(|reading| reading.config_closely);
            let wait = if closely { CONFIG_WAIT } else { RELAXED_CONFIG_WAIT };
            let call = StoreRequest::Watch { prefix: key.into(), after: revision, wait };
            let answer = tokio::select! {
                answer = self.store.call(call) => answer,
                // Nobody would tell of a change if this watch has gone silent.
                () = self.cx.assigner_silent.notified(), if !closely => {
                    after = None;
                    continue;
                }
            };
            match answer {
                Ok(StoreResponse::Changes { changes, revision: at }) => {
                    for change in changes {
                        if let Change::Written(item) = change {
                            self.tell(Input::Config(item.value)).await;
                        }
                    }
                    after = Some(at.max(revision));
                }
                // The history is gone: the configuration is read anew, from where it goes on.
                Ok(_) => {
                    after = None;
                    sleep(HISTORY_PAUSE).await;
                }
                Err(_) => {
                    // A change may have been missed: read it anew.
                    after = None;
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Reads the servers while this daemon is the assigner, or hears nothing of it.
    async fn follow_servers(self) {
        let mut reader = ServerReader::default();
        let mut idle = false;
        loop {
            let needed = self.reading().await.is_some_and(|reading| reading.servers);
            if !needed {
                if !idle {
                    self.tell(Input::ServersUnread).await;
                    idle = true;
                }
                sleep(IDLE_PAUSE).await;
                continue;
            }
            let platform = self.cx.platform.as_ref();
            if idle && let Ok(Reply(known)) = self.control.ask(AskServers).await {
                reader.restart(platform, &known);
            }
            idle = false;
            let began = self.cx.clock.now();
            let clock = self.cx.clock;
            match reader.read(&self.store, platform, || clock.now()).await {
                Ok(list) => {
                    let settles_at = reader.settles_at();
                    self.tell(Input::Servers { began, list, settles_at }).await;
                    sleep(SERVERS_PAUSE).await;
                }
                Err(_) => {
                    self.tell(Input::ServersUnread).await;
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Follows the members while this daemon is the assigner.
    async fn follow_members(self) {
        let mut members: BTreeMap<String, Member> = BTreeMap::new();
        let mut after = None;
        loop {
            if !self.reading().await.is_some_and(|reading| reading.members) {
                after = None;
                sleep(IDLE_PAUSE).await;
                continue;
            }
            let prefix = MEMBERS_PREFIX.to_owned();
            let call = match after {
                None => StoreRequest::List { prefix, after: None },
                Some(after) => StoreRequest::Watch { prefix, after, wait: MEMBERS_WAIT },
            };
            match self.store.call(call).await {
                Ok(StoreResponse::Page { items, revision: at, .. }) => {
                    members.clear();
                    members.extend(items.into_iter().filter_map(member));
                    after = Some(at);
                }
                Ok(StoreResponse::Changes { changes, revision: at }) => {
                    for change in changes {
                        match change {
                            Change::Written(item) => members.extend(member(item)),
                            Change::Removed(key) => drop(members.remove(&key)),
                        }
                    }
                    after = Some(at.max(after.unwrap_or_default()));
                }
                Ok(_) => {
                    after = None;
                    continue;
                }
                Err(_) => {
                    after = None;
                    sleep(FAILURE_PAUSE).await;
                    continue;
                }
            }
            self.tell(Input::Members(members.values().cloned().collect())).await;
        }
    }

    /// Keeps this daemon's entry among the members.
    async fn register(self, me: Member) {
        let key = format!("{MEMBERS_PREFIX}{}", me.instance);
        let Ok(value) = serde_json::to_vec(&me) else { return };
        let mut lease: Option<LeaseId> = None;
        loop {
            let Some(id) = lease else {
                lease = self.enter(&key, &value).await;
                if lease.is_none() {
                    sleep(FAILURE_PAUSE).await;
                }
                continue;
            };
            sleep(Duration::from_millis(fastrand::u64(MEMBER_INTERVAL))).await;
            match self.store.call(StoreRequest::RenewLease(id)).await {
                Ok(StoreResponse::Lease { .. }) => {}
                Ok(_) => lease = None,
                Err(_) => sleep(FAILURE_PAUSE).await,
            }
        }
    }

    async fn enter(&self, key: &str, value: &[u8]) -> Option<LeaseId> {
        let length = MEMBER_LEASE.max(self.cx.boot.min_lease_ttl);
        let opened = self.store.call(StoreRequest::CreateLease(length)).await;
        let Ok(StoreResponse::Lease { id: Some(lease), .. }) = opened else { return None };
        let commit = Transaction::default().put(key, value.to_vec(), Some(lease));
        match self.store.call(StoreRequest::Transaction(commit)).await {
            Ok(StoreResponse::Committed(Revision(_))) => Some(lease),
            _ => None,
        }
    }

    /// Reads the stored table once: until an assigner is heard it says who most likely holds which
    /// keys, also after all daemons were lost.
    async fn read_table(self) {
        for _ in 0..TABLE_ATTEMPTS {
            match self.store.call(StoreRequest::Get(TABLE_KEY.into())).await {
                Ok(StoreResponse::Item { item, .. }) => {
                    if let Some(item) = item {
                        self.tell(Input::StoredTable(item.value)).await;
                    }
                    return;
                }
                _ => sleep(FAILURE_PAUSE).await,
            }
        }
    }

    /// Asks the seeds for what they know while the store does not answer a daemon that starts.
    async fn ask_seeds(self) {
        loop {
            sleep(SEEDS_AFTER).await;
            if self.reading().await.is_none_or(|reading| reading.config) {
                return;
            }
            for seed in &self.cx.boot.seed_addresses {
                if *seed == self.cx.boot.peer_address {
                    continue;
                }
                if let Some(sync) = ask_knowledge(&self.cx, *seed).await {
                    // The actor only ends with the process.
                    let _ = self.control.ask(sync).await;
                }
            }
        }
    }
}

fn member(item: Item) -> Option<(String, Member)> {
    serde_json::from_slice(&item.value).ok().map(|member| (item.key, member))
}
