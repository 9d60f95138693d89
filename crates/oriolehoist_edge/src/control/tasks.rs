//! Tasks that send the control actor its inputs: a periodic tick, and what is read from the store.

use {
    crate::{
        control::{
            Control, StoreClient,
            config_reader::follow_config,
            election::{MEMBERS_PREFIX, TABLE_KEY},
            evacuation_reader::follow_evacuations,
            handlers::{ActorReply, GetServers, GetStoreReadPlan, StoreReadPlan},
            load_gossip::run_load_gossip,
            message::{Input, Member},
            peer_query::{peer_to_ask, query_peer},
            peers::{broadcast_suspects, fetch_cluster_state},
            servers::ServerReader,
            store::{ConnectionChoice, StoreError},
            store_check::check_store,
            stored_suspects::read_suspects,
        },
        process::Shared,
    },
    kameo::actor::ActorRef,
    oriolehoist_backoff::CallKind,
    oriolehoist_fleet::table_read_delay,
    oriolehoist_log::{Event, Word, report},
    oriolehoist_port::{
        Change, Item, LeaseId, Revision, StoreEra, StoreRequest, StoreResponse, Transaction,
    },
    oriolehoist_time::Millis,
    std::{collections::BTreeMap, ops::Range, sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval, sleep},
};

/// The time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// The maximum duration of a watch of the members.
const MEMBERS_WATCH_TIMEOUT: Millis = Millis(8000);
/// The delay after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The delay before the servers are read again after a change, so that simultaneous changes are
/// read together.
const SERVERS_READ_INTERVAL: Duration = Duration::from_millis(200);
/// How often a reader that is not needed checks whether it has become needed.
pub(super) const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the entry of a member outlives its daemon. The assigner notices earlier that the daemon
/// is gone.
const MEMBER_LEASE_TTL: Millis = Millis::from_secs(60);
/// The time between renewals of a member's entry, in milliseconds. It is randomized because daemons
/// start at the same time.
const MEMBER_RENEWAL_INTERVAL_MS: Range<u64> = 12_000..24_000;
/// The delay before a daemon writes its entry again because the store may have lost it, in
/// milliseconds. It is randomized because all daemons do so.
const MEMBER_REWRITE_DELAY_MS: Range<u64> = 0..1000;
/// The maximum delay before a daemon tries again to write its entry. Each try is a call to the store,
/// also if it is refused, and the assigner keeps daemons that respond.
const MAX_MEMBER_RETRY_DELAY: Duration = Duration::from_millis(3200);
/// How long after a return from an older copy the store may lack the entries of members.
pub(super) const MEMBER_REWRITE_PERIOD: Millis = Millis(3000);
/// How many times a starting daemon tries to read the stored table.
const TABLE_READ_ATTEMPTS: u32 = 20;
/// How long a starting daemon waits for the store before it queries its seeds.
const SEED_QUERY_DELAY: Duration = Duration::from_millis(700);

/// Spawns all control tasks.
pub(crate) fn spawn_tasks(
    cx: &Arc<Shared>,
    store: &Arc<StoreClient>,
    control: &ActorRef<Control>,
    local: &Member,
) {
    let tasks =
        ControlTasks { cx: Arc::clone(cx), store: Arc::clone(store), control: control.clone() };
    tokio::spawn(run_load_gossip(Arc::clone(cx)));
    tokio::spawn(broadcast_suspects(Arc::clone(cx)));
    tokio::spawn(follow_evacuations(Arc::clone(cx), Arc::clone(store), control.clone()));
    tokio::spawn(follow_config(Arc::clone(cx), Arc::clone(store), control.clone()));
    tokio::spawn(check_store(Arc::clone(cx), Arc::clone(store), control.clone()));
    tokio::spawn(tasks.clone().tick());
    tokio::spawn(tasks.clone().follow_servers());
    tokio::spawn(tasks.clone().follow_members());
    tokio::spawn(tasks.clone().register(local.clone()));
    tokio::spawn(tasks.clone().load_stored_table());
    tokio::spawn(tasks.query_seeds());
}

#[derive(Clone)]
struct ControlTasks {
    cx: Arc<Shared>,
    store: Arc<StoreClient>,
    control: ActorRef<Control>,
}

impl ControlTasks {
    async fn send_input(&self, input: Input) {
        // The actor runs until the process exits.
        let _ = self.control.tell(input).await;
    }

    async fn store_read_plan(&self) -> Option<StoreReadPlan> {
        self.control.ask(GetStoreReadPlan).await.ok().map(|ActorReply(plan)| plan)
    }

    async fn tick(self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            ticks.tick().await;
            self.send_input(Input::Tick).await;
        }
    }

    /// Reads the servers while this daemon is the assigner, or its list from the assigner is stale.
    async fn follow_servers(self) {
        let mut reader = ServerReader::default();
        let mut idle = false;
        let mut asked_at = None;
        loop {
            let plan = self.store_read_plan().await;
            let is_assigner = plan.is_some_and(|plan| plan.is_assigner);
            if !plan.is_some_and(|plan| plan.reads_servers) {
                if !idle {
                    self.send_input(Input::ServersWatched(false)).await;
                    idle = true;
                }
                sleep(IDLE_POLL_INTERVAL).await;
                continue;
            }
            // An assigner that keeps its role although its reads fail learns changes from the others.
            let reads_fail = reader.is_failing();
            if (!is_assigner || reads_fail)
                && let Some(peer) = peer_to_ask(&self.cx, reads_fail, &mut asked_at)
            {
                if let Some(state) = query_peer(&self.cx, peer).await {
                    self.send_input(Input::PeerState(Box::new(state))).await;
                }
                continue;
            }
            if !self.cx.try_call_store(CallKind::Servers, is_assigner) {
                sleep(IDLE_POLL_INTERVAL).await;
                continue;
            }
            let platform = self.cx.platform.as_ref();
            if idle && let Ok(ActorReply(registry)) = self.control.ask(GetServers).await {
                reader.restart(registry);
            }
            idle = false;
            let read_at = self.cx.clock.now();
            let clock = self.cx.clock;
            let known = reader.version().digest;
            if reader.is_watching() {
                self.send_input(Input::ServersWatched(true)).await;
            }
            match reader.read(&self.store, platform, || clock.now()).await {
                Ok(registry) => {
                    let changed = registry.version().digest != known;
                    self.send_input(Input::Servers { read_at, registry }).await;
                    if changed {
                        sleep(SERVERS_READ_INTERVAL).await;
                    }
                }
                Err(_) => self.send_input(Input::ServersWatched(false)).await,
            }
        }
    }

    /// Reads the registered members while this daemon is the assigner.
    async fn follow_members(self) {
        let mut members: BTreeMap<String, (Revision, Member)> = BTreeMap::new();
        let mut after = None;
        loop {
            if !self.store_read_plan().await.is_some_and(|plan| plan.is_assigner) {
                after = None;
                sleep(IDLE_POLL_INTERVAL).await;
                continue;
            }
            if !self.cx.try_call_store(CallKind::Members, true) {
                sleep(IDLE_POLL_INTERVAL).await;
                continue;
            }
            let result = match after {
                None => self.list_members(&mut members).await,
                Some(after) => self.watch_members(&mut members, after).await,
            };
            after = match result {
                Ok(revision) => Some(revision),
                Err(StoreError::Interrupted) => after,
                Err(StoreError::HistoryCompacted) => None,
                Err(_) => None,
            };
            if after.is_some() {
                let members = members.values().map(|(_, member)| member.clone()).collect();
                self.send_input(Input::Members(members)).await;
            }
        }
    }

    /// Reads all members. Returns the revision from which a watch has to continue: that of the first
    /// page, because the pages are not a snapshot.
    async fn list_members(
        &self,
        members: &mut BTreeMap<String, (Revision, Member)>,
    ) -> Result<Revision, StoreError> {
        let (mut listed, mut first_revision) = (Vec::new(), None);
        let on_page = |revision, items: Vec<Item>| {
            first_revision.get_or_insert(revision);
            listed.extend(items.into_iter().filter_map(parse_member));
        };
        let coverage = self.store.list(MEMBERS_PREFIX, ConnectionChoice::Any, on_page).await?;
        members.retain(|key, _| !coverage.includes(key));
        members.extend(listed);
        Ok(first_revision.unwrap_or_default())
    }

    /// Waits for changes of the members, and applies those that are not included yet. Returns the
    /// revision from which the next watch has to continue.
    async fn watch_members(
        &self,
        members: &mut BTreeMap<String, (Revision, Member)>,
        after: Revision,
    ) -> Result<Revision, StoreError> {
        let prefix = MEMBERS_PREFIX.to_owned();
        let request = StoreRequest::Watch { prefix, after, wait: MEMBERS_WATCH_TIMEOUT };
        let (changes, revision) = match self.store.call(request).await? {
            StoreResponse::Changes { changes, revision } => (changes, revision),
            StoreResponse::HistoryCompacted => return Err(StoreError::HistoryCompacted),
            _ => return Err(StoreError::Malformed),
        };
        for change in changes {
            let (key, revision) = match &change {
                Change::Written(item) => (&item.key, item.revision),
                Change::Removed { key, revision } => (key, *revision),
            };
            if members.get(key).is_some_and(|(known, _)| *known >= revision) {
                continue;
            }
            match change {
                Change::Written(item) => members.extend(parse_member(item)),
                Change::Removed { key, .. } => drop(members.remove(&key)),
            }
        }
        Ok(revision.max(after))
    }

    /// Registers this daemon as a member, and keeps the entry alive.
    async fn register(self, local: Member) {
        let key = format!("{MEMBERS_PREFIX}{}", local.instance);
        let Ok(value) = serde_json::to_vec(&local) else { return };
        let mut lease: Option<(LeaseId, StoreEra)> = None;
        let mut retry_delay = RETRY_DELAY;
        loop {
            let Some((id, era)) = lease else {
                while !self.cx.try_call_store(CallKind::Registration, false) {
                    sleep(IDLE_POLL_INTERVAL).await;
                }
                lease = self.create_member_entry(&key, &value).await;
                if lease.is_none() {
                    sleep(retry_delay.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
                    retry_delay = (retry_delay * 2).min(MAX_MEMBER_RETRY_DELAY);
                } else {
                    retry_delay = RETRY_DELAY;
                }
                continue;
            };
            let renewal_delay = Duration::from_millis(fastrand::u64(MEMBER_RENEWAL_INTERVAL_MS));
            tokio::select! {
                () = sleep(renewal_delay) => {}
                // The store may have lost the entry, and issued its lease again to another daemon.
                () = self.cx.store_era_after(era) => {
                    lease = None;
                    sleep(Duration::from_millis(fastrand::u64(MEMBER_REWRITE_DELAY_MS))).await;
                    continue;
                }
            }
            while !self.cx.try_call_store(CallKind::Registration, false) {
                sleep(IDLE_POLL_INTERVAL).await;
            }
            match self.store.call(StoreRequest::RenewLease(id)).await {
                Ok(StoreResponse::Lease { .. }) => {}
                Ok(_) => lease = None,
                Err(_) => {}
            }
        }
    }

    /// Writes this daemon's entry. Returns its lease and the era that they belong to.
    async fn create_member_entry(&self, key: &str, value: &[u8]) -> Option<(LeaseId, StoreEra)> {
        let ttl = MEMBER_LEASE_TTL.max(self.cx.bootstrap.min_lease_ttl);
        let response = self.store.call(StoreRequest::CreateLease(ttl)).await;
        let Ok(StoreResponse::Lease { id: Some(lease), .. }) = response else { return None };
        let era = self.cx.store_era().unwrap_or_default();
        let transaction = Transaction::default().put(key, value.to_vec(), Some(lease));
        match self.store.call(StoreRequest::Transaction(transaction)).await {
            Ok(StoreResponse::Committed(revision)) if revision.era() == era => Some((lease, era)),
            _ => None,
        }
    }

    /// Reads the stored table once. Until there is contact with an assigner, it gives the most
    /// likely owner of each key, even after all daemons have failed.
    async fn load_stored_table(self) {
        if self.cx.bootstrap.first_start {
            return;
        }
        for attempts in 0..TABLE_READ_ATTEMPTS {
            let size = self.cx.bootstrap.size;
            sleep(Duration::from(table_read_delay(size, attempts, fastrand::f64()))).await;
            // The assigner may have sent the routes by now.
            if self.store_read_plan().await.is_some_and(|plan| plan.has_routes) {
                return;
            }
            let response = self.store.call(StoreRequest::Get(TABLE_KEY.into())).await;
            let Ok(StoreResponse::Item { item, .. }) = response else { continue };
            if let Some(item) = item {
                self.send_input(Input::StoredTable(item.value)).await;
            }
            // All daemons may have ended, so that none knows the crash suspects.
            read_suspects(&self.cx, &self.store).await;
            return;
        }
    }

    /// Queries the seeds for the cluster state while this daemon is starting and the store does not
    /// respond.
    async fn query_seeds(self) {
        loop {
            sleep(SEED_QUERY_DELAY).await;
            if self.store_read_plan().await.is_none_or(|plan| plan.has_config) {
                return;
            }
            for seed in &self.cx.bootstrap.seed_addresses {
                if *seed == self.cx.bootstrap.peer_address {
                    continue;
                }
                if let Some(sync) = fetch_cluster_state(&self.cx, *seed).await {
                    // The actor runs until the process exits.
                    let _ = self.control.ask(sync).await;
                }
            }
        }
    }
}

fn parse_member(item: Item) -> Option<(String, (Revision, Member))> {
    let log_malformed = |error: &serde_json::Error| {
        report(Event::PeerMalformed, format_args!("key={} error=\"{error}\"", Word(&item.key)));
    };
    let member = serde_json::from_slice(&item.value).inspect_err(log_malformed).ok()?;
    Some((item.key, (item.revision, member)))
}
