use {
    crate::lock::lock,
    axum::{
        Json, Router,
        extract::{ConnectInfo, Path, Query, Request, State},
        http::StatusCode,
        middleware::{Next, from_fn_with_state},
        response::{IntoResponse, Response},
        routing::{delete, get, post},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    serde::Deserialize,
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashSet},
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, task::AbortHandle, time::sleep},
};

/// How often a waiting watch looks for events.
const WATCH_STEP: Duration = Duration::from_millis(5);

/// What goes wrong at the store.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// It answers nobody.
    pub unreachable: bool,
    /// It answers 503 to these callers.
    pub refused_callers: HashSet<IpAddr>,
    /// The share of writes whose answers are lost.
    pub response_loss_rate: f64,
}

/// The platform's store: items with revisions, leases, and watches over a history.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<Inner>>,
    task: AbortHandle,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Events, and the revision up to which they were dropped.
    history: Vec<(u64, Value, String)>,
    dropped: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    faults: StoreFaults,
    request_count: u64,
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

type Shared = Arc<Mutex<Inner>>;

impl Store {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is taken.
    pub async fn start(address: SocketAddr) -> eyre::Result<Store> {
        let state: Shared = Arc::new(Mutex::new(Inner { revision: 5, ..Inner::default() }));
        let router = Router::new()
            .route("/v1/kv-key", get(read))
            .route("/v1/kv-range", get(range))
            .route("/v1/kv-watch", get(watch))
            .route("/v1/kv-txn", post(write))
            .route("/v1/kv-lease", post(open))
            .route("/v1/kv-keep/{id}", post(keep))
            .route("/v1/kv-lease-end/{id}", delete(end))
            .layer(from_fn_with_state(Arc::clone(&state), admit))
            .with_state(Arc::clone(&state))
            .into_make_service_with_connect_info::<SocketAddr>();
        let listener = TcpListener::bind(address).await?;
        let task = tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Ok(Store { address, state, task: task.abort_handle() })
    }

    /// Writes as the operator or a server does.
    pub fn put(&self, key: &str, value: &[u8]) {
        lock(&self.state).put(key, value.to_vec(), 0);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        lock(&self.state).remove(key);
    }

    /// Changes what goes wrong.
    pub fn set_faults(&self, faults: StoreFaults) {
        lock(&self.state).faults = faults;
    }

    /// Drops the history.
    pub fn compact_history(&self) {
        let mut state = lock(&self.state);
        state.dropped = state.revision;
        state.history.clear();
    }

    /// Returns how many calls were made so far.
    pub fn request_count(&self) -> u64 {
        lock(&self.state).request_count
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.state).items.get(key).map(|item| item.value.clone())
    }

    /// Ends it.
    pub fn stop(&self) {
        self.task.abort();
    }
}

impl Inner {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        self.items.insert(key.into(), Item { value, revision, lease });
        let event = self.item(key).unwrap_or_default();
        self.history.push((revision, event, key.into()));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = json!({ "key": key, "rev": self.revision, "tombstone": true });
            self.history.push((self.revision, event, key.into()));
        }
    }

    fn item(&self, key: &str) -> Option<Value> {
        let item = self.items.get(key)?;
        Some(json!({
            "key": key,
            "value": STANDARD.encode(&item.value),
            "rev": item.revision,
            "created_rev": item.revision,
            "lease": item.lease,
        }))
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.0 <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// Counts a call and applies the faults before it is carried out.
async fn admit(
    State(state): State<Shared>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
    request: Request,
    next: Next,
) -> Response {
    let unreachable = {
        let mut state = lock(&state);
        state.request_count += 1;
        state.expire();
        if state.faults.refused_callers.contains(&from.ip()) {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        state.faults.unreachable
    };
    if unreachable {
        lose_answer().await;
    }
    next.run(request).await
}

/// Lets a caller wait for an answer that never comes.
async fn lose_answer() {
    std::future::pending::<()>().await;
}

async fn lose_some_answers(state: &Shared) {
    let share = lock(state).faults.response_loss_rate;
    if fastrand::f64() < share {
        lose_answer().await;
    }
}

#[derive(Deserialize)]
struct Key {
    key: String,
}

async fn read(State(state): State<Shared>, Query(query): Query<Key>) -> Response {
    let state = lock(&state);
    match state.item(&query.key) {
        Some(mut item) => {
            item["current_rev"] = json!(state.revision);
            Json(item).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[derive(Deserialize)]
struct Prefix {
    prefix: String,
}

async fn range(State(state): State<Shared>, Query(query): Query<Prefix>) -> Response {
    let state = lock(&state);
    let keys = state.items.keys().filter(|key| key.starts_with(&query.prefix));
    let items: Vec<Value> = keys.filter_map(|key| state.item(key)).collect();
    Json(json!({ "items": items, "has_more": false, "current_rev": state.revision }))
        .into_response()
}

#[derive(Deserialize)]
struct Watch {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

async fn watch(State(state): State<Shared>, Query(query): Query<Watch>) -> Response {
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        {
            let mut state = lock(&state);
            state.expire();
            if query.after < state.dropped {
                return StatusCode::GONE.into_response();
            }
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|(revision, _, key)| {
                    *revision > query.after && key.starts_with(&query.prefix)
                })
                .map(|(_, event, _)| event.clone())
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                let at = state.revision;
                return Json(json!({ "events": events, "current_rev": at })).into_response();
            }
        }
        sleep(WATCH_STEP).await;
        if lock(&state).faults.unreachable {
            lose_answer().await;
        }
    }
}

#[derive(Deserialize)]
struct Write {
    expect: Vec<Expected>,
    puts: Vec<Put>,
}

#[derive(Deserialize)]
struct Expected {
    key: String,
    rev: u64,
}

#[derive(Deserialize)]
struct Put {
    key: String,
    value: String,
    lease: u64,
}

async fn write(State(state): State<Shared>, Json(write): Json<Write>) -> Response {
    let answer = {
        let mut state = lock(&state);
        let revision = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
        if write.expect.iter().any(|expected| revision(&expected.key) != expected.rev) {
            let keys = write.expect.iter().map(|expected| expected.key.as_str());
            let items: Vec<Value> = keys.filter_map(|key| state.item(key)).collect();
            (StatusCode::PRECONDITION_FAILED, Json(json!({ "items": items }))).into_response()
        } else if write
            .puts
            .iter()
            .any(|put| put.lease != 0 && !state.leases.contains_key(&put.lease))
        {
            StatusCode::NOT_FOUND.into_response()
        } else {
            for put in write.puts {
                let value = STANDARD.decode(&put.value).unwrap_or_default();
                state.put(&put.key, value, put.lease);
            }
            Json(json!({ "rev": state.revision })).into_response()
        }
    };
    lose_some_answers(&state).await;
    answer
}

#[derive(Deserialize)]
struct Length {
    ttl_ms: u64,
}

async fn open(State(state): State<Shared>, Json(lease): Json<Length>) -> Response {
    let id = {
        let mut state = lock(&state);
        let id = state.leases.keys().next_back().map_or(700, |last| last + 1);
        let length = Duration::from_millis(lease.ttl_ms);
        state.leases.insert(id, (Instant::now() + length, length));
        id
    };
    lose_some_answers(&state).await;
    Json(json!({ "lease": id, "ttl_ms": lease.ttl_ms })).into_response()
}

async fn keep(State(state): State<Shared>, Path(id): Path<u64>) -> Response {
    match lock(&state).leases.get_mut(&id) {
        Some((until, length)) => {
            *until = Instant::now() + *length;
            Json(json!({ "ttl_ms": length.as_millis() as u64 })).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn end(State(state): State<Shared>, Path(id): Path<u64>) -> Response {
    lock(&state).end_lease(id);
    StatusCode::OK.into_response()
}
