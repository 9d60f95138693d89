use {
    crate::standin::{Journal, OwnershipInterval, request::run_request},
    axum::{
        Router,
        body::{Body, Bytes},
        extract::{Request, State},
        http::{HeaderMap, HeaderName, HeaderValue, StatusCode},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    oriolehoist_ownership::{GrantTable, WorkToken},
    oriolehoist_protocol::{
        EXCHANGE, Epoch, INCARNATION, Incarnation, LoadReport, NOT_RUN, Order, OrderBody,
        OrderOutcome, OrderResponse, ServerName, ServiceName, ShardGrant, ShardId,
    },
    oriolehoist_time::{Clock, Millis},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        thread,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        runtime::{Builder, Runtime},
        sync::{oneshot, watch},
    },
};

/// The behaviour of a fake backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// The server's name.
    pub name: ServerName,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Number of requests that it runs concurrently; it sheds any others.
    pub slots: u32,
    /// How long it takes to run a request.
    pub service_time: Millis,
    /// How long it stays cold after its start. Requests to a cold server take three times as long.
    pub cold_period: Millis,
    /// Whether it runs only requests for keys that it has been granted.
    pub keyed: bool,
}

/// A fake backend server, which runs on its own threads so that it can be killed at any time.
pub struct BackendServer {
    options: BackendOptions,
    clock: Clock,
    journal: Journal,
    frozen_tx: watch::Sender<bool>,
    misreporting: Arc<AtomicBool>,
    running_server: Arc<Mutex<Option<RunningServer>>>,
}

/// One incarnation of a server, with the runtime that it runs on.
struct RunningServer {
    incarnation: Incarnation,
    runtime: Runtime,
    state: Arc<ServerState>,
}

/// The factor by which a cold server is slower.
pub(super) const COLD_FACTOR: u64 = 3;
/// The path at which requests crash the server.
pub(super) const CRASH_PATH: &str = "/crash";

/// The state of one incarnation of a server, shared by its request handlers.
pub(super) struct ServerState {
    pub(super) options: BackendOptions,
    pub(super) clock: Clock,
    pub(super) journal: Journal,
    pub(super) incarnation: Incarnation,
    started_at: Millis,
    frozen: watch::Receiver<bool>,
    draining: AtomicBool,
    misreporting: Arc<AtomicBool>,
    pub(super) in_flight: AtomicU32,
    table: Mutex<GrantTable>,
    /// Counts completed work, to wake up the revocations that wait until the work has ended.
    pub(super) completed_work: watch::Sender<u64>,
    /// The responses of runs that took effect, by request id.
    pub(super) responses: Mutex<HashMap<String, RunResponse>>,
    /// Shuts the server down; `None` once a request has crashed it.
    pub(super) crash_tx: Mutex<Option<oneshot::Sender<()>>>,
}

/// The response of a run, stored so that a repeat of the request does not run again.
#[derive(Clone, Debug)]
pub(super) struct RunResponse {
    pub(super) body: String,
}

impl BackendServer {
    /// Creates a server without starting it.
    pub fn new(options: BackendOptions, clock: Clock, journal: Journal) -> BackendServer {
        BackendServer {
            options,
            clock,
            journal,
            frozen_tx: watch::Sender::new(false),
            misreporting: Arc::default(),
            running_server: Arc::default(),
        }
    }

    /// Returns the server's options.
    pub fn options(&self) -> &BackendOptions {
        &self.options
    }

    /// Starts the server with a new incarnation and without any state.
    ///
    /// # Errors
    ///
    /// Returns an error if its address can't be bound.
    pub fn start(&self) -> eyre::Result<()> {
        self.kill();
        let incarnation = Incarnation(fastrand::u64(1..));
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let (crash_tx, crash_rx) = oneshot::channel();
        let state = Arc::new(ServerState {
            clock: self.clock,
            journal: self.journal.clone(),
            incarnation,
            started_at: self.clock.now(),
            frozen: self.frozen_tx.subscribe(),
            draining: AtomicBool::new(false),
            misreporting: Arc::clone(&self.misreporting),
            in_flight: AtomicU32::new(0),
            table: Mutex::new(GrantTable::new(self.options.service.clone(), incarnation)),
            completed_work: watch::Sender::new(0),
            responses: Mutex::default(),
            crash_tx: Mutex::new(Some(crash_tx)),
            options: self.options.clone(),
        });
        let listener = bind(&runtime, self.options.address)?;
        let router = Router::new()
            .route("/oriolehoist/order", post(handle_order))
            .route("/oriolehoist/health", get(health))
            .fallback(serve)
            .with_state(Arc::clone(&state));
        runtime.spawn(async move { axum::serve(listener, router).await });
        *self.lock() = Some(RunningServer { incarnation, runtime, state });
        self.kill_on_crash(crash_rx);
        Ok(())
    }

    /// Kills the server immediately, with all requests in flight.
    pub fn kill(&self) {
        let running_server = self.lock().take();
        shut_down(running_server, self.clock, &self.journal, &self.options);
    }

    /// Pauses all processing, or resumes it where it stopped.
    pub fn set_frozen(&self, frozen: bool) {
        let _ = self.frozen_tx.send(frozen);
    }

    /// Sets whether the server reports that it is draining.
    pub fn set_draining(&self, draining: bool) {
        if let Some(running_server) = self.lock().as_ref() {
            running_server.state.draining.store(draining, Ordering::Relaxed);
        }
    }

    /// Sets whether the server reports that it is idle, whatever its load.
    pub fn set_misreporting(&self, misreporting: bool) {
        self.misreporting.store(misreporting, Ordering::Relaxed);
    }

    /// Returns whether the server is running.
    pub fn is_alive(&self) -> bool {
        self.lock().is_some()
    }

    fn lock(&self) -> MutexGuard<'_, Option<RunningServer>> {
        self.running_server.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Shuts the running server down when a request crashes it.
    fn kill_on_crash(&self, crash_rx: oneshot::Receiver<()>) {
        let running_server = Arc::clone(&self.running_server);
        let (clock, journal, options) = (self.clock, self.journal.clone(), self.options.clone());
        thread::spawn(move || {
            if crash_rx.blocking_recv().is_ok() {
                let running_server =
                    running_server.lock().unwrap_or_else(std::sync::PoisonError::into_inner).take();
                shut_down(running_server, clock, &journal, &options);
            }
        });
    }
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        self.kill();
    }
}

fn shut_down(
    running_server: Option<RunningServer>,
    clock: Clock,
    journal: &Journal,
    options: &BackendOptions,
) {
    let Some(running_server) = running_server else { return };
    // Waiting for a runtime to shut down would block, which is not allowed on a thread of another
    // runtime.
    let runtime = running_server.runtime;
    let _ = thread::spawn(move || runtime.shutdown_timeout(Duration::from_millis(200))).join();
    let incarnation = running_server.incarnation;
    journal.end_ownership(clock.now(), &options.service, &options.name, |interval| {
        interval.incarnation == incarnation
    });
}

/// Binds a listener, with retries for up to 1 s because the socket of the server's previous
/// incarnation may not be closed yet.
fn bind(runtime: &Runtime, address: SocketAddr) -> eyre::Result<TcpListener> {
    let mut attempts = 0;
    let listener = loop {
        match std::net::TcpListener::bind(address) {
            Err(_) if attempts < 100 => {
                attempts += 1;
                thread::sleep(Duration::from_millis(10));
            }
            result => break result?,
        }
    };
    listener.set_nonblocking(true)?;
    let _runtime_context = runtime.enter();
    Ok(TcpListener::from_std(listener)?)
}

impl ServerState {
    pub(super) async fn wait_until_thawed(&self) {
        let mut frozen = self.frozen.clone();
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }

    fn load(&self) -> LoadReport {
        let running = match self.misreporting.load(Ordering::Relaxed) {
            true => 0,
            false => self.in_flight.load(Ordering::Relaxed),
        };
        LoadReport {
            slots: self.options.slots,
            running,
            cold: self.is_cold(),
            draining: self.draining.load(Ordering::Relaxed),
        }
    }

    pub(super) fn is_cold(&self) -> bool {
        self.clock.now().since(self.started_at) < self.options.cold_period
    }

    pub(super) fn table(&self) -> MutexGuard<'_, GrantTable> {
        self.table.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Registers work under the grant of a shard, or returns `None` if the service is not sharded.
    /// Fails if the server has no valid grant for the shard.
    pub(super) fn begin_work(
        &self,
        shard: Option<ShardId>,
        epoch: Option<Epoch>,
    ) -> Result<Option<WorkToken>, ()> {
        match (shard, epoch) {
            _ if !self.options.keyed => Ok(None),
            (Some(shard), Some(epoch)) => {
                self.table().begin_work(self.clock.now(), shard, epoch).map(Some).map_err(drop)
            }
            _ => Err(()),
        }
    }

    fn record_owned_shards(&self, expires_at: Millis) {
        let now = self.clock.now();
        for ShardGrant { shard, epoch } in self.table().active_grants(now) {
            self.journal.record_ownership(OwnershipInterval {
                service: self.options.service.clone(),
                server: self.options.name.clone(),
                incarnation: self.incarnation,
                shard,
                epoch,
                from: now,
                until: expires_at,
            });
        }
    }

    fn end_revoked_ownership(&self, grants: &[ShardGrant]) {
        let now = self.clock.now();
        self.journal.end_ownership(now, &self.options.service, &self.options.name, |interval| {
            grants.iter().any(|g| g.shard == interval.shard && g.epoch >= interval.epoch)
        });
    }
}

async fn handle_order(State(state): State<Arc<ServerState>>, body: Bytes) -> Response {
    state.wait_until_thawed().await;
    let Ok(order) = rmp_serde::from_slice::<Order>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let response = state.table().handle_order(state.clock.now(), &order, state.load());
    match &order.body {
        OrderBody::Renew { echo, length, .. } if response.outcome == OrderOutcome::Accepted => {
            state.record_owned_shards(*echo + *length);
        }
        OrderBody::Revoke { grants } if response.outcome == OrderOutcome::Accepted => {
            wait_until_drained(&state, grants).await;
            state.end_revoked_ownership(grants);
        }
        _ => {}
    }
    respond_to_order(&state, &response)
}

async fn wait_until_drained(state: &ServerState, grants: &[ShardGrant]) {
    let mut completed_work = state.completed_work.subscribe();
    let _ = completed_work.wait_for(|_| state.table().is_drained(grants)).await;
    state.wait_until_thawed().await;
}

fn respond_to_order(state: &ServerState, response: &OrderResponse) -> Response {
    // The assigner echoes the time of the response, so it is taken as late as possible.
    let response = OrderResponse { time: state.clock.now(), ..response.clone() };
    match rmp_serde::to_vec_named(&response) {
        Ok(packed) => packed.into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn health(State(state): State<Arc<ServerState>>) -> Response {
    state.wait_until_thawed().await;
    respond(&state, StatusCode::OK, "", "ok".into())
}

async fn serve(State(state): State<Arc<ServerState>>, request: Request<Body>) -> Response {
    let frozen = *state.frozen.borrow();
    if !frozen {
        return run_request(state, request).await;
    }
    // Requests that reach a frozen process wait in its sockets. The process reads them when it
    // thaws, even if the caller has disconnected meanwhile, so the run must outlive this handler.
    let run = tokio::spawn(run_request(state, request));
    run.await.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

/// Returns the value of a header, or an empty string if it is missing.
pub(super) fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .map(|v| String::from_utf8_lossy(v.as_bytes()).into_owned())
        .unwrap_or_default()
}

/// Builds a response that refuses a request as not run, with the reason in a header.
pub(super) fn refuse(state: &ServerState, exchange: &str, reason: &'static str) -> Response {
    let mut response = respond(state, StatusCode::SERVICE_UNAVAILABLE, exchange, String::new());
    response
        .headers_mut()
        .insert(HeaderName::from_static(NOT_RUN), HeaderValue::from_static(reason));
    response
}

/// Builds a response that names the incarnation of the server, and the exchange unless it is empty.
pub(super) fn respond(
    state: &ServerState,
    status: StatusCode,
    exchange: &str,
    body: String,
) -> Response {
    let mut response = (status, body).into_response();
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            response.headers_mut().insert(HeaderName::from_static(name), value);
        }
    };
    set(INCARNATION, &state.incarnation.to_string());
    if !exchange.is_empty() {
        set(EXCHANGE, exchange);
    }
    response
}
