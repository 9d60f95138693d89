use {
    crate::{
        connection::{MAX_MESSAGE_BYTES, decode, encode},
        control::{
            AskAssignment, AskHello, AskMissing, AskSettings, Control, PeerAccept, PeerHeartbeat,
            PeerResigns, Reply,
        },
        process::{Event, Shared, report},
    },
    axum::{
        Router,
        body::Bytes,
        extract::{DefaultBodyLimit, State},
        http::StatusCode,
        response::{IntoResponse, Response},
        routing::post,
    },
    kameo::{actor::ActorRef, message::Message},
    oriolehoist_admission::{Crash, Fingerprint},
    oriolehoist_protocol::{
        AcceptTermRequest, Heartbeat, HolderQuery, Resignation, ServiceName, SuspectNotice,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

#[derive(Clone)]
struct PeersState {
    cx: Arc<Shared>,
    control: ActorRef<Control>,
}

/// Makes the routes for the other daemons. Bodies and answers are MessagePack.
pub(crate) fn peers_router(cx: Arc<Shared>, control: ActorRef<Control>) -> Router {
    Router::new()
        .route("/hello", post(hello))
        .route("/heartbeat", post(heartbeat))
        .route("/accept", post(accept))
        .route("/resign", post(resign))
        .route("/missing", post(missing))
        .route("/settings", post(settings))
        .route("/assignment", post(assignment))
        .route("/suspect", post(suspect))
        .layer(DefaultBodyLimit::max(MAX_MESSAGE_BYTES))
        .with_state(PeersState { cx, control })
}

async fn hello(State(state): State<PeersState>) -> Response {
    ask(&state, AskHello).await
}

async fn heartbeat(State(state): State<PeersState>, body: Bytes) -> Response {
    match read::<Heartbeat>(&body) {
        Ok(message) => ask_known(&state, PeerHeartbeat(message)).await,
        Err(malformed) => malformed.into_response(),
    }
}

async fn accept(State(state): State<PeersState>, body: Bytes) -> Response {
    match read::<AcceptTermRequest>(&body) {
        Ok(message) => ask_known(&state, PeerAccept(message)).await,
        Err(malformed) => malformed.into_response(),
    }
}

async fn resign(State(state): State<PeersState>, body: Bytes) -> Response {
    match read::<Resignation>(&body) {
        Ok(message) => {
            let _ = state.control.tell(PeerResigns(message)).await;
            answer(&())
        }
        Err(malformed) => malformed.into_response(),
    }
}

async fn missing(State(state): State<PeersState>, body: Bytes) -> Response {
    match read::<HolderQuery>(&body) {
        Ok(question) => ask(&state, AskMissing(question)).await,
        Err(malformed) => malformed.into_response(),
    }
}

async fn settings(State(state): State<PeersState>) -> Response {
    ask(&state, AskSettings).await
}

async fn assignment(State(state): State<PeersState>, body: Bytes) -> Response {
    match read::<ServiceName>(&body) {
        Ok(service) => ask(&state, AskAssignment(service)).await,
        Err(malformed) => malformed.into_response(),
    }
}

async fn suspect(State(state): State<PeersState>, body: Bytes) -> Response {
    match read::<SuspectNotice>(&body) {
        Ok(notice) => {
            let now = state.cx.clock.now();
            let mut suspects =
                state.cx.suspects.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            let crash = Crash(notice.crashed.0);
            suspects.on_crash(now, Fingerprint(notice.fingerprint), crash);
            answer(&())
        }
        Err(malformed) => malformed.into_response(),
    }
}

/// Asks control and passes its reply on.
async fn ask<M, T>(state: &PeersState, message: M) -> Response
where
    Control: Message<M, Reply = Reply<T>>,
    M: Send + 'static,
    T: Serialize + Send + 'static,
{
    match state.control.ask(message).await {
        Ok(Reply(reply)) => answer(&reply),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Asks control about a service that this daemon may not know yet.
async fn ask_known<M, T>(state: &PeersState, message: M) -> Response
where
    Control: Message<M, Reply = Reply<Option<T>>>,
    M: Send + 'static,
    T: Serialize + Send + 'static,
{
    match state.control.ask(message).await {
        Ok(Reply(Some(reply))) => answer(&reply),
        Ok(Reply(None)) => (StatusCode::NOT_FOUND, "no such service here yet").into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn answer(message: &impl Serialize) -> Response {
    encode(message).into_response()
}

/// A message that could not be understood.
#[derive(Debug)]
struct Malformed(rmp_serde::decode::Error);

impl IntoResponse for Malformed {
    fn into_response(self) -> Response {
        (StatusCode::BAD_REQUEST, format!("malformed message: {}", self.0)).into_response()
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, Malformed> {
    decode(body).map_err(|error| {
        report(Event::PeerMalformed, format_args!("{error}"));
        Malformed(error)
    })
}
