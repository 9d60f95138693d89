//! The assigner's role: plans, stores the table, gives orders.

use {
    crate::{
        control::{
            actor::Control,
            knowledge::Knowledge,
            message::{Input, Member, SyncAnswer, TableWrite, Versions, Won},
            orders::OrderSender,
            store::{StoreClient, StoreError},
            table::write_table,
        },
        process::Shared,
    },
    bytes::Bytes,
    kameo::actor::ActorRef,
    oriolehoist_keyspace::{
        AssignmentTable, DEFAULT_GRANT_DURATION, FenceCounter, KeyRoutes, LoadReport, OrderId,
        OrderOutcome, RangeAssigner,
    },
    oriolehoist_log::{Event, report},
    oriolehoist_port::{LeaseId, Revision, StoreRequest, StoreResponse},
    oriolehoist_protocol::Incarnation,
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Time between renewals of the assigner's lease.
const KEEP_INTERVAL: Millis = Millis(400);
/// Time between renewals while the store does not answer.
const KEEP_RETRY: Millis = Millis(100);
/// Without a renewed lease for this long, grants are made to last as long as they may.
const DOUBTFUL_AFTER: Millis = Millis(700);
/// How much earlier than the lease's end the assigner stops.
const PERMISSION_MARGIN: Millis = Millis(30);
/// The first assignment waits until no server has registered for this long.
const SERVERS_SETTLED: Millis = Millis(1500);
/// How long after its start a daemon that takes over waits for servers to register again.
const START_WAIT: Millis = Millis(2500);
/// How long after a move its end is stored; several then share a write.
const TIDY_AFTER: Millis = Millis(500);
/// The pause before a failed write of the table is repeated.
const WRITE_RETRY: Millis = Millis(150);

/// The state of the daemon that is the assigner.
pub(crate) struct Assigner {
    pub(crate) won: Won,
    pub(crate) sender: Arc<OrderSender>,
    keepers: BTreeMap<SmolStr, RangeAssigner>,
    fences: FenceCounter,
    /// The newest planned version of the table, and the newest stored.
    version: u64,
    stored: u64,
    writing: bool,
    next_write: Millis,
    table_revision: Revision,
    kept_at: Millis,
    keeping: bool,
    next_keep: Millis,
    doubtful: bool,
    servers_changed_at: Millis,
    /// When to store the table anew because moves have ended.
    tidy_at: Option<Millis>,
    plan_from: Millis,
    /// What each peer is known to hold.
    pub(crate) peers: HashMap<SmolStr, PeerState>,
}

/// What the assigner knows of a peer.
#[derive(Debug)]
pub(crate) struct PeerState {
    incarnation: Incarnation,
    pub(crate) versions: Versions,
    pub(crate) in_flight: bool,
    pub(crate) next: Millis,
    /// When it last answered, or was first known.
    pub(crate) answered_at: Millis,
}

impl PeerState {
    fn new(now: Millis, incarnation: Incarnation) -> PeerState {
        PeerState {
            incarnation,
            versions: Versions::default(),
            in_flight: false,
            next: Millis::ZERO,
            answered_at: now,
        }
    }
}

impl Assigner {
    /// Takes the role over, continuing from the stored table.
    pub(crate) fn new(
        cx: &Arc<Shared>,
        started: Millis,
        won: Won,
        table: Option<(Revision, Bytes)>,
        known: &Knowledge,
    ) -> eyre::Result<Assigner> {
        let now = cx.clock.now();
        let permitted = won.until.since(PERMISSION_MARGIN);
        let mut assigner = Assigner {
            won,
            sender: Arc::new(OrderSender::new(Arc::clone(cx), permitted)),
            keepers: BTreeMap::new(),
            fences: FenceCounter::default(),
            version: 0,
            stored: 0,
            writing: false,
            next_write: now,
            table_revision: Revision::ABSENT,
            kept_at: now,
            keeping: false,
            next_keep: now + KEEP_INTERVAL,
            doubtful: false,
            servers_changed_at: now,
            tidy_at: None,
            plan_from: if now.since(started) < START_WAIT { now + START_WAIT } else { now },
            peers: HashMap::new(),
        };
        if let Some((revision, bytes)) = table {
            let table: AssignmentTable = serde_json::from_slice(&bytes)?;
            assigner.table_revision = revision;
            assigner.fences = table.fences;
            for (service, assigned) in &table.services {
                let mut keeper = RangeAssigner::new();
                keeper.adopt(now, assigned, cx.boot.bounds.max_grant_duration);
                assigner.keepers.insert(service.clone(), keeper);
            }
        }
        assigner.on_servers(now, known, true);
        Ok(assigner)
    }

    /// Plans nothing before this moment, since servers that live may not have registered again.
    pub(crate) fn wait_for_servers(&mut self, until: Millis) {
        self.plan_from = self.plan_from.max(until);
    }

    /// Returns whether this daemon may act as the assigner.
    pub(crate) fn is_permitted(&self, now: Millis) -> bool {
        now < self.sender.permitted_until()
    }

    /// Notes the registered servers, and the services that are split by key.
    pub(crate) fn on_servers(&mut self, now: Millis, known: &Knowledge, changed: bool) {
        if changed {
            self.servers_changed_at = now;
        }
        let Some(config) = &known.config else { return };
        for (service, _) in config.services.iter().filter(|(_, spec)| spec.sharded) {
            let keeper = self.keepers.entry(service.clone()).or_default();
            let servers = known.servers.servers.iter().filter(|entry| entry.service == *service);
            keeper.on_servers(now, servers);
        }
    }

    /// Does what is due. Returns the routes.
    pub(crate) fn tick(
        &mut self,
        cx: &Arc<Shared>,
        store: &Arc<StoreClient>,
        control: &ActorRef<Control>,
    ) -> BTreeMap<SmolStr, KeyRoutes> {
        let now = cx.clock.now();
        self.keep_lease(now, cx, store, control);
        if self.is_permitted(now) {
            self.plan(now);
            self.write_table(now, cx, store, control);
            self.send_orders(now, cx, control);
        }
        let routes = self.keepers.iter().map(|(name, keeper)| (name.clone(), keeper.routes(now)));
        routes.filter(|(_, routes)| !routes.is_empty()).collect()
    }

    fn keep_lease(
        &mut self,
        now: Millis,
        cx: &Arc<Shared>,
        store: &Arc<StoreClient>,
        control: &ActorRef<Control>,
    ) {
        let doubtful = now.since(self.kept_at) > DOUBTFUL_AFTER;
        if doubtful && !self.doubtful {
            for keeper in self.keepers.values_mut() {
                keeper.renew_now(now);
            }
        }
        self.doubtful = doubtful;
        if self.keeping || now < self.next_keep {
            return;
        }
        self.keeping = true;
        let (store, control, clock) = (Arc::clone(store), control.clone(), cx.clock);
        let Won { term, lease, .. } = self.won;
        tokio::spawn(async move {
            let sent = clock.now();
            let answer = store.call(StoreRequest::RenewLease(lease)).await;
            // The actor only ends with the process.
            let _ = control.tell(Input::LeaseKept { term, sent, answer }).await;
        });
    }

    /// Notes the end of a renewal. Returns whether this daemon is still the assigner.
    pub(crate) fn on_lease_kept(
        &mut self,
        now: Millis,
        sent: Millis,
        answer: &Result<StoreResponse, StoreError>,
    ) -> bool {
        self.keeping = false;
        self.next_keep = now.max(sent + KEEP_INTERVAL);
        match answer {
            Ok(StoreResponse::Lease { ttl: length, .. }) => {
                self.kept_at = sent;
                let until = sent + *length;
                self.sender.permit(until.since(PERMISSION_MARGIN));
                true
            }
            Ok(_) => false,
            Err(_) => {
                self.next_keep = now + KEEP_RETRY;
                true
            }
        }
    }

    fn plan(&mut self, now: Millis) {
        if now < self.plan_from {
            return;
        }
        let settled = now.since(self.servers_changed_at) >= SERVERS_SETTLED;
        let version = self.version + 1;
        let mut changed = false;
        for (service, keeper) in &mut self.keepers {
            let first = keeper.is_unassigned();
            if (settled || !first) && keeper.plan(now, version, &mut self.fences) {
                changed = true;
                report(
                    Event::OwnershipPlanned,
                    format_args!("service={service} version={version} first={first}"),
                );
            }
        }
        for keeper in self.keepers.values_mut() {
            if keeper.take_stored_table_stale() {
                self.tidy_at.get_or_insert(now + TIDY_AFTER);
            }
        }
        if changed || self.tidy_at.is_some_and(|at| now >= at) {
            self.version = version;
            self.tidy_at = None;
        }
    }

    fn write_table(
        &mut self,
        now: Millis,
        cx: &Arc<Shared>,
        store: &Arc<StoreClient>,
        control: &ActorRef<Control>,
    ) {
        if self.writing || self.stored >= self.version || now < self.next_write {
            return;
        }
        let services =
            self.keepers.iter().map(|(name, keeper)| (name.clone(), keeper.assigned_ranges()));
        let table = AssignmentTable {
            writer: cx.incarnation.0,
            version: self.version,
            fences: self.fences,
            services: services.collect(),
        };
        self.writing = true;
        let (store, control) = (Arc::clone(store), control.clone());
        let (term, before) = (self.won.term, self.table_revision);
        tokio::spawn(async move {
            let end = write_table(&store, term, before, &table).await;
            let version = table.version;
            // The actor only ends with the process.
            let _ = control.tell(Input::TableWritten { term, version, end }).await;
        });
    }

    /// Notes the end of a write. Returns whether this daemon is still the assigner.
    pub(crate) fn on_table_written(&mut self, now: Millis, version: u64, end: &TableWrite) -> bool {
        self.writing = false;
        match end {
            TableWrite::Stored(revision) => {
                self.table_revision = *revision;
                self.stored = version;
                for keeper in self.keepers.values_mut() {
                    keeper.on_stored(version);
                }
                true
            }
            TableWrite::Earlier(revision) => {
                self.table_revision = *revision;
                true
            }
            TableWrite::Superseded => false,
            TableWrite::Failed => {
                self.next_write = now + WRITE_RETRY;
                true
            }
        }
    }

    fn send_orders(&mut self, now: Millis, cx: &Arc<Shared>, control: &ActorRef<Control>) {
        let hold = match self.doubtful {
            true => cx.boot.bounds.max_grant_duration,
            false => DEFAULT_GRANT_DURATION.min(cx.boot.bounds.max_grant_duration),
        };
        for (service, keeper) in &mut self.keepers {
            for order in keeper.due_orders(now, hold) {
                let (sender, control) = (Arc::clone(&self.sender), control.clone());
                let (term, service) = (self.won.term, service.clone());
                tokio::spawn(async move {
                    let end = sender.send(&order).await;
                    let flight = order.id;
                    // The actor only ends with the process.
                    let _ = control.tell(Input::OrderEnded { term, service, flight, end }).await;
                });
            }
        }
    }

    pub(crate) fn on_order_ended(
        &mut self,
        now: Millis,
        service: &SmolStr,
        flight: OrderId,
        end: &OrderOutcome,
    ) {
        if let Some(keeper) = self.keepers.get_mut(service) {
            keeper.on_order_ended(now, flight, end);
        }
    }

    /// Returns what is known of a peer; one that has started again holds nothing.
    pub(crate) fn peer(&mut self, now: Millis, member: &Member) -> &mut PeerState {
        let new = || PeerState::new(now, member.incarnation);
        let peer = self.peers.entry(member.instance.clone()).or_insert_with(new);
        if peer.incarnation != member.incarnation {
            *peer = new();
        }
        peer
    }

    /// Notes a peer's answer, or that there was none.
    pub(crate) fn on_synced(&mut self, now: Millis, to: &Member, answer: Option<&SyncAnswer>) {
        let peer = self.peer(now, to);
        peer.in_flight = false;
        match answer {
            Some(answer) => {
                peer.versions = answer.versions;
                peer.answered_at = now;
                self.on_load(&answer.load);
            }
            None => peer.versions = Versions::default(),
        }
    }

    /// Notes the requests for keys that a daemon counted.
    pub(crate) fn on_load(&mut self, load: &[(SmolStr, LoadReport)]) {
        for (service, report) in load {
            if let Some(keeper) = self.keepers.get_mut(service) {
                keeper.on_load(report);
            }
        }
    }

    /// Returns the lease, to end it.
    pub(crate) fn lease(&self) -> LeaseId {
        self.won.lease
    }
}
