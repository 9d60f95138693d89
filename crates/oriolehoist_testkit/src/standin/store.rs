use {
    axum::{
        Json, Router,
        extract::{Query, State},
        http::StatusCode,
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    oriolehoist_platform::{
        CasRequest, Entry, LeaseId, LeaseRequest, LeaseResponse, Revision, WatchRequest,
        WatchResponse,
    },
    oriolehoist_time::{Clock, Millis},
    serde::Deserialize,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, time::timeout},
};

/// The maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// A fake of the platform's key-value store.
#[derive(Clone)]
pub struct StoreServer {
    state: Arc<StoreState>,
    address: SocketAddr,
}

struct StoreState {
    clock: Clock,
    entries: Mutex<Entries>,
    changes: watch::Sender<u64>,
    stale: AtomicBool,
    request_count: AtomicU64,
    write_count: AtomicU64,
}

#[derive(Default)]
struct Entries {
    revision: u64,
    current: BTreeMap<String, StoredEntry>,
    /// When each lease expires, by its id.
    leases: BTreeMap<u64, Millis>,
    next_lease: u64,
}

struct StoredEntry {
    entry: Entry,
    /// The entry before the last write, which stale reads return.
    previous: Option<Entry>,
    lease: Option<LeaseId>,
}

impl StoreServer {
    /// Starts a store at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(clock: Clock, address: SocketAddr) -> eyre::Result<StoreServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(StoreState {
            clock,
            entries: Mutex::default(),
            changes: watch::Sender::new(0),
            stale: AtomicBool::new(false),
            request_count: AtomicU64::new(0),
            write_count: AtomicU64::new(0),
        });
        let router = Router::new()
            .route("/v1/kv", get(read))
            .route("/v1/cas", post(compare_and_swap))
            .route("/v1/watch", post(wait_for_change))
            .route("/v1/lease", post(grant_lease))
            .route("/v1/lease/keep", post(renew_lease))
            .layer(axum::extract::DefaultBodyLimit::max(2 * MAX_VALUE_BYTES))
            .with_state(Arc::clone(&state));
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(StoreServer { state, address })
    }

    /// Returns the address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets whether reads and watches return the value before the last write of each key.
    pub fn set_stale(&self, stale: bool) {
        self.state.stale.store(stale, Ordering::Relaxed);
    }

    /// Returns the number of requests received. A pending watch counts as one request.
    pub fn request_count(&self) -> u64 {
        self.state.request_count.load(Ordering::Relaxed)
    }

    /// Returns the number of compare-and-swap requests received.
    pub fn write_count(&self) -> u64 {
        self.state.write_count.load(Ordering::Relaxed)
    }

    /// Returns the value of a key, without counting a request.
    pub fn peek(&self, key: &str) -> Option<String> {
        let entries = self.state.lock();
        entries.current.get(key).map(|stored| stored.entry.value.clone())
    }
}

impl StoreState {
    fn lock(&self) -> std::sync::MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn count_request(&self) {
        self.request_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the entry that reads and watches return for a key.
    fn visible(&self, stored: &StoredEntry) -> Option<Entry> {
        match self.stale.load(Ordering::Relaxed) {
            true => stored.previous.clone(),
            false => Some(stored.entry.clone()),
        }
    }

    /// Removes expired leases and the entries that were written under them.
    fn remove_expired(&self, entries: &mut Entries) {
        let now = self.clock.now();
        entries.leases.retain(|_, expires_at| *expires_at > now);
        let leases: Vec<u64> = entries.leases.keys().copied().collect();
        entries.current.retain(|_, stored| stored.lease.is_none_or(|l| leases.contains(&l.0)));
    }
}

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

async fn read(State(state): State<Arc<StoreState>>, Query(query): Query<KeyQuery>) -> Response {
    state.count_request();
    let mut entries = state.lock();
    state.remove_expired(&mut entries);
    match entries.current.get(&query.key).and_then(|stored| state.visible(stored)) {
        Some(entry) => Json(entry).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn compare_and_swap(
    State(state): State<Arc<StoreState>>,
    Json(request): Json<CasRequest>,
) -> Response {
    state.count_request();
    state.write_count.fetch_add(1, Ordering::Relaxed);
    if request.value.len() > MAX_VALUE_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let mut entries = state.lock();
    state.remove_expired(&mut entries);
    let current = entries.current.get(&request.key).map(|stored| stored.entry.clone());
    if current.as_ref().map_or(Revision::ABSENT, |e| e.revision) != request.expected {
        return (StatusCode::CONFLICT, Json(current)).into_response();
    }
    entries.revision += 1;
    let revision = Revision(entries.revision);
    let entry = Entry { key: request.key.clone(), revision, value: request.value };
    let stored = StoredEntry { entry, previous: current, lease: request.lease };
    entries.current.insert(request.key, stored);
    drop(entries);
    state.changes.send_modify(|count| *count += 1);
    Json(revision).into_response()
}

async fn wait_for_change(
    State(state): State<Arc<StoreState>>,
    Json(request): Json<WatchRequest>,
) -> Json<WatchResponse> {
    state.count_request();
    let mut changes = state.changes.subscribe();
    let find = || {
        let entries = state.lock();
        let mut found: Vec<Entry> = entries
            .current
            .range(request.prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&request.prefix))
            .filter_map(|(_, stored)| state.visible(stored))
            .filter(|entry| entry.revision > request.after)
            .collect();
        found.sort_by_key(|entry| entry.revision);
        found
    };
    let wait = async {
        loop {
            changes.borrow_and_update();
            let entries = find();
            if !entries.is_empty() || changes.changed().await.is_err() {
                return entries;
            }
        }
    };
    let entries = timeout(Duration::from(request.wait), wait).await.unwrap_or_default();
    Json(WatchResponse { entries })
}

async fn grant_lease(
    State(state): State<Arc<StoreState>>,
    Json(request): Json<LeaseRequest>,
) -> Json<LeaseResponse> {
    state.count_request();
    let mut entries = state.lock();
    entries.next_lease += 1;
    let id = entries.next_lease;
    entries.leases.insert(id, state.clock.now() + request.ttl);
    Json(LeaseResponse { id: LeaseId(id) })
}

#[derive(Deserialize)]
struct RenewLease {
    id: LeaseId,
    ttl: Millis,
}

async fn renew_lease(
    State(state): State<Arc<StoreState>>,
    Json(request): Json<RenewLease>,
) -> StatusCode {
    state.count_request();
    let mut entries = state.lock();
    state.remove_expired(&mut entries);
    match entries.leases.get_mut(&request.id.0) {
        Some(expires_at) => {
            *expires_at = state.clock.now() + request.ttl;
            StatusCode::OK
        }
        None => StatusCode::NOT_FOUND,
    }
}
