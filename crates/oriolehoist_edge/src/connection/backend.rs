use {
    crate::{
        connection::{
            CallError, ClientConnection, ConnectionState, ExchangeProgress, ExpectedResponse,
            IdlePool, MAX_BODY_BYTES, MAX_CONTROL_BODY_BYTES, ReceivedResponse,
            backend_probe::ServerProbes, backend_warm_up::ObservedRegistration,
        },
        process::lock,
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, header::HOST},
    oriolehoist_admission::{
        InFlightOutcome, InFlightRequest, LoadEstimator, MeanServiceTime, StatedAvailability,
    },
    oriolehoist_http1::{RequestMessage, encode_request},
    oriolehoist_keyspace::ServerIncarnation,
    oriolehoist_port::{DecodeError, HttpResponse, RegisteredServer},
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

/// The maximum time to establish a connection to a server.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// How long an idle connection is kept if the server does not announce a keep-alive timeout.
const IDLE_TIMEOUT: Millis = Millis(4000);
/// How long before the server's keep-alive timeout an idle connection is dropped.
const IDLE_MARGIN: Millis = Millis(1000);
/// The time within which a server resets a connection that it does not accept.
const RESET_DETECTION_DELAY: Duration = Duration::from_millis(2);
/// The service time that is assumed for a server that has not responded yet.
const INITIAL_SERVICE_TIME: Millis = Millis(120);
/// The value of a server's start of draining if it does not drain.
const NOT_DRAINING: u64 = u64::MAX;
/// The value of the time from which a server gets no requests if its zone is not evacuated.
const NOT_EVACUATED: u64 = u64::MAX;
/// How long a server gets no requests after another process has answered at its address. Its
/// registration may outlive it by some seconds.
const ADDRESS_REUSED_DURATION: Millis = Millis(1000);
/// How long what a server has said is remembered after its registration is gone. It may be back while
/// the process still runs.
const DEPARTED_RETENTION: Millis = Millis::from_secs(600);
/// A server that has just started is slower than normal by about this factor.
const COLD_START_FACTOR: u64 = 2;

/// One incarnation of a backend server, as seen by this daemon.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) incarnation: ServerIncarnation,
    /// A hash of the incarnation's id and start time, for messages that must stay small.
    pub(crate) short_id: u32,
    pub(crate) address: SocketAddr,
    pub(crate) zone: SmolStr,
    pub(crate) service: SmolStr,
    source: IpAddr,
    pub(super) clock: Clock,
    pool: IdlePool,
    load_estimator: Mutex<LoadEstimator>,
    pub(super) load_probes: Mutex<ServerProbes>,
    /// What the server has said about the requests that it takes, with the reports of the other
    /// daemons by their address.
    pub(super) availability: Mutex<StatedAvailability<SocketAddr>>,
    /// The last registration that was observed.
    pub(super) registration: Mutex<ObservedRegistration>,
    /// Why what the server said last can't be used, by subject.
    malformed_statements: Mutex<HashMap<&'static str, DecodeError>>,
    /// How long it gets requests after it has said that it leaves.
    drain_period: Millis,
    /// The maximum number of connections that this daemon may open to the server.
    connection_limit: AtomicU32,
    /// The earliest time at which the server may have started to drain, or [`NOT_DRAINING`].
    draining_since: AtomicU64,
    /// From when on it gets no requests because its zone is evacuated, or [`NOT_EVACUATED`].
    evacuated_from: AtomicU64,
    /// Until when another process is assumed to have the server's address.
    address_reused_until: AtomicU64,
    /// Held while a request that is suspected of crashing servers runs on this server.
    pub(crate) suspect_lock: tokio::sync::Mutex<()>,
}

impl Backend {
    fn new(cx: BackendContext, entry: &RegisteredServer, mean: Arc<MeanServiceTime>) -> Backend {
        let factor = match entry.warm_up_remaining {
            Millis::ZERO => 1,
            _ => COLD_START_FACTOR,
        };
        let load_estimator = LoadEstimator::new(entry.slots, INITIAL_SERVICE_TIME * factor)
            .with_mean(mean, factor as f64);
        let mut hasher = std::hash::DefaultHasher::new();
        (&entry.id, entry.started_at).hash(&mut hasher);
        Backend {
            short_id: hasher.finish() as u32,
            incarnation: ServerIncarnation::of(entry),
            address: entry.address,
            zone: entry.zone.clone(),
            service: entry.service.clone(),
            source: cx.source,
            clock: cx.clock,
            drain_period: cx.drain_period,
            pool: IdlePool::default(),
            load_estimator: Mutex::new(load_estimator),
            load_probes: Mutex::default(),
            availability: Mutex::default(),
            registration: Mutex::new(ObservedRegistration::new(cx.in_traffic)),
            malformed_statements: Mutex::default(),
            connection_limit: AtomicU32::new(entry.slots),
            draining_since: AtomicU64::new(NOT_DRAINING),
            evacuated_from: AtomicU64::new(NOT_EVACUATED),
            address_reused_until: AtomicU64::new(0),
            suspect_lock: tokio::sync::Mutex::default(),
        }
    }

    /// Returns this daemon's estimate of the server's load.
    pub(crate) fn load_estimator(&self) -> MutexGuard<'_, LoadEstimator> {
        lock(&self.load_estimator)
    }

    /// Returns what the server has said about the requests that it takes.
    pub(crate) fn availability(&self) -> MutexGuard<'_, StatedAvailability<SocketAddr>> {
        lock(&self.availability)
    }

    /// Returns whether the server may get requests: its zone is not evacuated and it wants them from this
    /// daemon, as far as it has said.
    pub(crate) fn admits_requests(&self) -> bool {
        let now = self.clock.now();
        !self.is_evacuated(now) && self.availability().admits(now, self.drain_period)
    }

    /// Sets from when on it gets no requests because its zone is evacuated, or `None` if it is not. Presumes
    /// that it is cold if an evacuation has ended.
    pub(crate) fn set_evacuated_from(&self, from: Option<Millis>) {
        let was_evacuated = self.evacuated_from.load(Ordering::Relaxed) != NOT_EVACUATED;
        if from.is_none() && was_evacuated {
            self.presume_cold(self.clock.now());
        }
        let from = from.map_or(NOT_EVACUATED, |from| from.0);
        self.evacuated_from.store(from, Ordering::Relaxed);
    }

    /// Returns whether it gets no requests because its zone is evacuated.
    pub(crate) fn is_evacuated(&self, now: Millis) -> bool {
        now.0 >= self.evacuated_from.load(Ordering::Relaxed)
    }

    /// Records that the server said something that can't be used. Returns whether that is news.
    pub(crate) fn on_malformed_statement(&self, error: &DecodeError) -> bool {
        let mut malformed = lock(&self.malformed_statements);
        malformed.insert(error.subject, error.clone()).as_ref() != Some(error)
    }

    /// Records the end of a request. Returns how many times the server's mean service time it has run,
    /// if it was answered.
    pub(crate) fn on_completed(
        &self,
        request: InFlightRequest,
        outcome: InFlightOutcome,
        reported_load: Option<u32>,
    ) -> Option<f64> {
        self.load_estimator().on_completed(self.clock.now(), request, outcome, reported_load)
    }

    /// Records how many times longer than on a machine of speed 1 work takes at this moment.
    pub(crate) fn on_slowdown(&self, slowdown: f64) {
        self.load_estimator().on_slowdown(self.clock.now(), slowdown);
    }

    /// Records the service time that all daemons have measured together, in milliseconds.
    pub(crate) fn on_pooled_service_time(&self, valid_until: Millis, millis: f64) {
        self.load_estimator().on_pooled_service_time(valid_until, millis);
    }

    /// Returns whether this daemon has as many requests in flight as it may open connections.
    pub(crate) fn is_at_connection_limit(&self) -> bool {
        self.load_estimator().in_flight() >= self.connection_limit.load(Ordering::Relaxed)
    }

    /// Sets the maximum number of connections, which is raised to two if it is lower.
    pub(crate) fn set_connection_limit(&self, limit: u32) {
        self.connection_limit.store(limit.max(2), Ordering::Relaxed);
    }

    /// Sets the earliest time at which the server may have started to drain, or `None` if it does
    /// not drain.
    pub(crate) fn set_draining_since(&self, since: Option<Millis>) {
        let since = since.map_or(NOT_DRAINING, |since| since.0);
        self.draining_since.store(since, Ordering::Relaxed);
    }

    /// Returns for how long the server may have been draining, or `None` if it is not.
    pub(crate) fn draining_for(&self, now: Millis) -> Option<Millis> {
        match self.draining_since.load(Ordering::Relaxed) {
            NOT_DRAINING => None,
            since => Some(now.since(Millis(since))),
        }
    }

    /// Records that another process has answered at the server's address.
    pub(crate) fn on_address_reused(&self) {
        let until = self.clock.now() + ADDRESS_REUSED_DURATION;
        self.address_reused_until.store(until.0, Ordering::Relaxed);
    }

    /// Returns whether another process has answered at the server's address recently.
    pub(crate) fn is_address_reused(&self, now: Millis) -> bool {
        now < Millis(self.address_reused_until.load(Ordering::Relaxed))
    }

    /// Sends a request and reads the complete response, over a pooled connection if one is
    /// available. Nothing is sent if the server wants no requests, or `check` returns an error, right before the
    /// first byte would be written.
    pub(crate) async fn send(
        &self,
        method: &Method,
        message: RequestMessage,
        expected: ExpectedResponse<'_>,
        progress: &mut ExchangeProgress,
        check: impl FnOnce() -> Result<(), CallError>,
    ) -> Result<ReceivedResponse, CallError> {
        let mut connection = self.acquire(expected.id).await?;
        // This may have changed while the connection was established.
        if !self.admits_requests() {
            return Err(CallError::Unwanted);
        }
        if let Err(error) = check() {
            self.release(connection, None);
            return Err(error);
        }
        let result =
            connection.send(method, message, MAX_BODY_BYTES, Some(expected), progress).await;
        match &result {
            Ok(response) if response.reusable => self.release(connection, response.keep_alive_secs),
            // Closing the connection tells the server that nobody is waiting for the response any
            // more.
            _ => drop(connection),
        }
        result
    }

    /// Takes a connection from the pool that admits a request with this id, or opens one.
    async fn acquire(&self, id: Option<&HeaderValue>) -> Result<ClientConnection, CallError> {
        match self.pool.take(self.clock.now(), self.address, id) {
            Some(connection) => Ok(connection),
            None => self.connect().await,
        }
    }

    /// Opens a connection and waits briefly to see whether the server resets it, as it does when it
    /// has too many connections. No request has been sent at that point.
    async fn connect(&self) -> Result<ClientConnection, CallError> {
        let connection =
            ClientConnection::connect(self.clock, self.source, self.address, CONNECT_TIMEOUT)
                .await?;
        sleep(RESET_DETECTION_DELAY).await;
        match connection.state() {
            ConnectionState::Idle => Ok(connection),
            _ => Err(CallError::Connect(io::ErrorKind::ConnectionReset.into())),
        }
    }

    /// Sends a health check over a new connection, and returns the response, whatever its status.
    pub(crate) async fn probe(&self, path: &str) -> Result<HttpResponse, CallError> {
        let mut connection = self.connect().await?;
        let (message, mut progress) = (self.health_check(path), ExchangeProgress::default());
        let max_bytes = MAX_CONTROL_BODY_BYTES;
        let sending = connection.send(&Method::GET, message, max_bytes, None, &mut progress);
        Ok(sending.await?.response)
    }

    /// Sends a health check over a pooled connection if one is available, and returns the first
    /// response, whatever it is. The connection is returned with [`Backend::release`] if the response
    /// is that to the health check, and closed otherwise.
    pub(crate) async fn probe_load(
        &self,
        path: &str,
        expected: ExpectedResponse<'_>,
    ) -> Result<(ReceivedResponse, ClientConnection), CallError> {
        let mut connection = self.acquire(expected.id).await?;
        let (message, mut progress) = (self.health_check(path), ExchangeProgress::default());
        let (max_bytes, expected) = (MAX_CONTROL_BODY_BYTES, Some(expected));
        let sending = connection.send(&Method::GET, message, max_bytes, expected, &mut progress);
        Ok((sending.await?, connection))
    }

    fn health_check(&self, path: &str) -> RequestMessage {
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            headers.insert(HOST, host);
        }
        encode_request(&Method::GET, path, &headers, Bytes::new())
    }

    /// Opens a connection, and closes it again.
    pub(crate) async fn connects(&self) -> Result<(), CallError> {
        ClientConnection::connect(self.clock, self.source, self.address, CONNECT_TIMEOUT)
            .await
            .map(drop)
    }

    /// Returns the time since `earlier`.
    pub(crate) fn elapsed_since(&self, earlier: Millis) -> Millis {
        self.clock.now().since(earlier)
    }

    /// Closes the idle connections that have received nothing since a request was sent that got no
    /// response. They may be silent as well.
    pub(crate) fn close_silent(&self, sent_at: Millis) {
        self.pool.close_silent(self.address, sent_at);
    }

    /// Returns a connection to the pool.
    pub(crate) fn release(&self, connection: ClientConnection, keep_alive_secs: Option<u64>) {
        let timeout = match keep_alive_secs {
            Some(seconds) => Millis::from_secs(seconds).since(IDLE_MARGIN),
            None => IDLE_TIMEOUT,
        };
        self.pool.put(self.clock.now() + timeout, self.address, connection);
    }
}

/// What all backend servers of a daemon have in common.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendContext {
    /// The local address for connections to servers.
    pub(crate) source: IpAddr,
    pub(crate) clock: Clock,
    /// How long a server gets requests after it has said that it leaves.
    pub(crate) drain_period: Millis,
    /// Whether callers send requests, as far as this daemon knows.
    pub(crate) in_traffic: bool,
}

/// The known backend servers. Entries are carried over from one version of the view to the next, so
/// that pooled connections and load estimates are kept.
#[derive(Debug, Default)]
pub(crate) struct Backends {
    by_incarnation: HashMap<BackendKey, Arc<Backend>>,
    /// Those without a registration that have said that they leave or pause, and since when.
    departed: HashMap<BackendKey, (Millis, Arc<Backend>)>,
    /// The mean service times by service.
    mean_service_times: HashMap<SmolStr, Arc<MeanServiceTime>>,
}

type BackendKey = (ServerIncarnation, SocketAddr);

impl Backends {
    /// Returns the backends for `entries` by server id, and drops all others. `draining_since`
    /// contains the earliest time at which each draining one may have started to drain.
    pub(crate) fn update(
        &mut self,
        cx: BackendContext,
        entries: &[RegisteredServer],
        draining_since: &HashMap<ServerIncarnation, Millis>,
    ) -> HashMap<SmolStr, Arc<Backend>> {
        let mut next = HashMap::new();
        let mut by_id = HashMap::new();
        // Of the first servers that a daemon knows, it does not know how long they have been there.
        let cx =
            BackendContext { in_traffic: cx.in_traffic && !self.by_incarnation.is_empty(), ..cx };
        for entry in entries {
            let incarnation = ServerIncarnation::of(entry);
            let draining_since = draining_since.get(&incarnation).copied();
            let key = (incarnation, entry.address);
            let existing = self.by_incarnation.remove(&key);
            let existing = existing.or_else(|| self.departed.remove(&key).map(|entry| entry.1));
            let backend = existing.unwrap_or_else(|| {
                let mean = self.mean_service_times.entry(entry.service.clone()).or_default();
                Arc::new(Backend::new(cx, entry, Arc::clone(mean)))
            });
            backend.set_draining_since(draining_since);
            by_id.insert(entry.id.clone(), Arc::clone(&backend));
            next.insert(key, backend);
        }
        let now = cx.clock.now();
        self.departed.retain(|_, (since, _)| now.since(*since) < DEPARTED_RETENTION);
        let gone = std::mem::replace(&mut self.by_incarnation, next);
        let bound = gone.into_iter().filter(|(_, backend)| !backend.availability().is_unbound(now));
        self.departed.extend(bound.map(|(key, backend)| (key, (now, backend))));
        by_id
    }

    /// Returns the backend of a registered server.
    pub(crate) fn get(&self, entry: &RegisteredServer) -> Option<&Arc<Backend>> {
        self.by_incarnation.get(&(ServerIncarnation::of(entry), entry.address))
    }
}
