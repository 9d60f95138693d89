use {
    crate::{
        connection::{Caller, CallerOptions},
        process::Metrics,
        version::View,
    },
    oriolehoist_admission::{CrashId, CrashSuspects, Fingerprint, RetryBudget, RetryBudgets},
    oriolehoist_keyspace::LoadReport,
    oriolehoist_port::{BootstrapConfig, CallerLimits, Platform},
    oriolehoist_protocol::{Incarnation, SuspectNotice},
    oriolehoist_publish::Published,
    oriolehoist_time::{Clock, Millis},
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashMap},
        net::IpAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
    },
    tokio::sync::{Notify, broadcast},
};

/// How long after the request to stop idle connections of callers stay open, so that the balancer
/// has stopped sending new ones.
const KEEP_IDLE_OPEN: Millis = Millis(2200);
/// The part of the agreed retries that is used; the rest covers uneven shares of the traffic.
const RETRY_MARGIN: f64 = 0.7;

/// The longest wait for a connection to a peer.
const PEER_CONNECT_WAIT: Millis = Millis(250);
/// How long an idle connection to a peer is used again.
const PEER_IDLE_TIMEOUT: Millis = Millis(3000);
/// The retries that a daemon may always save up, so that a lost answer can be made good.
const LEAST_SAVINGS: u64 = 1;
/// Time between reports of how fast the servers are.
const WORK_REPORT_INTERVAL: Millis = Millis(400);
/// How many servers a request may crash before it is refused: the platform's bound. Fewer would
/// refuse requests that were at two servers that crashed for another reason.
const CRASHES_TO_QUARANTINE: usize = 3;

/// How many notices of suspects may wait to be told to the other daemons.
const MAX_NOTICES: usize = 64;

/// What every thread of a daemon shares.
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    pub(crate) boot: BootstrapConfig,
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) incarnation: Incarnation,
    pub(crate) metrics: Metrics,
    pub(crate) view: Published<View>,
    pub(crate) ready: AtomicBool,
    /// The assigner was heard, and is no longer.
    pub(crate) assigner_silent: Notify,
    stopping: AtomicBool,
    stopping_since: AtomicU64,
    connections: AtomicUsize,
    retries: Mutex<RetryBudgets<SmolStr>>,
    /// Requests that were at servers when these crashed.
    pub(crate) suspects: Mutex<CrashSuspects>,
    /// What this daemon has learnt of them and the others have not.
    pub(crate) suspect_notices: broadcast::Sender<SuspectNotice>,
    key_counts: Mutex<BTreeMap<SmolStr, HashMap<u16, u32>>>,
    work_reported: AtomicU64,
    /// Makes calls to the other daemons.
    pub(crate) peers: Caller,
}

impl Shared {
    pub(crate) fn new(boot: BootstrapConfig, platform: Arc<dyn Platform>) -> eyre::Result<Shared> {
        let clock = Clock::start();
        let peers = CallerOptions {
            connect_wait: PEER_CONNECT_WAIT,
            idle_timeout: PEER_IDLE_TIMEOUT,
            content_type: None,
        };
        Ok(Shared {
            clock,
            peers: Caller::new(clock, boot.peer_address.ip(), peers),
            boot,
            platform,
            incarnation: Incarnation(fastrand::u64(1..)),
            metrics: Metrics::new()?,
            view: Published::default(),
            ready: AtomicBool::new(false),
            assigner_silent: Notify::new(),
            stopping: AtomicBool::new(false),
            stopping_since: AtomicU64::new(0),
            connections: AtomicUsize::new(0),
            retries: Mutex::default(),
            suspects: Mutex::new(CrashSuspects::with_quarantine_threshold(CRASHES_TO_QUARANTINE)),
            suspect_notices: broadcast::Sender::new(MAX_NOTICES),
            key_counts: Mutex::default(),
            work_reported: AtomicU64::new(0),
        })
    }

    /// Returns the address from which this daemon connects to others.
    pub(crate) fn source(&self) -> IpAddr {
        self.boot.peer_address.ip()
    }

    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.view.load().map_or_else(CallerLimits::default, |view| view.config.limits)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    pub(crate) fn stop(&self) {
        self.stopping_since.store(self.clock.now().0, Ordering::Relaxed);
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Notes that a connection of a caller was opened.
    pub(crate) fn on_connection_opened(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a connection of a caller ended.
    pub(crate) fn on_connection_ended(&self) {
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns how many connections of callers are open.
    pub(crate) fn open_connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns whether the balancer had time to notice that this daemon is stopping.
    pub(crate) fn may_close_idle(&self) -> bool {
        let since = Millis(self.stopping_since.load(Ordering::Relaxed));
        self.clock.now().since(since) >= KEEP_IDLE_OPEN
    }

    /// Notes a request to a service, which earns a part of a retry.
    pub(crate) fn on_first_offer(&self, service: &SmolStr) {
        let percent = (self.boot.bounds.retry_budget_ratio * 100.0 * RETRY_MARGIN) as u64;
        self.with_retries(service, |budget| budget.on_first_attempt(percent));
    }

    /// Spends one retry of this daemon's share, if there is one.
    pub(crate) fn try_spend_retry(&self, service: &SmolStr) -> bool {
        self.with_retries(service, RetryBudget::try_spend)
    }

    fn with_retries<T>(&self, service: &SmolStr, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let savings = match self.view.load().map_or(0, |view| view.daemons) {
            // Until it is known with how many it is shared, little of it is used.
            0 => LEAST_SAVINGS,
            daemons => {
                let slack = f64::from(self.boot.bounds.retry_budget_slack) * RETRY_MARGIN;
                ((slack / daemons as f64) as u64).max(LEAST_SAVINGS)
            }
        };
        f(lock(&self.retries).get_or_create(service, savings))
    }

    /// Notes a crash that this daemon or another one saw.
    pub(crate) fn note_suspect(&self, notice: SuspectNotice) {
        let (fingerprint, crash) = (Fingerprint(notice.fingerprint), CrashId(notice.crashed.0));
        lock(&self.suspects).on_crash(self.clock.now(), fingerprint, crash);
    }

    /// Counts a request for a key.
    pub(crate) fn count_key(&self, service: &SmolStr, key: u16) {
        let mut counts = lock(&self.key_counts);
        *counts.entry(service.clone()).or_default().entry(key).or_default() += 1;
    }

    /// Takes what was counted since the last time, and now and then how fast the servers are.
    pub(crate) fn take_load(&self) -> Vec<(SmolStr, LoadReport)> {
        let counts = std::mem::take(&mut *lock(&self.key_counts));
        let now = self.clock.now();
        let due = self.work_reported.load(Ordering::Relaxed) + WORK_REPORT_INTERVAL.0 <= now.0;
        let view = self.view.load().filter(|_| due);
        if due {
            self.work_reported.store(now.0, Ordering::Relaxed);
        }
        let report = |(service, keys): (SmolStr, HashMap<u16, u32>)| {
            let servers = view.iter().filter_map(|view| view.services.get(&service)).flatten();
            let work = servers.filter_map(|server| {
                let total = server.gauge().take_service_time();
                let millis = u32::try_from(total.millis).unwrap_or(u32::MAX);
                (total.samples > 0).then(|| (server.life.id.clone(), millis, total.samples))
            });
            let work = work.collect();
            (
                service,
                LoadReport { requests_by_key: keys.into_iter().collect(), service_times: work },
            )
        };
        counts.into_iter().map(report).collect()
    }
}

/// Locks a mutex whose holders leave the data whole even if they panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
