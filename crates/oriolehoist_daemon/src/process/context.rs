use {
    crate::{
        connection::PeerClient,
        process::{Event, Metrics, report},
        version::View,
    },
    arc_swap::ArcSwap,
    oriolehoist_admission::{CrashId, CrashSuspects, Fingerprint, RetryBudgets},
    oriolehoist_platform::{InstanceList, Store},
    oriolehoist_protocol::{
        Incarnation, InstanceName, ServiceName, SuspectNotice, SuspectReport, Witness, ZoneName,
    },
    oriolehoist_publish::Published,
    oriolehoist_reach::{Paths, Peers},
    oriolehoist_refusal::KeyRing,
    oriolehoist_time::{Clock, Millis},
    std::{
        collections::HashSet,
        net::{IpAddr, SocketAddr},
        sync::{
            Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
};

/// The other daemons that respond.
#[derive(Clone, Debug, Default)]
pub(crate) struct LivePeers {
    /// Their addresses, each with whether it is in this daemon's availability zone.
    pub(crate) ways: Vec<(SocketAddr, bool)>,
    pub(crate) addresses: HashSet<SocketAddr>,
    pub(crate) incarnations: HashSet<Incarnation>,
}

impl LivePeers {
    pub(crate) fn new<'a>(
        peers: impl Iterator<Item = (&'a Witness, &'a ZoneName)>,
        own_zone: &ZoneName,
    ) -> LivePeers {
        let mut live = LivePeers::default();
        for (witness, zone) in peers {
            live.ways.push((witness.address, zone == own_zone));
            live.addresses.insert(witness.address);
            live.incarnations.insert(witness.incarnation);
        }
        live
    }
}

/// What all threads of a daemon share: its identity, its clients for other processes, and its
/// common state.
pub(crate) struct DaemonContext {
    pub(crate) clock: Clock,
    /// The local address of the daemon's outgoing connections.
    pub(crate) source: IpAddr,
    /// The daemon's instance, incarnation and peer address.
    pub(crate) identity: Witness,
    pub(crate) zone: ZoneName,
    pub(crate) store: Store,
    pub(crate) instances: InstanceList,
    pub(crate) peers: PeerClient,
    /// The keys that sign receipts.
    pub(crate) keys: KeyRing,
    pub(crate) metrics: Metrics,
    /// The settings and assignments by which the traffic threads route.
    pub(crate) view: Published<View>,
    crash_suspects: Mutex<CrashSuspects>,
    pub(crate) retry_budgets: Mutex<RetryBudgets<ServiceName>>,
    pub(crate) stopping: AtomicBool,
    /// The live peers, as the control actor last published them.
    pub(crate) live_peers: ArcSwap<LivePeers>,
    /// What this daemon knows of its paths to servers, by their addresses.
    pub(super) paths: Mutex<Paths<SocketAddr>>,
    /// What this daemon knows of the others as ways to servers.
    pub(super) ways: Mutex<Peers<SocketAddr, SocketAddr>>,
    id_counter: AtomicU64,
}

impl DaemonContext {
    pub(crate) fn new(
        clock: Clock,
        source: IpAddr,
        identity: Witness,
        zone: ZoneName,
        store: Store,
        instances: InstanceList,
        keys: KeyRing,
    ) -> eyre::Result<DaemonContext> {
        Ok(DaemonContext {
            clock,
            source,
            identity,
            zone,
            store,
            instances,
            peers: PeerClient::new(source),
            keys,
            metrics: Metrics::new()?,
            view: Published::default(),
            crash_suspects: Mutex::default(),
            retry_budgets: Mutex::default(),
            stopping: AtomicBool::new(false),
            live_peers: ArcSwap::default(),
            paths: Mutex::default(),
            ways: Mutex::default(),
            id_counter: AtomicU64::new(0),
        })
    }

    /// Returns whether the daemon has been asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the requests that were in flight at servers that crashed.
    pub(crate) fn crash_suspects(&self) -> MutexGuard<'_, CrashSuspects> {
        self.crash_suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request as a suspect of a crash that `source` has observed.
    pub(crate) fn record_suspect(&self, notice: SuspectNotice, source: &str) {
        let (request, crash) = (Fingerprint(notice.fingerprint), CrashId(notice.crashed.0));
        if self.crash_suspects().on_crash(self.clock.now(), request, crash) {
            report_quarantined(request, source);
        }
    }

    /// Adds the suspects that another daemon knows.
    pub(crate) fn merge_suspects(
        &self,
        now: Millis,
        reports: &[SuspectReport],
        source: &InstanceName,
    ) {
        for request in self.crash_suspects().merge(now, reports) {
            report_quarantined(request, source.as_str());
        }
    }

    /// Returns an id that is unique across daemons and restarts, for an exchange with a backend
    /// server or a write of a term record.
    pub(crate) fn next_unique_id(&self) -> String {
        let count = self.id_counter.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{count}", self.identity.instance, self.identity.incarnation.0)
    }
}

fn report_quarantined(request: Fingerprint, source: &str) {
    report(Event::RequestQuarantined, format_args!("fingerprint={request} from={source}"));
}
