//! Messages between daemons, and the HTTP routes of the control thread.

use {
    crate::{
        control::{
            actor::Control,
            handlers::{ActorReply, GetClusterState},
            message::{Input, Member, SyncMessage, SyncResponse},
        },
        process::Shared,
        request::explain_router,
        wire::{DecodeError, decode, encode, encode_compact},
    },
    axum::{
        Router,
        body::Bytes,
        extract::{DefaultBodyLimit, State},
        http::{StatusCode, header::CONTENT_TYPE},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    http::{HeaderMap, Method},
    kameo::actor::ActorRef,
    oriolehoist_log::{Event, report},
    oriolehoist_port::HttpRequest,
    oriolehoist_protocol::{SuspectNotice, build_name},
    oriolehoist_time::Millis,
    serde::{Serialize, de::DeserializeOwned},
    serde_json::json,
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{sync::broadcast::error::RecvError, time::timeout},
};

/// The maximum size of a message between daemons, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// The maximum wait for a peer's response.
const RESPONSE_TIMEOUT: Millis = Millis(500);

/// The routes at the peer address.
pub(crate) fn control_router(cx: Arc<Shared>, control: ActorRef<Control>) -> Router {
    let suspect_router = Router::new().route("/suspect", post(suspect)).with_state(Arc::clone(&cx));
    Router::new()
        .route("/sync", post(sync))
        .route("/knowledge", post(cluster_state))
        .layer(DefaultBodyLimit::max(MAX_MESSAGE_BYTES))
        .with_state(control)
        .merge(suspect_router)
        .merge(metrics_router(cx))
}

/// The route at the readiness address, for the load balancer.
pub(crate) fn readiness_router(cx: Arc<Shared>) -> Router {
    let path = cx.platform.readiness_path();
    Router::new().route(path, get(readiness)).with_state(cx)
}

type ControlState = State<ActorRef<Control>>;

async fn readiness(State(cx): State<Arc<Shared>>) -> StatusCode {
    match cx.ready.load(Ordering::Relaxed) && !cx.is_stopping() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// The routes at the metrics address.
pub(crate) fn metrics_router(cx: Arc<Shared>) -> Router {
    Router::new()
        .route("/metrics", get(metrics))
        .route("/status", get(status))
        .with_state(Arc::clone(&cx))
        .merge(explain_router(cx))
}

/// The status of this daemon, in the form that `oriolectl status` shows.
async fn status(State(cx): State<Arc<Shared>>) -> Response {
    let settings = cx.view.load().map(|view| view.config.version);
    let status = json!({
        "instance": cx.bootstrap.instance,
        "zone": cx.bootstrap.zone,
        "build": build_name(),
        "builds": cx.metrics.builds(),
        "stopping": cx.is_stopping(),
        "settings": settings,
    });
    ([(CONTENT_TYPE, "application/json")], status.to_string()).into_response()
}

async fn metrics(State(cx): State<Arc<Shared>>) -> Response {
    cx.metrics.set_ages(cx.servers_age(), cx.config_age());
    if let Some(age) = cx.evacuations_age() {
        cx.metrics.set_evacuations_age(age);
    }
    cx.metrics.set_reach(cx.reach_of_key_holders());
    match cx.metrics.render() {
        Ok(text) => text.into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn sync(State(control): ControlState, body: Bytes) -> Response {
    match decode::<SyncMessage>(&body) {
        Ok(message) => encode_reply(control.ask(message).await.ok()),
        Err(error) => {
            report(Event::PeerMalformed, format_args!("error=\"{error}\""));
            StatusCode::BAD_REQUEST.into_response()
        }
    }
}

async fn suspect(State(cx): State<Arc<Shared>>, body: Bytes) -> Response {
    match decode(&body) {
        Ok(notice) => {
            cx.record_suspect(notice, "notice");
            encode_reply(Some(ActorReply(())))
        }
        Err(error) => {
            report(Event::PeerMalformed, format_args!("error=\"{error}\""));
            StatusCode::BAD_REQUEST.into_response()
        }
    }
}

async fn cluster_state(State(control): ControlState, body: Bytes) -> Response {
    // The body is empty if the sender does not know the era.
    let log_malformed = |error: &DecodeError| {
        report(Event::PeerMalformed, format_args!("error=\"{error}\""));
    };
    let store_era = match body.is_empty() {
        true => None,
        false => decode(&body).inspect_err(log_malformed).ok(),
    };
    encode_reply(control.ask(GetClusterState { store_era }).await.ok())
}

fn encode_reply<T: Serialize + Send>(reply: Option<ActorReply<T>>) -> Response {
    match reply.map(|ActorReply(reply)| encode(&reply)) {
        Some(Ok(bytes)) => bytes.into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Sends a sync message to a peer, and the peer's response to the control actor.
pub(crate) async fn send_sync(
    cx: Arc<Shared>,
    control: ActorRef<Control>,
    to: Member,
    sync: SyncMessage,
) {
    let sent_at = cx.clock.now();
    let (bytes, response) = match encode(&sync) {
        Ok(body) => {
            (body.len(), call_peer::<SyncResponse>(&cx, to.address, "/sync", body.into()).await)
        }
        Err(error) => {
            report(Event::PeerMalformed, format_args!("error=\"{error}\""));
            (0, None)
        }
    };
    let answered = response.as_ref().is_some_and(|response| response.is_from(&to));
    cx.metrics.on_sync(bytes, answered);
    if !answered {
        let (peer, took) = (&to.instance, cx.clock.now().since(sent_at));
        let revision = sync.versions.servers.revision;
        report(
            Event::SyncFailed,
            format_args!("to={peer} bytes={bytes} servers={revision} took_ms={}", took.0),
        );
    }
    // The actor runs until the process exits.
    let response = response.map(Box::new);
    let _ = control.tell(Input::Synced { to, response }).await;
}

/// Notifies all other daemons of crash suspects. A daemon that can't be reached misses the notice, and
/// learns of the crashes with the next messages of the assigner.
pub(crate) async fn broadcast_suspects(cx: Arc<Shared>) {
    let mut notices = cx.suspect_notices.subscribe();
    loop {
        let notice = match notices.recv().await {
            Ok(notice) => notice,
            // Notices were dropped because there were too many crashes at once. The following ones
            // are still sent.
            Err(RecvError::Lagged(_)) => continue,
            Err(RecvError::Closed) => return,
        };
        // Sent in a separate task, so that a peer that does not respond does not delay the next
        // notice.
        tokio::spawn(broadcast_suspect(Arc::clone(&cx), notice));
    }
}

async fn broadcast_suspect(cx: Arc<Shared>, notice: SuspectNotice) {
    let Some(view) = cx.view.load() else { return };
    let body = match encode(&notice) {
        Ok(body) => Bytes::from(body),
        Err(error) => {
            return report(Event::PeerMalformed, format_args!("error=\"{error}\""));
        }
    };
    let peers = view.peer_addresses.iter();
    let calls = peers.map(|peer| call_peer::<()>(&cx, *peer, "/suspect", body.clone()));
    futures::future::join_all(calls).await;
}

/// Fetches a snapshot of the cluster state from a daemon, and tells it the store's era.
pub(crate) async fn fetch_cluster_state(cx: &Shared, address: SocketAddr) -> Option<SyncMessage> {
    let era = cx.store_era().and_then(|era| encode_compact(&era).ok());
    call_peer(cx, address, "/knowledge", era.unwrap_or_default().into()).await
}

/// Returns whether these daemons confirm that none of them has been the assigner in a term after
/// `term`, and know the store's era, so that none acts in a term of an earlier one any more.
pub(super) async fn confirm_last_term(cx: &Shared, daemons: &[Member], term: u64) -> bool {
    let calls = daemons.iter().map(|daemon| fetch_cluster_state(cx, daemon.address));
    let states = futures::future::join_all(calls).await;
    states.iter().zip(daemons).all(|(state, daemon)| {
        state.as_ref().is_some_and(|state| state.from.is_same_run(daemon) && state.term <= term)
    })
}

/// Sends a message to a daemon. Returns `None` if there is no valid response; the cause does not
/// matter, since the caller retries or does without.
async fn call_peer<T: DeserializeOwned>(
    cx: &Shared,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Option<T> {
    let request =
        HttpRequest { method: Method::POST, path: path.into(), headers: HeaderMap::new(), body };
    let sending = async {
        let connection = cx.peer_client.acquire(address).await?;
        cx.peer_client.send(connection, address, &request, RESPONSE_TIMEOUT).await
    };
    let response = timeout(Duration::from(RESPONSE_TIMEOUT), sending).await.ok()?.ok()?;
    match response.status {
        200 => decode(&response.body)
            .inspect_err(|error| report(Event::PeerMalformed, format_args!("error=\"{error}\"")))
            .ok(),
        _ => None,
    }
}
