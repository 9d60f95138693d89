use {
    crate::{
        lock::lock,
        users_platform::grants::{
            AcceptedGrant, GrantRegistry, Grants, HeldGrant, Life, TakenGrant,
        },
    },
    axum::{
        Router,
        body::Body,
        extract::{ConnectInfo, Request, State},
        http::{HeaderMap, HeaderValue, StatusCode, header::RETRY_AFTER},
        middleware::{Next, from_fn_with_state},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    serde::Deserialize,
    std::{
        net::{self, IpAddr, SocketAddr},
        sync::{
            Arc, Mutex, OnceLock,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime},
    },
    tokio::{net::TcpListener, runtime, sync::oneshot, task::AbortHandle, time::sleep},
};

/// Requests whose path ends with this crash the server that runs them.
pub const CRASH_PATH_SUFFIX: &str = "/crashing";

/// The maximum size of a request body that a server reads, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The faults that a server injects.
#[derive(Clone, Debug, Default)]
pub struct ServerFaults {
    /// How long the server takes to run a request.
    pub service_time: Duration,
    /// The share of requests that run, but whose responses are cut off.
    pub response_loss_rate: f64,
    /// The share of grants that get no response and are applied one second late.
    pub delayed_grant_rate: f64,
    /// The values of the header in which the server names the requests a second that it takes.
    pub rate_limits: Vec<String>,
    /// The values of the header in which the server says that it leaves. All its responses have it.
    pub leaving: Vec<String>,
    /// How the server turns away all requests, if it does.
    pub turn_away: Option<TurnAway>,
    /// How long work takes at the moment, in percent, if the server reports it. Its responses to
    /// health checks report the load then.
    pub work_percent: Option<u16>,
}

/// How a server turns requests away.
#[derive(Clone, Debug)]
pub struct TurnAway {
    /// The status of its responses.
    pub status: u16,
    /// Whether they say that the request was not run.
    pub says_not_run: bool,
    /// The values of the header that says when to come back.
    pub retry_after: Vec<String>,
}

/// One request that reached a server, whether it ran or was rejected. Orders are not counted.
#[derive(Clone, Debug)]
pub struct ArrivedRequest {
    /// The id of the server.
    pub server: String,
    /// The path.
    pub path: String,
    /// The request's id; empty for a health check.
    pub request_id: String,
    /// The address of the daemon that sent it.
    pub sender: IpAddr,
    /// When it arrived.
    pub at: Instant,
    /// The time until its deadline, if it says so, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether the response says that the server leaves.
    pub says_leaving: bool,
    /// Whether it was turned away.
    pub turned_away: bool,
}

/// One request that a server ran.
#[derive(Clone, Debug)]
pub struct ExecutedRequest {
    /// The id of the server.
    pub server: String,
    /// The request's id.
    pub request_id: String,
    /// The request's key, if it has one.
    pub key: Option<u16>,
    /// When it started to run.
    pub started_at: Instant,
}

/// A fake backend server that runs requests for the keys that it has been granted.
#[derive(Clone)]
pub struct Server {
    /// The id under which it is registered.
    pub id: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// When it was started, in milliseconds since the Unix epoch.
    pub born: u64,
    inner: Arc<Inner>,
    process: Arc<Process>,
}

/// The thread that runs a server. It ends when `stop` is dropped, and with it all connections.
struct Process {
    stop: Mutex<Option<oneshot::Sender<()>>>,
    thread: Mutex<Option<thread::JoinHandle<()>>>,
}

struct Inner {
    id: String,
    life: Life,
    sharded: bool,
    /// Whether orders that name another server are refused.
    checks_orders: AtomicBool,
    grants: Mutex<Vec<Grant>>,
    faults: Mutex<ServerFaults>,
    /// Until when it is cold, if its responses to health checks say so.
    cold_until: Mutex<Option<Instant>>,
    /// The keys of the running requests; `None` for a request without a key.
    running: Mutex<Vec<Option<u16>>>,
    /// Whether it was killed or has crashed. Open connections stay open without a response.
    dead: AtomicBool,
    /// The task that accepts connections. Set as soon as the task runs.
    listener: OnceLock<AbortHandle>,
    journal: Journal,
    arrivals: Mutex<Vec<ArrivedRequest>>,
    /// The grants of all servers of the deployment, to detect overlaps as they happen.
    registry: GrantRegistry,
}

/// A grant of the keys from `from` to `to`, both included, that expires at `until`.
#[derive(Clone, Copy, Debug)]
struct Grant {
    from: u16,
    to: u16,
    fence: u64,
    until: Instant,
}

/// The requests that all servers ran.
pub type Journal = Arc<Mutex<Vec<ExecutedRequest>>>;

/// An order to grant or release the keys from `from` to `target`, both included.
#[derive(Deserialize)]
struct Order {
    from: u16,
    target: u16,
    fence: u64,
    /// The grant duration; zero for a release.
    #[serde(default)]
    hold_ms: u64,
}

impl Server {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is taken.
    pub async fn start(
        id: &str,
        address: SocketAddr,
        sharded: bool,
        service_time: Duration,
        journal: Journal,
        registry: GrantRegistry,
    ) -> eyre::Result<Server> {
        let life = lock(&registry).start_life(id);
        let inner = Arc::new(Inner {
            id: id.into(),
            life,
            sharded,
            checks_orders: AtomicBool::new(false),
            grants: Mutex::default(),
            faults: Mutex::new(ServerFaults { service_time, ..ServerFaults::default() }),
            cold_until: Mutex::default(),
            running: Mutex::default(),
            dead: AtomicBool::new(false),
            listener: OnceLock::new(),
            journal,
            arrivals: Mutex::default(),
            registry,
        });
        let router = Router::new()
            .route("/v1/grant", post(grant))
            .route("/v1/release", post(release))
            .route("/health", get(health))
            .fallback(run)
            .layer(from_fn_with_state(Arc::clone(&inner), name_sender))
            .with_state(Arc::clone(&inner))
            .into_make_service_with_connect_info::<SocketAddr>();
        let listener = net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let (stop, stopped) = oneshot::channel();
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let listener = {
            let _entered = runtime.enter();
            TcpListener::from_std(listener)?
        };
        let task = runtime.spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        inner.listener.get_or_init(|| task.abort_handle());
        let thread = thread::spawn(move || {
            let _ = runtime.block_on(stopped);
        });
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?.as_millis();
        Ok(Server {
            id: id.into(),
            address,
            born: u64::try_from(born)?,
            inner,
            process: Arc::new(Process {
                stop: Mutex::new(Some(stop)),
                thread: Mutex::new(Some(thread)),
            }),
        })
    }

    /// Replaces the faults that the server injects.
    pub fn set_faults(&self, faults: ServerFaults) {
        *lock(&self.inner.faults) = faults;
    }

    /// Lets the server say in its responses to health checks that it is cold for this long from now on.
    pub fn set_cold(&self, duration: Duration) {
        *lock(&self.inner.cold_until) = Some(Instant::now() + duration);
    }

    /// Kills the server immediately. All its grants end.
    pub fn kill(&self) {
        self.inner.shut_down();
    }

    /// Crashes the server. Its connections are closed, and its address is free when this returns.
    pub fn crash(&self) {
        drop(lock(&self.process.stop).take());
        if let Some(thread) = lock(&self.process.thread).take() {
            let _ = thread.join();
        }
        self.inner.shut_down();
    }

    /// Sets whether the server refuses orders whose `X-Expect-Instance` names another server. It
    /// does not at first, as the platform's servers need heed that header in requests only.
    pub fn set_checks_orders(&self, checks: bool) {
        self.inner.checks_orders.store(checks, Ordering::Relaxed);
    }

    /// Returns whether the server refuses orders that name another server.
    pub fn checks_orders(&self) -> bool {
        self.inner.checks_orders.load(Ordering::Relaxed)
    }

    /// Returns all requests that reached the server.
    pub fn arrivals(&self) -> Vec<ArrivedRequest> {
        lock(&self.inner.arrivals).clone()
    }

    /// Returns the number of requests that the server is running.
    pub fn running(&self) -> usize {
        lock(&self.inner.running).len()
    }

    /// Returns whether the server's service is sharded.
    pub fn is_sharded(&self) -> bool {
        self.inner.sharded
    }

    /// Returns whether the server was killed or has crashed.
    pub fn is_dead(&self) -> bool {
        self.inner.dead.load(Ordering::Relaxed)
    }

    /// Returns whether the server owns a key, that is, has a grant for it that has not expired.
    pub fn owns(&self, key: u16) -> bool {
        self.inner.owns(key)
    }
}

impl Inner {
    fn shut_down(&self) {
        self.dead.store(true, Ordering::Relaxed);
        if let Some(listener) = self.listener.get() {
            listener.abort();
        }
        lock(&self.grants).clear();
        lock(&self.registry).held.retain(|grant| grant.life != self.life);
    }

    /// Never returns if the server is dead, so that the request gets no response.
    async fn hang_if_dead(&self) {
        if self.dead.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    fn owns(&self, key: u16) -> bool {
        let now = Instant::now();
        lock(&self.grants)
            .iter()
            .any(|grant| (grant.from..=grant.to).contains(&key) && grant.until > now)
    }

    /// Applies a grant. Returns `false` if an overlapping grant has a higher fencing token.
    fn grant(&self, order: &Order, received_at: Instant) -> bool {
        let mut grants = lock(&self.grants);
        let overlaps_order = |grant: &Grant| grant.from <= order.target && order.from <= grant.to;
        if grants.iter().any(|grant| overlaps_order(grant) && grant.fence > order.fence) {
            return false;
        }
        // A server's clock may run slow, which makes a grant last longer: here by 2 %.
        let until = received_at + Duration::from_millis(order.hold_ms * 102 / 100);
        grants.retain(|grant| !(grant.from == order.from && grant.to == order.target));
        grants.push(Grant { from: order.from, to: order.target, fence: order.fence, until });
        let now = Instant::now();
        let mut registry = lock(&self.registry);
        let Grants { held, violations, .. } = &mut *registry;
        held.retain(|grant| grant.until > now);
        let (from, to) = (order.from, order.target);
        for other in held.iter() {
            if other.life != self.life && other.from <= to && from <= other.to {
                violations.push(format!(
                    "{} was granted keys {from}-{to} while {} owned {}-{}",
                    self.life, other.life, other.from, other.to
                ));
            }
        }
        held.push(HeldGrant { life: self.life.clone(), from, to, until });
        // A grant that is applied after its end gives no keys.
        if until > now {
            registry.take(TakenGrant { life: self.life.clone(), from, to, fence: order.fence });
        }
        true
    }

    /// Releases the keys of an order. A grant that is released in part keeps its other keys.
    fn release(&self, order: &Order) {
        let mut grants = lock(&self.grants);
        let previous_grants = std::mem::take(&mut *grants);
        for grant in previous_grants {
            let before = Grant { to: order.from.saturating_sub(1), ..grant };
            let after = Grant { from: order.target.saturating_add(1), ..grant };
            let overlaps_order = grant.from <= order.target && order.from <= grant.to;
            match overlaps_order {
                false => grants.push(grant),
                true => {
                    if grant.from < order.from {
                        grants.push(before);
                    }
                    if grant.to > order.target {
                        grants.push(after);
                    }
                }
            }
        }
        let remaining = grants.iter().map(|grant| HeldGrant {
            life: self.life.clone(),
            from: grant.from,
            to: grant.to,
            until: grant.until,
        });
        let mut registry = lock(&self.registry);
        registry.held.retain(|grant| grant.life != self.life);
        registry.held.extend(remaining);
    }

    /// Returns the running requests, the queued requests, the slots and, if the server reports it, how
    /// long work takes.
    fn load(&self) -> String {
        let running = lock(&self.running).len();
        let percent = lock(&self.faults).work_percent;
        percent.map_or(format!("{running},0,6"), |percent| format!("{running},0,6,{percent}"))
    }

    /// Returns whether an order is refused because it names another server.
    fn refuses_order(&self, headers: &HeaderMap) -> bool {
        let expected = headers.get("x-expect-instance");
        self.checks_orders.load(Ordering::Relaxed)
            && expected.is_some_and(|expected| expected != self.id.as_str())
    }
}

/// Records a request that is not an order, and turns it away if the server does so. Adds the server's
/// id and what it says about itself to the response.
async fn name_sender(
    State(inner): State<Arc<Inner>>,
    ConnectInfo(sender): ConnectInfo<SocketAddr>,
    request: Request,
    next: Next,
) -> Response {
    let is_order = request.uri().path().starts_with("/v1/");
    let faults = lock(&inner.faults).clone();
    let turn_away = faults.turn_away.filter(|_| !is_order);
    if !is_order {
        let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
        let (id, deadline) = (header("x-request-id"), header("x-deadline-ms"));
        lock(&inner.arrivals).push(ArrivedRequest {
            server: inner.id.clone(),
            path: request.uri().path().to_owned(),
            request_id: id.unwrap_or_default().to_owned(),
            sender: sender.ip(),
            at: Instant::now(),
            deadline_ms: deadline.and_then(|deadline| deadline.parse().ok()),
            says_leaving: !faults.leaving.is_empty(),
            turned_away: turn_away.is_some(),
        });
    }
    let mut response = match turn_away {
        Some(turn_away) => turned_away(&turn_away),
        None => next.run(request).await,
    };
    let named = faults.rate_limits.iter().map(|limit| ("server-limit", limit));
    let leaving = faults.leaving.iter().map(|leaving| ("server-leaving", leaving));
    for (name, value) in named.chain(leaving) {
        if let Ok(value) = value.parse() {
            response.headers_mut().append(name, value);
        }
    }
    if let Ok(id) = inner.id.parse() {
        response.headers_mut().insert("x-instance-id", id);
    }
    response
}

/// Returns the response to a request that is turned away.
fn turned_away(turn_away: &TurnAway) -> Response {
    let status = StatusCode::from_u16(turn_away.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = status.into_response();
    if turn_away.says_not_run {
        response.headers_mut().insert("x-not-executed", HeaderValue::from_static("1"));
    }
    for value in &turn_away.retry_after {
        if let Ok(value) = value.parse() {
            response.headers_mut().append(RETRY_AFTER, value);
        }
    }
    response
}

/// Responds to a health check, which is no request that is run.
async fn health(State(inner): State<Arc<Inner>>) -> Response {
    inner.hang_if_dead().await;
    let mut response = StatusCode::OK.into_response();
    let cold_until = *lock(&inner.cold_until);
    if let Some(until) = cold_until {
        let left = until.saturating_duration_since(Instant::now()).as_millis();
        if let Ok(value) = left.to_string().parse() {
            response.headers_mut().insert("x-warmup-ms", value);
        }
    }
    let reports_load = lock(&inner.faults).work_percent.is_some();
    if let Ok(load) = inner.load().parse()
        && reports_load
    {
        response.headers_mut().insert("x-server-load", load);
    }
    response
}

fn misdirected() -> Response {
    (StatusCode::MISDIRECTED_REQUEST, [("x-not-executed", "1")]).into_response()
}

async fn grant(
    State(inner): State<Arc<Inner>>,
    ConnectInfo(sender): ConnectInfo<SocketAddr>,
    headers: HeaderMap,
    body: axum::body::Bytes,
) -> Response {
    inner.hang_if_dead().await;
    if inner.refuses_order(&headers) {
        return misdirected();
    }
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let received_at = Instant::now();
    if fastrand::f64() < lock(&inner.faults).delayed_grant_rate {
        tokio::spawn(async move {
            sleep(Duration::from_millis(1000)).await;
            inner.grant(&order, received_at);
        });
        std::future::pending::<()>().await;
        return StatusCode::OK.into_response();
    }
    match inner.grant(&order, received_at) {
        true => {
            lock(&inner.registry).accepted.push(AcceptedGrant {
                server: inner.id.clone(),
                from: order.from,
                to: order.target,
                fence: order.fence,
                sender: sender.ip(),
                received_at,
            });
            StatusCode::OK.into_response()
        }
        false => StatusCode::CONFLICT.into_response(),
    }
}

async fn release(
    State(inner): State<Arc<Inner>>,
    headers: HeaderMap,
    body: axum::body::Bytes,
) -> Response {
    inner.hang_if_dead().await;
    if inner.refuses_order(&headers) {
        return misdirected();
    }
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    inner.release(&order);
    let released = order.from..=order.target;
    while lock(&inner.running).iter().flatten().any(|key| released.contains(key)) {
        sleep(Duration::from_millis(2)).await;
    }
    // The token that is passed to the next owner of the keys.
    ([("x-handover", "5c0e7a21d94b36f8")], StatusCode::OK).into_response()
}

/// A running request. Its end is noticed even if its connection ends and its handler is dropped.
struct RunningRequest<'a>(&'a Mutex<Vec<Option<u16>>>, Option<u16>);

impl<'a> RunningRequest<'a> {
    fn start(running: &'a Mutex<Vec<Option<u16>>>, key: Option<u16>) -> RunningRequest<'a> {
        lock(running).push(key);
        RunningRequest(running, key)
    }
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        let mut running = lock(self.0);
        if let Some(index) = running.iter().position(|key| *key == self.1) {
            running.swap_remove(index);
        }
    }
}

async fn run(State(inner): State<Arc<Inner>>, request: Request) -> Response {
    inner.hang_if_dead().await;
    let headers = request.headers().clone();
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let id = header("x-request-id").unwrap_or_default().to_owned();
    let key = header("x-shard-key").and_then(|key| key.parse::<u16>().ok());
    let expected = header("x-expect-instance");
    if expected.is_some_and(|expected| expected != inner.id)
        || (inner.sharded && !key.is_some_and(|key| inner.owns(key)))
    {
        return misdirected();
    }
    let path = request.uri().path().to_owned();
    let body = axum::body::to_bytes(request.into_body(), MAX_BODY_BYTES).await.unwrap_or_default();
    let _running = RunningRequest::start(&inner.running, key);
    let started_at = Instant::now();
    lock(&inner.journal).push(ExecutedRequest {
        server: inner.id.clone(),
        request_id: id.clone(),
        key,
        started_at,
    });
    let service_time = lock(&inner.faults).service_time;
    sleep(service_time).await;
    let mut response_headers = HeaderMap::new();
    for (name, value) in [("x-request-id", id.as_str()), ("x-response-signature", "sig")] {
        if let Ok(value) = value.parse() {
            response_headers.insert(name, value);
        }
    }
    if let Ok(load) = inner.load().parse() {
        response_headers.insert("x-server-load", load);
    }
    let must_crash = path.ends_with(CRASH_PATH_SUFFIX);
    if must_crash {
        inner.shut_down();
    }
    if must_crash || fastrand::f64() < lock(&inner.faults).response_loss_rate {
        let aborted =
            futures::stream::once(async { Err::<&str, _>(std::io::Error::other("lost")) });
        return (StatusCode::OK, response_headers, Body::from_stream(aborted)).into_response();
    }
    let text = format!("{} {} {} {}", inner.id, id, path, body.len());
    (StatusCode::OK, response_headers, Body::from(text)).into_response()
}
