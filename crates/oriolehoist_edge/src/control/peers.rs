//! Messages between daemons, and the two listeners of the control thread.

use {
    crate::{
        control::{
            actor::Control,
            handlers::{AskKnowledge, Reply},
            message::{Input, Member, Sync, SyncAnswer},
        },
        process::Shared,
    },
    axum::{
        Router,
        body::Bytes,
        extract::{DefaultBodyLimit, State},
        http::StatusCode,
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    http::Method,
    kameo::actor::ActorRef,
    oriolehoist_log::{Event, report},
    oriolehoist_port::HttpRequest,
    oriolehoist_protocol::SuspectNotice,
    oriolehoist_time::Millis,
    serde::{Serialize, de::DeserializeOwned},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{sync::broadcast::error::RecvError, time::timeout},
};

/// The largest message between daemons, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// The longest wait for a peer's answer.
const ANSWER_WAIT: Millis = Millis(500);

/// The routes at the peers' address.
pub(crate) fn control_router(cx: Arc<Shared>, control: ActorRef<Control>) -> Router {
    let shared = Router::new().route("/suspect", post(suspect)).with_state(Arc::clone(&cx));
    Router::new()
        .route("/sync", post(sync))
        .route("/knowledge", post(knowledge))
        .layer(DefaultBodyLimit::max(MAX_MESSAGE_BYTES))
        .with_state(control)
        .merge(shared)
        .merge(metrics_router(cx))
}

/// The route at the balancer's address.
pub(crate) fn readiness_router(cx: Arc<Shared>) -> Router {
    let path = cx.platform.readiness_path();
    Router::new().route(path, get(ready)).with_state(cx)
}

type Cx = State<ActorRef<Control>>;

async fn ready(State(cx): State<Arc<Shared>>) -> StatusCode {
    match cx.ready.load(Ordering::Relaxed) && !cx.is_stopping() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// The route at the address of metrics.
pub(crate) fn metrics_router(cx: Arc<Shared>) -> Router {
    Router::new().route("/metrics", get(metrics)).with_state(cx)
}

async fn metrics(State(cx): State<Arc<Shared>>) -> Response {
    match cx.metrics.render() {
        Ok(text) => text.into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn sync(State(control): Cx, body: Bytes) -> Response {
    match rmp_serde::from_slice::<Sync>(&body) {
        Ok(message) => answer(control.ask(message).await.ok()),
        Err(error) => {
            report(Event::PeerMalformed, format_args!("error=\"{error}\""));
            StatusCode::BAD_REQUEST.into_response()
        }
    }
}

async fn suspect(State(cx): State<Arc<Shared>>, body: Bytes) -> Response {
    match rmp_serde::from_slice(&body) {
        Ok(notice) => {
            cx.note_suspect(notice);
            answer(Some(Reply(())))
        }
        Err(error) => {
            report(Event::PeerMalformed, format_args!("error=\"{error}\""));
            StatusCode::BAD_REQUEST.into_response()
        }
    }
}

async fn knowledge(State(control): Cx) -> Response {
    answer(control.ask(AskKnowledge).await.ok())
}

fn answer<T: Serialize + Send>(reply: Option<Reply<T>>) -> Response {
    match reply.map(|Reply(reply)| rmp_serde::to_vec_named(&reply)) {
        Some(Ok(bytes)) => bytes.into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Tells a peer what it lacks, and the actor what it answered.
pub(crate) async fn send_sync(cx: Arc<Shared>, control: ActorRef<Control>, to: Member, sync: Sync) {
    let answer = ask::<SyncAnswer>(&cx, to.address, "/sync", &sync).await;
    // The actor only ends with the process.
    let _ = control.tell(Input::Synced { to, answer }).await;
}

/// Tells every other daemon of suspects. One that can't be reached learns of the next crash.
pub(crate) async fn spread_suspects(cx: Arc<Shared>) {
    let mut notices = cx.suspect_notices.subscribe();
    loop {
        let notice = match notices.recv().await {
            Ok(notice) => notice,
            // So many crashes at once that some notices were dropped: those that follow count.
            Err(RecvError::Lagged(_)) => continue,
            Err(RecvError::Closed) => return,
        };
        // Each by itself: a peer that does not answer must not hold the next notice up.
        tokio::spawn(tell_suspect(Arc::clone(&cx), notice));
    }
}

async fn tell_suspect(cx: Arc<Shared>, notice: SuspectNotice) {
    let Some(view) = cx.view.load() else { return };
    let told = view.peers.iter().map(|peer| ask::<()>(&cx, *peer, "/suspect", &notice));
    futures::future::join_all(told).await;
}

/// Asks a daemon for everything that it knows.
pub(crate) async fn ask_knowledge(cx: &Shared, address: SocketAddr) -> Option<Sync> {
    ask(cx, address, "/knowledge", &()).await
}

/// Sends a message to a daemon. Without an answer the cause is with the peer's silence: the caller
/// tries again or does without.
async fn ask<T: DeserializeOwned>(
    cx: &Shared,
    address: SocketAddr,
    path: &str,
    message: &(impl Serialize + std::marker::Sync),
) -> Option<T> {
    let body = rmp_serde::to_vec_named(message).ok()?.into();
    let call = HttpRequest { method: Method::POST, path: path.into(), body };
    let exchange = async {
        let link = cx.peers.link(address).await?;
        cx.peers.call(link, address, &call, ANSWER_WAIT).await
    };
    let answer = timeout(Duration::from(ANSWER_WAIT), exchange).await.ok()?.ok()?;
    match answer.status {
        200 => rmp_serde::from_slice(&answer.body)
            .inspect_err(|error| report(Event::PeerMalformed, format_args!("error=\"{error}\"")))
            .ok(),
        _ => None,
    }
}
