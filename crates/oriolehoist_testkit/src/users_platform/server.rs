use {
    crate::lock::lock,
    axum::{
        Router,
        body::Body,
        extract::{Request, State},
        http::{HeaderMap, StatusCode},
        response::{IntoResponse, Response},
        routing::post,
    },
    serde::Deserialize,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, OnceLock,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, task::AbortHandle, time::sleep},
};

/// A request whose path ends so crashes the server that runs it.
pub const CRASHING: &str = "/crashing";

/// What goes wrong at a server.
#[derive(Clone, Debug, Default)]
pub struct ServerFaults {
    /// It takes this long for a request.
    pub service_time: Duration,
    /// The share of requests that are run and whose answers break off.
    pub response_loss_rate: f64,
    /// The share of grants that get no answer and are carried out a second later.
    pub delayed_grant_rate: f64,
}

/// One request that a server ran.
#[derive(Clone, Debug)]
pub struct ExecutedRequest {
    /// The server.
    pub server: String,
    /// The request's id.
    pub request_id: String,
    /// Its key.
    pub key: Option<u16>,
    /// When it began.
    pub started_at: Instant,
}

/// A backend server that runs requests for the keys that it was granted.
#[derive(Clone)]
pub struct Server {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    id: String,
    sharded: bool,
    grants: Mutex<Vec<Grant>>,
    faults: Mutex<ServerFaults>,
    running: AtomicU32,
    /// Its open connections stay, and nothing is answered on them.
    dead: AtomicBool,
    /// Takes connections; set as soon as it runs.
    listener: OnceLock<AbortHandle>,
    journal: Journal,
    /// What every server of the deployment grants, to see overlaps as they happen.
    overlaps: Overlaps,
}

/// A grant of a range, until a moment.
#[derive(Clone, Copy, Debug)]
struct Grant {
    from: u16,
    to: u16,
    fence: u64,
    until: Instant,
}

/// What all servers ran.
pub type Journal = Arc<Mutex<Vec<ExecutedRequest>>>;

/// The grants of all servers, and what overlapped.
pub type Overlaps = Arc<Mutex<(Vec<(String, u16, u16, Instant)>, Vec<String>)>>;

#[derive(Deserialize)]
struct Order {
    from: u16,
    target: u16,
    fence: u64,
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
        overlaps: Overlaps,
    ) -> eyre::Result<Server> {
        let inner = Arc::new(Inner {
            id: id.into(),
            sharded,
            grants: Mutex::default(),
            faults: Mutex::new(ServerFaults { service_time, ..ServerFaults::default() }),
            running: AtomicU32::new(0),
            dead: AtomicBool::new(false),
            listener: OnceLock::new(),
            journal,
            overlaps,
        });
        let router = Router::new()
            .route("/v1/grant", post(grant))
            .route("/v1/release", post(release))
            .fallback(run)
            .with_state(Arc::clone(&inner));
        let listener = TcpListener::bind(address).await?;
        let task = tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        inner.listener.get_or_init(|| task.abort_handle());
        Ok(Server { id: id.into(), address, inner })
    }

    /// Changes what goes wrong.
    pub fn set_faults(&self, faults: ServerFaults) {
        *lock(&self.inner.faults) = faults;
    }

    /// Ends it at once; it grants nothing any more.
    pub fn kill(&self) {
        self.inner.end();
    }

    /// Returns whether it has ended.
    pub fn is_dead(&self) -> bool {
        self.inner.dead.load(Ordering::Relaxed)
    }

    /// Returns whether it grants a key.
    pub fn owns(&self, key: u16) -> bool {
        self.inner.owns(key)
    }
}

impl Inner {
    fn end(&self) {
        self.dead.store(true, Ordering::Relaxed);
        if let Some(listener) = self.listener.get() {
            listener.abort();
        }
        lock(&self.grants).clear();
        lock(&self.overlaps).0.retain(|grant| grant.0 != self.id);
    }

    async fn wait_if_dead(&self) {
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

    /// Returns whether no higher fence was seen.
    fn grant(&self, order: &Order, arrived: Instant) -> bool {
        let mut grants = lock(&self.grants);
        let overlaps_order = |grant: &Grant| grant.from <= order.target && order.from <= grant.to;
        if grants.iter().any(|grant| overlaps_order(grant) && grant.fence > order.fence) {
            return false;
        }
        // A clock that runs slow lets the grant last longer.
        let until = arrived + Duration::from_millis(order.hold_ms * 102 / 100);
        grants.retain(|grant| !(grant.from == order.from && grant.to == order.target));
        grants.push(Grant { from: order.from, to: order.target, fence: order.fence, until });
        let now = Instant::now();
        let mut overlaps = lock(&self.overlaps);
        let (all, found) = &mut *overlaps;
        all.retain(|grant| grant.3 > now);
        for (server, from, to, _) in all.iter() {
            if *server != self.id && *from <= order.target && order.from <= *to {
                let (first, last) = (order.from, order.target);
                found.push(format!(
                    "{} took {first}-{last} while {server} held {from}-{to}",
                    self.id
                ));
            }
        }
        all.push((self.id.clone(), order.from, order.target, until));
        true
    }

    fn release(&self, order: &Order) {
        let mut grants = lock(&self.grants);
        let whole = std::mem::take(&mut *grants);
        for grant in whole {
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
        let held: Vec<(String, u16, u16, Instant)> = grants
            .iter()
            .map(|grant| (self.id.clone(), grant.from, grant.to, grant.until))
            .collect();
        let mut overlaps = lock(&self.overlaps);
        overlaps.0.retain(|grant| grant.0 != self.id);
        overlaps.0.extend(held);
    }
}

async fn grant(State(inner): State<Arc<Inner>>, body: axum::body::Bytes) -> Response {
    inner.wait_if_dead().await;
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let arrived = Instant::now();
    if fastrand::f64() < lock(&inner.faults).delayed_grant_rate {
        tokio::spawn(async move {
            sleep(Duration::from_millis(1000)).await;
            inner.grant(&order, arrived);
        });
        std::future::pending::<()>().await;
        return StatusCode::OK.into_response();
    }
    match inner.grant(&order, arrived) {
        true => StatusCode::OK.into_response(),
        false => StatusCode::CONFLICT.into_response(),
    }
}

async fn release(State(inner): State<Arc<Inner>>, body: axum::body::Bytes) -> Response {
    inner.wait_if_dead().await;
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    inner.release(&order);
    while inner.running.load(Ordering::Relaxed) > 0 {
        sleep(Duration::from_millis(2)).await;
    }
    ([("x-handover", "5c0e7a21d94b36f8")], StatusCode::OK).into_response()
}

/// Counts a request that runs, also if its connection ends.
struct Running<'a>(&'a AtomicU32);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn run(State(inner): State<Arc<Inner>>, request: Request) -> Response {
    inner.wait_if_dead().await;
    let headers = request.headers().clone();
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let id = text("x-request-id").unwrap_or_default().to_owned();
    let key = text("x-shard-key").and_then(|key| key.parse::<u16>().ok());
    let expected = text("x-expect-instance");
    if expected.is_some_and(|expected| expected != inner.id)
        || (inner.sharded && !key.is_some_and(|key| inner.owns(key)))
    {
        return (StatusCode::MISDIRECTED_REQUEST, [("x-not-executed", "1")]).into_response();
    }
    let path = request.uri().path().to_owned();
    let body = axum::body::to_bytes(request.into_body(), 1 << 20).await.unwrap_or_default();
    inner.running.fetch_add(1, Ordering::Relaxed);
    let _running = Running(&inner.running);
    let started_at = Instant::now();
    lock(&inner.journal).push(ExecutedRequest {
        server: inner.id.clone(),
        request_id: id.clone(),
        key,
        started_at,
    });
    let service_time = lock(&inner.faults).service_time;
    sleep(service_time).await;
    let mut answer = HeaderMap::new();
    for (name, value) in [("x-request-id", id.as_str()), ("x-response-signature", "sig")] {
        if let Ok(value) = value.parse() {
            answer.insert(name, value);
        }
    }
    if let Ok(load) = format!("{},0,6", inner.running.load(Ordering::Relaxed)).parse() {
        answer.insert("x-server-load", load);
    }
    let crashes = path.ends_with(CRASHING);
    if crashes {
        inner.end();
    }
    if crashes || fastrand::f64() < lock(&inner.faults).response_loss_rate {
        let broken = futures::stream::once(async { Err::<&str, _>(std::io::Error::other("lost")) });
        return (StatusCode::OK, answer, Body::from_stream(broken)).into_response();
    }
    let text = format!("{} {} {} {}", inner.id, id, path, body.len());
    (StatusCode::OK, answer, Body::from(text)).into_response()
}
