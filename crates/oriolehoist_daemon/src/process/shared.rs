use {
    crate::{connection::PeerClient, process::Metrics, version::View},
    arc_swap::ArcSwap,
    oriolehoist_admission::{CrashSuspects, RetryBudgets},
    oriolehoist_platform::{InstanceList, Store},
    oriolehoist_protocol::{ServiceName, Witness, ZoneName},
    oriolehoist_publish::Published,
    oriolehoist_refusal::KeyRing,
    oriolehoist_time::Clock,
    std::{
        net::{IpAddr, SocketAddr},
        sync::{
            Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
};

/// What every thread of a daemon shares: who it is, and how it reaches the others.
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    /// The address from which this daemon connects to others.
    pub(crate) source: IpAddr,
    pub(crate) me: Witness,
    pub(crate) zone: ZoneName,
    pub(crate) store: Store,
    pub(crate) instances: InstanceList,
    pub(crate) peers: PeerClient,
    pub(crate) keys: KeyRing,
    pub(crate) metrics: Metrics,
    pub(crate) view: Published<View>,
    pub(crate) suspects: Mutex<CrashSuspects>,
    pub(crate) retries: Mutex<RetryBudgets<ServiceName>>,
    pub(crate) stopping: AtomicBool,
    /// Where the other daemons are, as control last knew.
    pub(crate) peer_addresses: ArcSwap<Vec<SocketAddr>>,
    exchanges: AtomicU64,
}

impl Shared {
    pub(crate) fn new(
        clock: Clock,
        source: IpAddr,
        me: Witness,
        zone: ZoneName,
        store: Store,
        instances: InstanceList,
        keys: KeyRing,
    ) -> eyre::Result<Shared> {
        Ok(Shared {
            clock,
            source,
            me,
            zone,
            store,
            instances,
            peers: PeerClient::new(source),
            keys,
            metrics: Metrics::new()?,
            view: Published::default(),
            suspects: Mutex::default(),
            retries: Mutex::default(),
            stopping: AtomicBool::new(false),
            peer_addresses: ArcSwap::default(),
            exchanges: AtomicU64::new(0),
        })
    }

    /// Returns whether the daemon has been asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns a name for one exchange with a backend server, unique across daemons and restarts.
    pub(crate) fn next_exchange(&self) -> String {
        let count = self.exchanges.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{count}", self.me.instance, self.me.incarnation.0)
    }
}
