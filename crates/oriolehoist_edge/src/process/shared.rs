use {
    crate::{
        connection::{BackendContext, HttpClient, HttpClientOptions, MAX_BODY_BYTES},
        control::OrDash,
        process::{Metrics, daemon::shutdown_time_limit, permits::Permits},
        request::Holds,
        version::View,
    },
    oriolehoist_admission::{CrashSuspects, RetryBudget, RetryBudgets, RouteWorks},
    oriolehoist_backoff::Backoff,
    oriolehoist_forwarding::Stop,
    oriolehoist_keyspace::LoadReport,
    oriolehoist_log::{Event, report},
    oriolehoist_port::{BootstrapConfig, CallerLimits, Platform, StoreEra},
    oriolehoist_protocol::{Incarnation, SuspectNotice},
    oriolehoist_publish::Published,
    oriolehoist_reach::{Paths, Peers},
    oriolehoist_time::{Clock, Millis},
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashMap},
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
    },
    tokio::sync::{broadcast, watch},
};

/// How long after the shutdown request connections from callers stay open. By then the load balancer
/// has stopped sending new requests.
const CLOSE_DELAY: Millis = Millis(2200);
/// The fraction of the agreed retry budget that is used. The rest covers traffic that is unevenly
/// distributed among the daemons.
const RETRY_BUDGET_FACTOR: f64 = 0.7;

/// The maximum time to establish a connection to a peer.
const PEER_CONNECT_TIMEOUT: Millis = Millis(250);
/// How long an idle connection to a peer may be reused.
const PEER_IDLE_TIMEOUT: Millis = Millis(3000);
/// The minimum number of retries that a daemon may accumulate, so that it can always retry after a
/// lost response.
const MIN_RETRY_SLACK: u64 = 1;
/// The time between two reports of the servers' service times.
const SERVICE_TIME_REPORT_INTERVAL: Millis = Millis(400);
/// The number of servers that a request may crash before it is refused, which is the bound given by
/// the platform. A lower number would refuse requests that were in flight at two servers that
/// crashed for another reason.
const QUARANTINE_THRESHOLD: usize = 3;

/// The maximum number of crash suspects waiting to be sent to the other daemons.
const SUSPECT_NOTICE_CAPACITY: usize = 64;

/// The daemons with which this one exchanges what it knows of the servers' load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum LoadPeers {
    /// All others.
    #[default]
    All,
    /// The peer addresses of relays, and of the daemons that this one is the relay of.
    Relayed { up: Vec<SocketAddr>, down: Vec<SocketAddr> },
}

/// An era of the store, and since when this daemon knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ObservedEra {
    pub(crate) era: StoreEra,
    pub(crate) since: Millis,
}

/// A request in flight for another daemon.
pub(crate) struct HandedOverGuard<'a>(&'a AtomicUsize);

impl Drop for HandedOverGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// State that is shared by all threads of a daemon.
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) bootstrap: BootstrapConfig,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) incarnation: Incarnation,
    pub(crate) metrics: Metrics,
    pub(crate) view: Published<View>,
    pub(crate) ready: AtomicBool,
    stopping: AtomicBool,
    /// Whether callers send requests, as far as is known.
    in_traffic: AtomicBool,
    stopping_since: AtomicU64,
    caller_connections: AtomicUsize,
    /// The number of requests in flight for other daemons.
    handed_over: AtomicUsize,
    servers_confirmed_at: AtomicU64,
    pub(super) config_confirmed_at: AtomicU64,
    pub(super) evacuations_confirmed_at: AtomicU64,
    /// The latest known era of the store, if any response named one.
    store_era: watch::Sender<Option<ObservedEra>>,
    /// Whether this daemon is the assigner.
    assigner_role: watch::Sender<bool>,
    load_peers: Published<LoadPeers>,
    /// Permits for requests to cold servers.
    pub(crate) permits: Permits,
    retry_budgets: Mutex<RetryBudgets<SmolStr>>,
    /// Requests that wait until their server's queue leaves room for more urgent ones.
    pub(crate) holds: Holds,
    /// Requests that were in flight at servers when those crashed.
    pub(crate) crash_suspects: Mutex<CrashSuspects>,
    /// Suspects that this daemon has found and the other daemons have not been notified of yet.
    pub(crate) suspect_notices: broadcast::Sender<SuspectNotice>,
    /// The number of requests for each key of each service since the last load report.
    key_counts: Mutex<BTreeMap<SmolStr, HashMap<u16, u32>>>,
    service_times_reported_at: AtomicU64,
    /// What this daemon knows of its paths to servers, by their short ids.
    pub(super) paths: Mutex<Paths<u32>>,
    /// When the store may be called while its calls fail.
    pub(super) store_backoff: Mutex<Backoff>,
    /// How long the requests of each route run.
    pub(super) route_works: Mutex<RouteWorks>,
    /// What this daemon knows of the others as ways to servers, by the short ids of these.
    pub(super) peers: Mutex<Peers<SocketAddr, u32>>,
    /// The client for control messages to the other daemons.
    pub(crate) peer_client: HttpClient,
    /// The client for callers' requests that other daemons send to servers.
    pub(crate) handover_client: HttpClient,
}

impl Shared {
    pub(crate) fn new(
        bootstrap: BootstrapConfig,
        platform: Arc<dyn Platform>,
    ) -> eyre::Result<Shared> {
        let clock = Clock::start();
        let in_traffic = AtomicBool::new(!bootstrap.first_start);
        let peer_options = HttpClientOptions {
            connect_timeout: PEER_CONNECT_TIMEOUT,
            idle_timeout: PEER_IDLE_TIMEOUT,
            content_type: None,
            max_body_bytes: MAX_BODY_BYTES,
        };
        let incarnation = Incarnation(fastrand::u64(1..));
        Ok(Shared {
            clock,
            peer_client: HttpClient::new(clock, bootstrap.peer_address.ip(), peer_options),
            handover_client: HttpClient::new(clock, bootstrap.peer_address.ip(), peer_options),
            bootstrap,
            platform,
            incarnation,
            metrics: Metrics::new()?,
            view: Published::default(),
            ready: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            in_traffic,
            stopping_since: AtomicU64::new(0),
            caller_connections: AtomicUsize::new(0),
            handed_over: AtomicUsize::new(0),
            servers_confirmed_at: AtomicU64::new(0),
            config_confirmed_at: AtomicU64::new(0),
            evacuations_confirmed_at: AtomicU64::new(0),
            store_era: watch::Sender::default(),
            assigner_role: watch::Sender::default(),
            load_peers: Published::default(),
            permits: Permits::default(),
            retry_budgets: Mutex::default(),
            holds: Holds::default(),
            crash_suspects: Mutex::new(CrashSuspects::with_quarantine_threshold(
                QUARANTINE_THRESHOLD,
            )),
            suspect_notices: broadcast::Sender::new(SUSPECT_NOTICE_CAPACITY),
            key_counts: Mutex::default(),
            paths: Mutex::default(),
            store_backoff: Mutex::new(Backoff::new(incarnation.0)),
            route_works: Mutex::default(),
            peers: Mutex::default(),
            service_times_reported_at: AtomicU64::new(0),
        })
    }

    /// Returns the local address for outgoing connections.
    pub(crate) fn source_ip(&self) -> IpAddr {
        self.bootstrap.peer_address.ip()
    }

    /// Sets with which daemons this one exchanges what it knows of the servers' load.
    pub(crate) fn set_load_peers(&self, peers: LoadPeers) {
        if *self.load_peers() != peers {
            self.load_peers.publish(peers);
        }
    }

    /// Returns with which daemons this one exchanges what it knows of the servers' load.
    pub(crate) fn load_peers(&self) -> Arc<LoadPeers> {
        self.load_peers.load().unwrap_or_default()
    }

    /// Returns what all backend servers have in common.
    pub(crate) fn backend_context(&self) -> BackendContext {
        BackendContext {
            source: self.source_ip(),
            clock: self.clock,
            drain_period: self.bootstrap.bounds.drain_period,
            in_traffic: self.is_in_traffic(),
        }
    }

    /// Returns whether callers send requests: not before the first one that this daemon gets after
    /// the first start of the whole deployment.
    pub(crate) fn is_in_traffic(&self) -> bool {
        self.in_traffic.load(Ordering::Relaxed)
    }

    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.view.load().map_or_else(CallerLimits::default, |view| view.config.limits)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn mark_stopping(&self) {
        self.stopping_since.store(self.clock.now().0, Ordering::Relaxed);
        self.stopping.store(true, Ordering::Relaxed);
        self.holds.close();
    }

    /// Sets the latest time at which the list of servers is known to have matched the store.
    pub(crate) fn set_servers_confirmed_at(&self, at: Millis) {
        self.servers_confirmed_at.store(at.0, Ordering::Relaxed);
    }

    /// Returns the latest time at which the list of servers is known to have matched the store.
    pub(crate) fn servers_confirmed_at(&self) -> Millis {
        Millis(self.servers_confirmed_at.load(Ordering::Relaxed))
    }

    /// Returns the time since the list of servers was last known to match the store.
    pub(crate) fn servers_age(&self) -> Millis {
        self.clock.now().since(self.servers_confirmed_at())
    }

    /// Returns the latest known era of the store, if any response named one.
    pub(crate) fn store_era(&self) -> Option<StoreEra> {
        self.observed_store_era().map(|observed| observed.era)
    }

    /// Returns the latest known era of the store, and since when it is known.
    pub(crate) fn observed_store_era(&self) -> Option<ObservedEra> {
        *self.store_era.borrow()
    }

    /// Records the era that a response of the store or a daemon named, if it is later than the one
    /// known. `source` is named in the log.
    pub(crate) fn observe_store_era(&self, era: StoreEra, source: &str) {
        let mut previous = None;
        let changed = self.store_era.send_if_modified(|observed| {
            previous = observed.map(|observed| observed.era);
            let is_later = previous.is_none_or(|known| known < era);
            if is_later {
                *observed = Some(ObservedEra { era, since: self.clock.now() });
            }
            is_later
        });
        if changed {
            self.metrics.set_store_era(era);
            let old = OrDash(previous);
            report(Event::StoreEraChanged, format_args!("old={old} new={era} call={source}"));
        }
    }

    /// Waits until an era later than `era` is known.
    pub(crate) async fn store_era_after(&self, era: StoreEra) {
        let mut eras = self.store_era.subscribe();
        // The sender is never dropped.
        let _ = eras.wait_for(|observed| observed.is_some_and(|observed| observed.era > era)).await;
    }

    /// Records whether this daemon is the assigner.
    pub(crate) fn set_assigner_role(&self, held: bool) {
        self.assigner_role.send_if_modified(|known| std::mem::replace(known, held) != held);
    }

    /// Waits until this daemon is the assigner.
    pub(crate) async fn assigner_role(&self) {
        let mut role = self.assigner_role.subscribe();
        // The sender is never dropped.
        let _ = role.wait_for(|held| *held).await;
    }

    /// Records that a connection from a caller was opened.
    pub(crate) fn on_connection_opened(&self) {
        self.caller_connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a connection from a caller was closed.
    pub(crate) fn on_connection_ended(&self) {
        self.caller_connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Counts a request for another daemon until the returned value is dropped.
    pub(crate) fn count_handed_over(&self) -> HandedOverGuard<'_> {
        self.handed_over.fetch_add(1, Ordering::Relaxed);
        HandedOverGuard(&self.handed_over)
    }

    /// Returns the number of open connections from callers, and of requests for other daemons.
    pub(crate) fn open_connections(&self) -> usize {
        self.caller_connections.load(Ordering::Relaxed) + self.handed_over.load(Ordering::Relaxed)
    }

    /// Returns by when a request has to end, if this daemon is shutting down.
    pub(crate) fn stop(&self) -> Option<Stop> {
        if !self.is_stopping() {
            return None;
        }
        let since = Millis(self.stopping_since.load(Ordering::Relaxed));
        let limit = shutdown_time_limit(self.bootstrap.bounds.shutdown_grace);
        Some(Stop { callers_leave: since + CLOSE_DELAY, exits: since + limit })
    }

    /// Returns whether connections may be closed: this daemon is shutting down, and the load
    /// balancer has had time to notice.
    pub(crate) fn may_close_connections(&self) -> bool {
        let since = Millis(self.stopping_since.load(Ordering::Relaxed));
        self.is_stopping() && self.clock.now().since(since) >= CLOSE_DELAY
    }

    /// Records a new request to a service, which earns a fraction of a retry.
    pub(crate) fn on_new_request(&self, service: &SmolStr) {
        self.in_traffic.store(true, Ordering::Relaxed);
        let percent =
            (self.bootstrap.bounds.retry_budget_ratio * 100.0 * RETRY_BUDGET_FACTOR) as u64;
        self.with_retry_budget(service, |budget| budget.on_first_attempt(percent));
    }

    /// Takes one retry from this daemon's share of the budget. Returns whether one was available.
    pub(crate) fn try_spend_retry(&self, service: &SmolStr) -> bool {
        self.with_retry_budget(service, RetryBudget::try_spend)
    }

    fn with_retry_budget<T>(&self, service: &SmolStr, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let capacity = match self.view.load().and_then(|view| view.fleet_size) {
            None => MIN_RETRY_SLACK,
            Some(daemons) => {
                let slack =
                    f64::from(self.bootstrap.bounds.retry_budget_slack) * RETRY_BUDGET_FACTOR;
                ((slack / daemons as f64) as u64).max(MIN_RETRY_SLACK)
            }
        };
        f(lock(&self.retry_budgets).get_or_create(service, capacity))
    }

    /// Counts a request for a key.
    pub(crate) fn count_key_request(&self, service: &SmolStr, key: u16) {
        let mut counts = lock(&self.key_counts);
        *counts.entry(service.clone()).or_default().entry(key).or_default() += 1;
    }

    /// Takes the request counts since the last call and, once per report interval, the measured
    /// service times of the servers.
    pub(crate) fn take_load_reports(&self) -> Vec<(SmolStr, LoadReport)> {
        let mut counts = std::mem::take(&mut *lock(&self.key_counts));
        let now = self.clock.now();
        let due = self.service_times_reported_at.load(Ordering::Relaxed)
            + SERVICE_TIME_REPORT_INTERVAL.0
            <= now.0;
        let view = self.view.load().filter(|_| due);
        if due {
            self.service_times_reported_at.store(now.0, Ordering::Relaxed);
        }
        // Services without keys are measured as well.
        for service in view.iter().flat_map(|view| view.services.keys()) {
            counts.entry(service.clone()).or_default();
        }
        let report = |(service, keys): (SmolStr, HashMap<u16, u32>)| {
            let servers = view.iter().filter_map(|view| view.services.get(&service)).flatten();
            let measured = servers.filter_map(|server| {
                let total = server.load_estimator().take_service_time();
                let millis = u32::try_from(total.millis).unwrap_or(u32::MAX);
                (total.samples > 0).then(|| (server.incarnation.clone(), millis, total.samples))
            });
            let measured = measured.collect();
            (
                service,
                LoadReport { requests_by_key: keys.into_iter().collect(), service_times: measured },
            )
        };
        let reports = counts.into_iter().map(report);
        let is_empty = |report: &LoadReport| {
            report.requests_by_key.is_empty() && report.service_times.is_empty()
        };
        reports.filter(|(_, report)| !is_empty(report)).collect()
    }
}

/// Locks a mutex, ignoring poisoning. Only for data that stays consistent if a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
