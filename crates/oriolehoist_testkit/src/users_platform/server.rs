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
    pub work: Duration,
    /// The share of requests that are run and whose answers break off.
    pub lost_answers: f64,
    /// The share of grants that get no answer and are carried out a second later.
    pub late_grants: f64,
}

/// One request that a server ran.
#[derive(Clone, Debug)]
pub struct Ran {
    /// The server.
    pub server: String,
    /// The request's id.
    pub request: String,
    /// Its key.
    pub key: Option<u16>,
    /// When it began.
    pub began: Instant,
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
    by_key: bool,
    holds: Mutex<Vec<Hold>>,
    faults: Mutex<ServerFaults>,
    running: AtomicU32,
    /// Its open connections stay, and nothing is answered on them.
    dead: AtomicBool,
    /// Takes connections; set as soon as it runs.
    listener: OnceLock<AbortHandle>,
    journal: Journal,
    /// What every server of the deployment holds, to see overlaps as they happen.
    overlaps: Overlaps,
}

/// A hold of a range, until a moment.
#[derive(Clone, Copy, Debug)]
struct Hold {
    from: u16,
    to: u16,
    fence: u64,
    until: Instant,
}

/// What all servers ran.
pub type Journal = Arc<Mutex<Vec<Ran>>>;

/// The holds of all servers, and what overlapped.
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
        by_key: bool,
        work: Duration,
        journal: Journal,
        overlaps: Overlaps,
    ) -> eyre::Result<Server> {
        let inner = Arc::new(Inner {
            id: id.into(),
            by_key,
            holds: Mutex::default(),
            faults: Mutex::new(ServerFaults { work, ..ServerFaults::default() }),
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

    /// Ends it at once; it holds nothing any more.
    pub fn kill(&self) {
        self.inner.end();
    }

    /// Returns whether it has ended.
    pub fn is_dead(&self) -> bool {
        self.inner.dead.load(Ordering::Relaxed)
    }

    /// Returns whether it holds a key.
    pub fn holds(&self, key: u16) -> bool {
        self.inner.holds(key)
    }
}

impl Inner {
    fn end(&self) {
        self.dead.store(true, Ordering::Relaxed);
        if let Some(listener) = self.listener.get() {
            listener.abort();
        }
        lock(&self.holds).clear();
        lock(&self.overlaps).0.retain(|hold| hold.0 != self.id);
    }

    async fn wait_if_dead(&self) {
        if self.dead.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    fn holds(&self, key: u16) -> bool {
        let now = Instant::now();
        lock(&self.holds)
            .iter()
            .any(|hold| (hold.from..=hold.to).contains(&key) && hold.until > now)
    }

    /// Returns whether no higher fence was seen.
    fn grant(&self, order: &Order, arrived: Instant) -> bool {
        let mut holds = lock(&self.holds);
        let touches = |hold: &Hold| hold.from <= order.target && order.from <= hold.to;
        if holds.iter().any(|hold| touches(hold) && hold.fence > order.fence) {
            return false;
        }
        // A clock that runs slow lets the hold last longer.
        let until = arrived + Duration::from_millis(order.hold_ms * 102 / 100);
        holds.retain(|hold| !(hold.from == order.from && hold.to == order.target));
        holds.push(Hold { from: order.from, to: order.target, fence: order.fence, until });
        let now = Instant::now();
        let mut overlaps = lock(&self.overlaps);
        let (all, found) = &mut *overlaps;
        all.retain(|hold| hold.3 > now);
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
        let mut holds = lock(&self.holds);
        let whole = std::mem::take(&mut *holds);
        for hold in whole {
            let before = Hold { to: order.from.saturating_sub(1), ..hold };
            let after = Hold { from: order.target.saturating_add(1), ..hold };
            let touches = hold.from <= order.target && order.from <= hold.to;
            match touches {
                false => holds.push(hold),
                true => {
                    if hold.from < order.from {
                        holds.push(before);
                    }
                    if hold.to > order.target {
                        holds.push(after);
                    }
                }
            }
        }
        let held: Vec<(String, u16, u16, Instant)> =
            holds.iter().map(|hold| (self.id.clone(), hold.from, hold.to, hold.until)).collect();
        let mut overlaps = lock(&self.overlaps);
        overlaps.0.retain(|hold| hold.0 != self.id);
        overlaps.0.extend(held);
    }
}

async fn grant(State(inner): State<Arc<Inner>>, body: axum::body::Bytes) -> Response {
    inner.wait_if_dead().await;
    let Ok(order) = serde_json::from_slice::<Order>(&body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let arrived = Instant::now();
    if fastrand::f64() < lock(&inner.faults).late_grants {
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
        || (inner.by_key && !key.is_some_and(|key| inner.holds(key)))
    {
        return (StatusCode::MISDIRECTED_REQUEST, [("x-not-executed", "1")]).into_response();
    }
    let path = request.uri().path().to_owned();
    let body = axum::body::to_bytes(request.into_body(), 1 << 20).await.unwrap_or_default();
    inner.running.fetch_add(1, Ordering::Relaxed);
    let _running = Running(&inner.running);
    let began = Instant::now();
    lock(&inner.journal).push(Ran { server: inner.id.clone(), request: id.clone(), key, began });
    let work = lock(&inner.faults).work;
    sleep(work).await;
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
    if crashes || fastrand::f64() < lock(&inner.faults).lost_answers {
        let broken = futures::stream::once(async { Err::<&str, _>(std::io::Error::other("lost")) });
        return (StatusCode::OK, answer, Body::from_stream(broken)).into_response();
    }
    let text = format!("{} {} {} {}", inner.id, id, path, body.len());
    (StatusCode::OK, answer, Body::from(text)).into_response()
}
