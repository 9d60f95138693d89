use {
    crate::standin::{Journal, OwnershipInterval, running::run_request},
    axum::{
        Router,
        body::{Body, Bytes},
        extract::{Request, State},
        http::{HeaderMap, HeaderName, HeaderValue, StatusCode},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    oriolehoist_ownership::{GrantTable, Work},
    oriolehoist_protocol::{
        EXCHANGE, Epoch, INCARNATION, Incarnation, LoadReport, NOT_RUN, Order, OrderBody,
        OrderOutcome, ServerAnswer, ServerName, ServiceName, ShardGrant, ShardId,
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

/// How a stand-in backend server behaves.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// The service.
    pub service: ServiceName,
    /// The server's name.
    pub name: ServerName,
    /// Where it listens.
    pub address: SocketAddr,
    /// How many requests it runs at once; more are shed.
    pub slots: u32,
    /// How long it runs a request.
    pub service_time: Millis,
    /// How long after its start it takes three times as long.
    pub cold_period: Millis,
    /// Whether keys are owned.
    pub keyed: bool,
}

/// A stand-in backend server, with threads of its own so that it can be killed at any moment.
pub struct BackendServer {
    options: BackendOptions,
    clock: Clock,
    journal: Journal,
    freeze: watch::Sender<bool>,
    misreport: Arc<AtomicBool>,
    life: Arc<Mutex<Option<Life>>>,
}

struct Life {
    incarnation: Incarnation,
    runtime: Runtime,
    state: Arc<Living>,
}

/// How much slower a cold server is.
pub(super) const COLD_FACTOR: u64 = 3;
/// The path whose requests crash the server.
pub(super) const CRASH_PATH: &str = "/crash";

pub(super) struct Living {
    pub(super) options: BackendOptions,
    pub(super) clock: Clock,
    pub(super) journal: Journal,
    pub(super) incarnation: Incarnation,
    started: Millis,
    frozen: watch::Receiver<bool>,
    draining: AtomicBool,
    misreport: Arc<AtomicBool>,
    pub(super) running: AtomicU32,
    table: Mutex<GrantTable>,
    /// Counts ended work, so that revocations learn of it.
    pub(super) ended: watch::Sender<u64>,
    pub(super) answers: Mutex<HashMap<String, RunAnswer>>,
    pub(super) crash: Mutex<Option<oneshot::Sender<()>>>,
}

/// What a run answered, kept so that a repeated request does not run again.
#[derive(Clone, Debug)]
pub(super) struct RunAnswer {
    pub(super) body: String,
}

impl BackendServer {
    /// Creates a server that has not been started.
    pub fn new(options: BackendOptions, clock: Clock, journal: Journal) -> BackendServer {
        BackendServer {
            options,
            clock,
            journal,
            freeze: watch::Sender::new(false),
            misreport: Arc::default(),
            life: Arc::default(),
        }
    }

    /// Returns how it behaves.
    pub fn options(&self) -> &BackendOptions {
        &self.options
    }

    /// Starts it with a new incarnation and an empty memory.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't listen.
    pub fn start(&self) -> eyre::Result<()> {
        self.kill();
        let incarnation = Incarnation(fastrand::u64(1..));
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let (crash_tx, crash) = oneshot::channel();
        let state = Arc::new(Living {
            clock: self.clock,
            journal: self.journal.clone(),
            incarnation,
            started: self.clock.now(),
            frozen: self.freeze.subscribe(),
            draining: AtomicBool::new(false),
            misreport: Arc::clone(&self.misreport),
            running: AtomicU32::new(0),
            table: Mutex::new(GrantTable::new(incarnation)),
            ended: watch::Sender::new(0),
            answers: Mutex::default(),
            crash: Mutex::new(Some(crash_tx)),
            options: self.options.clone(),
        });
        let listener = listen(&runtime, self.options.address)?;
        let router = Router::new()
            .route("/oriolehoist/order", post(take_order))
            .route("/oriolehoist/health", get(health))
            .fallback(serve)
            .with_state(Arc::clone(&state));
        runtime.spawn(async move { axum::serve(listener, router).await });
        *self.lock() = Some(Life { incarnation, runtime, state });
        self.end_life_on(crash);
        Ok(())
    }

    /// Kills it at once, with everything in flight.
    pub fn kill(&self) {
        let life = self.lock().take();
        end(life, self.clock, &self.journal, &self.options);
    }

    /// Stops it from doing anything, and lets it go on where it was.
    pub fn set_frozen(&self, frozen: bool) {
        let _ = self.freeze.send(frozen);
    }

    /// Makes it report, or not report, that it drains.
    pub fn drain(&self, draining: bool) {
        if let Some(life) = self.lock().as_ref() {
            life.state.draining.store(draining, Ordering::Relaxed);
        }
    }

    /// Makes it report a false load.
    pub fn misreport(&self, misreport: bool) {
        self.misreport.store(misreport, Ordering::Relaxed);
    }

    /// Returns whether it runs.
    pub fn is_alive(&self) -> bool {
        self.lock().is_some()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Life>> {
        self.life.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Ends the present life when a request crashes it.
    fn end_life_on(&self, crash: oneshot::Receiver<()>) {
        let slot = Arc::clone(&self.life);
        let (clock, journal, options) = (self.clock, self.journal.clone(), self.options.clone());
        thread::spawn(move || {
            if crash.blocking_recv().is_ok() {
                let life = slot.lock().unwrap_or_else(std::sync::PoisonError::into_inner).take();
                end(life, clock, &journal, &options);
            }
        });
    }
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        self.kill();
    }
}

fn end(life: Option<Life>, clock: Clock, journal: &Journal, options: &BackendOptions) {
    let Some(life) = life else { return };
    // A runtime can't be waited for within another one's threads.
    let runtime = life.runtime;
    let _ = thread::spawn(move || runtime.shutdown_timeout(Duration::from_millis(200))).join();
    let incarnation = life.incarnation;
    journal.end_ownership(clock.now(), &options.service, &options.name, |interval| {
        interval.incarnation == incarnation
    });
}

/// Listens, waiting a little for an earlier life's socket to close.
fn listen(runtime: &Runtime, address: SocketAddr) -> eyre::Result<TcpListener> {
    let mut tries = 0;
    let listener = loop {
        match std::net::TcpListener::bind(address) {
            Err(_) if tries < 100 => {
                tries += 1;
                thread::sleep(Duration::from_millis(10));
            }
            result => break result?,
        }
    };
    listener.set_nonblocking(true)?;
    let _entered = runtime.enter();
    Ok(TcpListener::from_std(listener)?)
}

impl Living {
    pub(super) async fn thawed(&self) {
        let mut frozen = self.frozen.clone();
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }

    fn load(&self) -> LoadReport {
        let running = match self.misreport.load(Ordering::Relaxed) {
            true => 0,
            false => self.running.load(Ordering::Relaxed),
        };
        LoadReport {
            slots: self.options.slots,
            running,
            cold: self.is_cold(),
            draining: self.draining.load(Ordering::Relaxed),
        }
    }

    pub(super) fn is_cold(&self) -> bool {
        self.clock.now().since(self.started) < self.options.cold_period
    }

    pub(super) fn table(&self) -> MutexGuard<'_, GrantTable> {
        self.table.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Begins work under the grants, if keys are owned.
    pub(super) fn begin(
        &self,
        shard: Option<ShardId>,
        epoch: Option<Epoch>,
    ) -> Result<Option<Work>, ()> {
        match (shard, epoch) {
            _ if !self.options.keyed => Ok(None),
            (Some(shard), Some(epoch)) => {
                self.table().begin(self.clock.now(), shard, epoch).map(Some).map_err(drop)
            }
            _ => Err(()),
        }
    }

    fn record_ownership(&self, not_after: Millis) {
        let now = self.clock.now();
        for ShardGrant { shard, epoch } in self.table().live(now) {
            self.journal.record_ownership(OwnershipInterval {
                service: self.options.service.clone(),
                server: self.options.name.clone(),
                incarnation: self.incarnation,
                shard,
                epoch,
                from: now,
                until: not_after,
            });
        }
    }

    fn end_revoked(&self, grants: &[ShardGrant]) {
        let now = self.clock.now();
        self.journal.end_ownership(now, &self.options.service, &self.options.name, |interval| {
            grants.iter().any(|g| g.shard == interval.shard && g.epoch >= interval.epoch)
        });
    }
}

async fn take_order(State(state): State<Arc<Living>>, body: Bytes) -> Response {
    state.thawed().await;
    let Ok(order) = rmp_serde::from_slice::<Order>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let answer = state.table().take(state.clock.now(), &order, state.load());
    match &order.body {
        OrderBody::Renew { echo, length, .. } if answer.outcome == OrderOutcome::Accepted => {
            state.record_ownership(*echo + *length);
        }
        OrderBody::Revoke { grants } if answer.outcome == OrderOutcome::Accepted => {
            finish_in_flight(&state, grants).await;
            state.end_revoked(grants);
        }
        _ => {}
    }
    reply(&state, &answer)
}

async fn finish_in_flight(state: &Living, grants: &[ShardGrant]) {
    let mut ended = state.ended.subscribe();
    let _ = ended.wait_for(|_| state.table().is_idle(grants)).await;
    state.thawed().await;
}

fn reply(state: &Living, answer: &ServerAnswer) -> Response {
    // The time of the answer is what the assigner echoes, so it is taken last.
    let answer = ServerAnswer { time: state.clock.now(), ..answer.clone() };
    match rmp_serde::to_vec_named(&answer) {
        Ok(packed) => packed.into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

async fn health(State(state): State<Arc<Living>>) -> Response {
    state.thawed().await;
    respond(&state, StatusCode::OK, "", "ok".into())
}

async fn serve(State(state): State<Arc<Living>>, request: Request<Body>) -> Response {
    let frozen = *state.frozen.borrow();
    if !frozen {
        return run_request(state, request).await;
    }
    // What reaches a frozen process waits in its sockets, and is read when it thaws even though
    // the caller has gone meanwhile.
    let run = tokio::spawn(run_request(state, request));
    run.await.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

pub(super) fn text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .map(|v| String::from_utf8_lossy(v.as_bytes()).into_owned())
        .unwrap_or_default()
}

pub(super) fn refuse(state: &Living, exchange: &str, reason: &'static str) -> Response {
    let mut response = respond(state, StatusCode::SERVICE_UNAVAILABLE, exchange, String::new());
    response
        .headers_mut()
        .insert(HeaderName::from_static(NOT_RUN), HeaderValue::from_static(reason));
    response
}

pub(super) fn respond(
    state: &Living,
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
