use {
    crate::{
        connection::{CallError, IdleLinks, Link, Sent, link::Answered},
        process::lock,
    },
    bytes::Bytes,
    http::{HeaderName, HeaderValue, Method},
    oriolehoist_admission::{InFlightOutcome, InFlightRequest, LoadEstimator},
    oriolehoist_keyspace::ServerIncarnation,
    oriolehoist_port::{RegisteredServer, ServerState},
    oriolehoist_time::{Clock, Millis},
    smol_str::SmolStr,
    std::{
        collections::HashMap,
        hash::{Hash, Hasher},
        io,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// The longest wait for a connection to a server.
const CONNECT_WAIT: Millis = Millis(300);
/// How long an idle connection is kept if the server does not say how long it keeps it.
const IDLE_TIMEOUT: Millis = Millis(4000);
/// How much earlier than the server this side gives an idle connection up.
const IDLE_MARGIN: Millis = Millis(1000);
/// How soon a server resets a connection that it does not accept.
const RESET_WAIT: Duration = Duration::from_millis(2);
/// The work that is expected of a server that has not answered yet.
const FIRST_WORK: Millis = Millis(120);
/// A server that starts is about this much slower than later.
const COLD_FACTOR: u64 = 2;

/// One life of a backend server, as this daemon sees it.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) life: ServerIncarnation,
    /// Stands for the life where bytes are few.
    pub(crate) number: u32,
    pub(crate) address: SocketAddr,
    pub(crate) zone: SmolStr,
    source: IpAddr,
    clock: Clock,
    idle: IdleLinks,
    gauge: Mutex<LoadEstimator>,
    /// How many connections this daemon may have open to it.
    share: AtomicU32,
    /// When it was first known to leave; zero while it stays.
    leaving_since: AtomicU64,
    /// Held while a request is there that is suspected of crashing servers.
    pub(crate) suspect_turn: tokio::sync::Mutex<()>,
}

impl Backend {
    fn new(source: IpAddr, clock: Clock, entry: &RegisteredServer) -> Backend {
        let work = match entry.warm_up_remaining {
            Millis::ZERO => FIRST_WORK,
            _ => FIRST_WORK * COLD_FACTOR,
        };
        let mut hasher = std::hash::DefaultHasher::new();
        (&entry.id, entry.started_at).hash(&mut hasher);
        Backend {
            number: hasher.finish() as u32,
            life: ServerIncarnation { id: entry.id.clone(), started_at: entry.started_at },
            address: entry.address,
            zone: entry.zone.clone(),
            source,
            clock,
            idle: IdleLinks::default(),
            gauge: Mutex::new(LoadEstimator::new(entry.slots, work)),
            share: AtomicU32::new(entry.slots),
            leaving_since: AtomicU64::new(0),
            suspect_turn: tokio::sync::Mutex::default(),
        }
    }

    /// Returns what this daemon believes of the server's queue.
    pub(crate) fn gauge(&self) -> MutexGuard<'_, LoadEstimator> {
        lock(&self.gauge)
    }

    /// Notes that a request ended.
    pub(crate) fn on_ended(&self, at: InFlightRequest, end: InFlightOutcome, told: Option<u32>) {
        self.gauge().on_completed(self.clock.now(), at, end, told);
    }

    /// Returns whether this daemon has as many requests there as it may have connections.
    pub(crate) fn is_at_share(&self) -> bool {
        self.gauge().in_flight() >= self.share.load(Ordering::Relaxed)
    }

    pub(crate) fn set_share(&self, connections: u32) {
        self.share.store(connections.max(2), Ordering::Relaxed);
    }

    /// Notes that the server is leaving; it stays so.
    pub(crate) fn set_leaving(&self, now: Millis) {
        // An exchange that fails found an earlier time, which is the one to keep.
        let _ = self.leaving_since.compare_exchange(0, now.0, Ordering::Relaxed, Ordering::Relaxed);
    }

    pub(crate) fn set_staying(&self) {
        self.leaving_since.store(0, Ordering::Relaxed);
    }

    /// Returns for how long it has been known to leave.
    pub(crate) fn leaving_for(&self, now: Millis) -> Option<Millis> {
        match self.leaving_since.load(Ordering::Relaxed) {
            0 => None,
            since => Some(now.since(Millis(since))),
        }
    }

    /// Sends a request and reads its whole answer, on a kept connection if there is one.
    pub(crate) async fn call(
        &self,
        method: &Method,
        message: Bytes,
        id: (&HeaderName, &HeaderValue),
        sent: &mut Sent,
    ) -> Result<Answered, CallError> {
        let mut link = match self.idle.take(self.clock.now(), self.address) {
            Some(link) => link,
            None => self.open().await?,
        };
        let called = link.call(method, message, Some(id), sent).await;
        match &called {
            Ok(answered) if answered.reusable => self.keep(link, answered.idle_seconds),
            // Closing the connection tells the server that nobody waits any more.
            _ => drop(link),
        }
        called
    }

    /// Opens a connection, and waits whether the server resets it for being one too many: nothing
    /// has then been sent.
    async fn open(&self) -> Result<Link, CallError> {
        let link = Link::open(self.source, self.address, CONNECT_WAIT).await?;
        sleep(RESET_WAIT).await;
        match link.is_quiet() {
            true => Ok(link),
            false => Err(CallError::Connect(io::ErrorKind::ConnectionReset.into())),
        }
    }

    /// Returns whether nothing listens at the server's address.
    pub(crate) async fn refuses_connections(&self) -> bool {
        let opened = Link::open(self.source, self.address, CONNECT_WAIT).await;
        matches!(opened, Err(CallError::Connect(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    fn keep(&self, link: Link, idle_seconds: Option<u64>) {
        let timeout = match idle_seconds {
            Some(seconds) => Millis::from_secs(seconds).since(IDLE_MARGIN),
            None => IDLE_TIMEOUT,
        };
        self.idle.keep(self.clock.now() + timeout, self.address, link);
    }
}

/// The backend servers that are known, kept from one version of the view to the next.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    known: HashMap<(ServerIncarnation, SocketAddr), Arc<Backend>>,
}

impl Backends {
    /// Returns the backends for these entries, and forgets all others.
    pub(crate) fn update(
        &mut self,
        source: IpAddr,
        clock: Clock,
        entries: &[RegisteredServer],
    ) -> HashMap<SmolStr, Arc<Backend>> {
        let mut next = HashMap::new();
        let mut by_id = HashMap::new();
        let now = clock.now();
        for entry in entries {
            let key = (
                ServerIncarnation { id: entry.id.clone(), started_at: entry.started_at },
                entry.address,
            );
            let known = self.known.remove(&key);
            let backend = known.unwrap_or_else(|| Arc::new(Backend::new(source, clock, entry)));
            match entry.state {
                ServerState::Ready => backend.set_staying(),
                ServerState::Draining => backend.set_leaving(now),
            }
            by_id.insert(entry.id.clone(), Arc::clone(&backend));
            next.insert(key, backend);
        }
        self.known = next;
        by_id
    }
}
