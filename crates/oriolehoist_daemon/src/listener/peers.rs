use {
    crate::{
        connection::{MAX_MESSAGE_BYTES, decode, encode},
        control::{
            Control, GetAssignment, GetHello, GetSettings, PeerAcceptTerm, PeerHeartbeat,
            PeerResigned, QueryHolder, Reply,
        },
        process::{DaemonContext, Event, report},
        request::{HandedOverRequest, serve_handed_over, server_sight},
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
    oriolehoist_protocol::{
        AcceptTermRequest, HANDOVER_PATH, Heartbeat, HolderQuery, Resignation, SIGHT_PATH,
        ServiceName, SuspectNotice,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, sync::Arc},
    tokio::{runtime::Handle, task::AbortHandle},
};

#[derive(Clone)]
struct PeersState {
    cx: Arc<DaemonContext>,
    control: ActorRef<Control>,
    /// The runtime of the traffic threads.
    traffic: Handle,
}

/// Builds the router for the other daemons. Request and response bodies are MessagePack.
pub(crate) fn peers_router(
    cx: Arc<DaemonContext>,
    control: ActorRef<Control>,
    traffic: Handle,
) -> Router {
    Router::new()
        .route("/hello", post(hello))
        .route("/heartbeat", post(heartbeat))
        .route("/accept", post(accept))
        .route("/resign", post(resign))
        .route("/missing", post(missing))
        .route("/settings", post(settings))
        .route("/assignment", post(assignment))
        .route("/suspect", post(suspect))
        .route(HANDOVER_PATH, post(request))
        .route(SIGHT_PATH, post(sight))
        .layer(DefaultBodyLimit::max(MAX_MESSAGE_BYTES))
        .with_state(PeersState { cx, control, traffic })
}

async fn hello(State(state): State<PeersState>) -> Response {
    ask_control(&state, GetHello).await
}

async fn heartbeat(State(state): State<PeersState>, body: Bytes) -> Response {
    match decode_message::<Heartbeat>(&body) {
        Ok(message) => ask_about_service(&state, PeerHeartbeat(message)).await,
        Err(malformed) => malformed.into_response(),
    }
}

async fn accept(State(state): State<PeersState>, body: Bytes) -> Response {
    match decode_message::<AcceptTermRequest>(&body) {
        Ok(message) => ask_about_service(&state, PeerAcceptTerm(message)).await,
        Err(malformed) => malformed.into_response(),
    }
}

async fn resign(State(state): State<PeersState>, body: Bytes) -> Response {
    match decode_message::<Resignation>(&body) {
        Ok(message) => {
            let _ = state.control.tell(PeerResigned(message)).await;
            encode_response(&())
        }
        Err(malformed) => malformed.into_response(),
    }
}

/// Responds whether this daemon has lost contact with the holder of a term.
async fn missing(State(state): State<PeersState>, body: Bytes) -> Response {
    match decode_message::<HolderQuery>(&body) {
        Ok(query) => ask_control(&state, QueryHolder(query)).await,
        Err(malformed) => malformed.into_response(),
    }
}

async fn settings(State(state): State<PeersState>) -> Response {
    ask_control(&state, GetSettings).await
}

async fn assignment(State(state): State<PeersState>, body: Bytes) -> Response {
    match decode_message::<ServiceName>(&body) {
        Ok(service) => ask_control(&state, GetAssignment(service)).await,
        Err(malformed) => malformed.into_response(),
    }
}

/// Records that a server crashed while a request from a peer was in flight there.
async fn suspect(State(state): State<PeersState>, body: Bytes) -> Response {
    match decode_message::<SuspectNotice>(&body) {
        Ok(notice) => {
            state.cx.record_suspect(notice, "notice");
            encode_response(&())
        }
        Err(malformed) => malformed.into_response(),
    }
}

/// Serves a request that another daemon has handed over, on the traffic threads.
async fn request(State(state): State<PeersState>, body: Bytes) -> Response {
    let message = match decode_message::<HandedOverRequest>(&body) {
        Ok(message) => message,
        Err(malformed) => return malformed.into_response(),
    };
    let cx = Arc::clone(&state.cx);
    let task = state.traffic.spawn(async move { serve_handed_over(&cx, message).await });
    // If the other daemon closes its connection, the request ends here too.
    let _abort = AbortOnDrop(task.abort_handle());
    match task.await {
        Ok(Some(reply)) => encode_response(&reply),
        Ok(None) => StatusCode::FORBIDDEN.into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

/// Tells another daemon what this one sees of the server at an address.
async fn sight(State(state): State<PeersState>, body: Bytes) -> Response {
    match decode_message::<SocketAddr>(&body) {
        Ok(server) => encode_response(&server_sight(&state.cx, server).await),
        Err(malformed) => malformed.into_response(),
    }
}

struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Passes a message to the control actor and responds with its reply.
async fn ask_control<M, T>(state: &PeersState, message: M) -> Response
where
    Control: Message<M, Reply = Reply<T>>,
    M: Send + 'static,
    T: Serialize + Send + 'static,
{
    match state.control.ask(message).await {
        Ok(Reply(reply)) => encode_response(&reply),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Like [`ask_control`], but responds with 404 if this daemon does not know the service yet.
async fn ask_about_service<M, T>(state: &PeersState, message: M) -> Response
where
    Control: Message<M, Reply = Reply<Option<T>>>,
    M: Send + 'static,
    T: Serialize + Send + 'static,
{
    match state.control.ask(message).await {
        Ok(Reply(Some(reply))) => encode_response(&reply),
        Ok(Reply(None)) => (StatusCode::NOT_FOUND, "no such service here yet").into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn encode_response(message: &impl Serialize) -> Response {
    encode(message).into_response()
}

/// A message that could not be decoded.
#[derive(Debug)]
struct MalformedMessage(rmp_serde::decode::Error);

impl IntoResponse for MalformedMessage {
    fn into_response(self) -> Response {
        (StatusCode::BAD_REQUEST, format!("malformed message: {}", self.0)).into_response()
    }
}

fn decode_message<T: DeserializeOwned>(body: &[u8]) -> Result<T, MalformedMessage> {
    decode(body).map_err(|error| {
        report(Event::PeerMalformed, format_args!("can't decode a message from a peer: {error}"));
        MalformedMessage(error)
    })
}
