use {
    crate::{
        lock::lock,
        users_platform::store_state::{PageFault, StoreFaults, StoreSnapshot, StoreState},
    },
    axum::{
        Json, Router,
        body::{Body, Bytes},
        extract::{ConnectInfo, Path, Query, Request, State},
        http::{HeaderValue, Method, StatusCode, header::CONTENT_TYPE},
        middleware::{Next, from_fn_with_state},
        response::{IntoResponse, Response},
        routing::{delete, get, post},
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    futures::{StreamExt, stream},
    serde::Deserialize,
    serde_json::{Value, json},
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant, SystemTime},
    },
    tokio::{net::TcpListener, task::AbortHandle, time::sleep},
};

/// Time between two checks of a pending watch for events.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The size of the pieces of a body without end.
const ENDLESS_PIECE_BYTES: usize = 16 << 10;
/// The size of the pieces in which a body arrives over a slow link.
const SLOW_PIECE_BYTES: usize = 64 << 10;
/// The header that names the store's era in every response.
const ERA_HEADER: &str = "store-era";

/// A fake of the platform's store: items with revisions, leases, and watches on the history of
/// changes.
#[derive(Clone)]
pub struct Store {
    /// The address at which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    task: AbortHandle,
}

type Shared = Arc<Mutex<StoreState>>;

impl Store {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is taken.
    pub async fn start(address: SocketAddr) -> eyre::Result<Store> {
        let state: Shared =
            Arc::new(Mutex::new(StoreState { revision: 5, era: 1, ..StoreState::default() }));
        let router = Router::new()
            .route("/v1/kv-key", get(read))
            .route("/v1/kv-range", get(range))
            .route("/v1/kv-watch", get(watch))
            .route("/v1/kv-txn", post(run_transaction))
            .route("/v1/kv-lease", post(create_lease))
            .route("/v1/kv-keep/{id}", post(renew_lease))
            .route("/v1/kv-lease-end/{id}", delete(revoke_lease))
            .layer(from_fn_with_state(Arc::clone(&state), apply_faults))
            .with_state(Arc::clone(&state))
            .into_make_service_with_connect_info::<SocketAddr>();
        let listener = TcpListener::bind(address).await?;
        let task = tokio::spawn(async move {
            let _ = axum::serve(listener, router).await;
        });
        Ok(Store { address, state, task: task.abort_handle() })
    }

    /// Writes a value without a lease, as an operator or a server does.
    pub fn put(&self, key: &str, value: &[u8]) {
        lock(&self.state).put(key, value.to_vec(), 0);
    }

    /// Returns when the value of a key was written, or `None` if there is none.
    pub fn written_at(&self, key: &str) -> Option<SystemTime> {
        lock(&self.state).items.get(key).map(|item| item.written_at)
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        lock(&self.state).remove(key);
    }

    /// Replaces the faults that the store injects.
    pub fn set_faults(&self, faults: StoreFaults) {
        lock(&self.state).faults = faults;
    }

    /// Limits the number of items in a page of a listing.
    pub fn set_page_size(&self, items: usize) {
        lock(&self.state).page_size = items;
    }

    /// Writes a value right after the next page that is not the last one of its listing.
    pub fn put_between_pages(&self, key: &str, value: &[u8]) {
        lock(&self.state).writes_between_pages.push((key.into(), value.to_vec()));
    }

    /// Drops the history, so that watches from an earlier revision fail.
    pub fn compact_history(&self) {
        let mut state = lock(&self.state);
        state.compacted_revision = state.revision;
        state.history.clear();
    }

    /// Copies the current state.
    pub fn snapshot(&self) -> StoreSnapshot {
        let mut state = lock(&self.state);
        state.remove_expired();
        let now = Instant::now();
        let remaining = |lease: &(Instant, Duration)| (lease.0.duration_since(now), lease.1);
        StoreSnapshot {
            revision: state.revision,
            items: state.items.clone(),
            history: state.history.clone(),
            compacted_revision: state.compacted_revision,
            leases: state.leases.iter().map(|(id, lease)| (*id, remaining(lease))).collect(),
        }
    }

    /// Loses all changes since a snapshot: the store responds to nothing for `outage`, and continues
    /// from the snapshot in the next era. Its leases run on from then. The operator and the servers
    /// write their values again `rewrite_delay` later.
    pub async fn restore(
        &self,
        snapshot: StoreSnapshot,
        outage: Duration,
        rewrite_delay: Duration,
    ) {
        if !outage.is_zero() {
            lock(&self.state).restoring = true;
            sleep(outage).await;
        }
        let copied_revision = snapshot.revision;
        let lost = lock(&self.state).restore(snapshot);
        if !rewrite_delay.is_zero() {
            sleep(rewrite_delay).await;
        }
        lock(&self.state).write_again(&lost, copied_revision);
    }

    /// Returns the store's era.
    pub fn era(&self) -> u64 {
        lock(&self.state).era
    }

    /// Returns the number of requests received.
    pub fn request_count(&self) -> u64 {
        lock(&self.state).request_count
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.state).items.get(key).map(|item| item.value.clone())
    }

    /// Stops the store from accepting connections.
    pub fn stop(&self) {
        self.task.abort();
    }
}

/// Counts a request, applies the faults before it is handled, and adds the era to its response.
async fn apply_faults(
    State(shared): State<Shared>,
    ConnectInfo(from): ConnectInfo<SocketAddr>,
    request: Request,
    next: Next,
) -> Response {
    let (unreachable, refused, endless, rate) = {
        let mut state = lock(&shared);
        state.request_count += 1;
        state.remove_expired();
        let ignored = state.faults.ignored_callers.contains(&from.ip());
        let reads_refused = state.faults.refused_readers.contains(&from.ip());
        let refused = state.faults.refused_callers.contains(&from.ip())
            || (reads_refused && request.method() == Method::GET);
        let StoreFaults { endless, bytes_per_second, .. } = state.faults;
        (state.is_unreachable() || ignored, refused, endless, bytes_per_second)
    };
    if unreachable {
        hang().await;
    }
    let mut response = match () {
        () if refused => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        () if endless => endless_body().into_response(),
        () => next.run(request).await,
    };
    if let Some(rate) = rate {
        response = response.map(|body| slow_body(body, rate));
    }
    let era = HeaderValue::from(lock(&shared).era);
    response.headers_mut().insert(ERA_HEADER, era);
    response
}

/// Lets a body arrive in pieces, at this rate.
fn slow_body(body: Body, bytes_per_second: u32) -> Body {
    let pieces = body.into_data_stream().flat_map(move |piece| {
        let bytes = piece.unwrap_or_default();
        let starts = (0..bytes.len()).step_by(SLOW_PIECE_BYTES);
        let pieces =
            starts.map(move |start| bytes.slice(start..bytes.len().min(start + SLOW_PIECE_BYTES)));
        stream::iter(pieces.collect::<Vec<Bytes>>())
    });
    Body::from_stream(pieces.then(move |piece| async move {
        sleep(Duration::from_secs(1) * piece.len() as u32 / bytes_per_second).await;
        Ok::<Bytes, Infallible>(piece)
    }))
}

fn endless_body() -> Body {
    let piece = Bytes::from(vec![b' '; ENDLESS_PIECE_BYTES]);
    Body::from_stream(stream::repeat_with(move || Ok::<Bytes, Infallible>(piece.clone())))
}

/// Never returns, so that the caller gets no response.
async fn hang() {
    std::future::pending::<()>().await;
}

async fn lose_some_responses(state: &Shared) {
    let share = lock(state).faults.response_loss_rate;
    if fastrand::f64() < share {
        hang().await;
    }
}

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

async fn read(State(state): State<Shared>, Query(query): Query<KeyQuery>) -> Response {
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
struct RangeQuery {
    prefix: String,
    #[serde(default)]
    after: String,
}

async fn range(State(state): State<Shared>, Query(mut query): Query<RangeQuery>) -> Response {
    let mut state = lock(&state);
    match &state.faults.page_after {
        Some((after, PageFault::FirstPage)) if *after == query.after => query.after.clear(),
        Some((after, PageFault::Rejection)) if *after == query.after => {
            return StatusCode::BAD_REQUEST.into_response();
        }
        _ => {}
    }
    let keys = state.items.keys();
    let keys: Vec<&String> =
        keys.filter(|key| key.starts_with(&query.prefix) && **key > query.after).collect();
    let page_size = if state.page_size == 0 { keys.len() } else { state.page_size };
    let has_more = keys.len() > page_size;
    let items = keys.into_iter().take(page_size).filter_map(|key| state.item_text(key));
    let items = items.collect::<Vec<String>>().join(",");
    let revision = state.revision;
    let page =
        format!("{{\"items\":[{items}],\"has_more\":{has_more},\"current_rev\":{revision}}}");
    if has_more {
        for (key, value) in std::mem::take(&mut state.writes_between_pages) {
            state.put(&key, value, 0);
        }
    }
    ([(CONTENT_TYPE, "application/json")], page).into_response()
}

#[derive(Deserialize)]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

async fn watch(State(state): State<Shared>, Query(query): Query<WatchQuery>) -> Response {
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        {
            let mut state = lock(&state);
            state.remove_expired();
            if query.after < state.compacted_revision || query.after > state.revision {
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
            if !events.is_empty() || Instant::now() >= deadline {
                let revision = state.revision;
                return Json(json!({ "events": events, "current_rev": revision })).into_response();
            }
        }
        sleep(WATCH_POLL_INTERVAL).await;
        if lock(&state).is_unreachable() {
            hang().await;
        }
    }
}

#[derive(Deserialize)]
struct TransactionRequest {
    expect: Vec<Requirement>,
    puts: Vec<Put>,
}

/// The revision that a key must have for a transaction to succeed, or 0 if it must not exist.
#[derive(Deserialize)]
struct Requirement {
    key: String,
    rev: u64,
}

#[derive(Deserialize)]
struct Put {
    key: String,
    value: String,
    lease: u64,
}

async fn run_transaction(
    State(state): State<Shared>,
    Json(transaction): Json<TransactionRequest>,
) -> Response {
    let response = {
        let mut state = lock(&state);
        let revision = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
        if transaction
            .expect
            .iter()
            .any(|requirement| revision(&requirement.key) != requirement.rev)
        {
            let keys = transaction.expect.iter().map(|requirement| requirement.key.as_str());
            let items: Vec<Value> = keys.filter_map(|key| state.item(key)).collect();
            (StatusCode::PRECONDITION_FAILED, Json(json!({ "items": items }))).into_response()
        } else if transaction
            .puts
            .iter()
            .any(|put| put.lease != 0 && !state.leases.contains_key(&put.lease))
        {
            StatusCode::NOT_FOUND.into_response()
        } else {
            state.revision += 1;
            for put in transaction.puts {
                let value = STANDARD.decode(&put.value).unwrap_or_default();
                state.put_at_current_revision(&put.key, value, put.lease);
            }
            Json(json!({ "rev": state.revision })).into_response()
        }
    };
    lose_some_responses(&state).await;
    response
}

#[derive(Deserialize)]
struct LeaseTtl {
    ttl_ms: u64,
}

async fn create_lease(State(state): State<Shared>, Json(lease): Json<LeaseTtl>) -> Response {
    let id = {
        let mut state = lock(&state);
        let id = state.leases.keys().next_back().map_or(700, |last| last + 1);
        let ttl = Duration::from_millis(lease.ttl_ms);
        state.leases.insert(id, (Instant::now() + ttl, ttl));
        id
    };
    lose_some_responses(&state).await;
    Json(json!({ "lease": id, "ttl_ms": lease.ttl_ms })).into_response()
}

async fn renew_lease(State(state): State<Shared>, Path(id): Path<u64>) -> Response {
    match lock(&state).leases.get_mut(&id) {
        Some((expires_at, ttl)) => {
            *expires_at = Instant::now() + *ttl;
            Json(json!({ "ttl_ms": ttl.as_millis() as u64 })).into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn revoke_lease(State(state): State<Shared>, Path(id): Path<u64>) -> Response {
    lock(&state).end_lease(id);
    StatusCode::OK.into_response()
}
