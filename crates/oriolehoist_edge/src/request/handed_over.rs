//! Serves the requests that other daemons hand over.

use {
    crate::{
        control::OrDash,
        process::{Shared, lock},
        request::{
            forward::{ForwardOutcome, RoutedRequest, forward},
            presence::CallerPresence,
            quarantine::server_sight,
        },
        wire::{self, HandedOverRefusal, HandedOverRequest, Reply, decode},
    },
    axum::{
        Router,
        body::{Body, to_bytes},
        extract::{ConnectInfo, State},
        http::StatusCode,
        response::{IntoResponse, Response},
        routing::post,
    },
    http::{HeaderValue, Method},
    oriolehoist_log::{Event, report},
    oriolehoist_protocol::{HANDOVER_PATH, HandOverReply, MessageHeaders, SIGHT_PATH},
    oriolehoist_refusal::RefusalKind,
    serde::Serialize,
    smol_str::SmolStr,
    std::{
        collections::HashSet,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
    },
};

/// What a message may have beyond the body of its request, in bytes.
const MAX_OVERHEAD_BYTES: u64 = 128 << 10;
/// The maximum length of a server's id.
const MAX_SERVER_ID_BYTES: usize = 1 << 10;
/// The maximum number of senders whose messages are reported as not usable.
const MAX_REPORTED_SENDERS: usize = 64;

/// The state of the routes.
struct HandOvers {
    cx: Arc<Shared>,
    /// The senders that were reported already, each with the reason.
    reported: Mutex<HashSet<(IpAddr, &'static str)>>,
}

/// The routes at the address for requests of other daemons.
pub(crate) fn handover_router(cx: Arc<Shared>) -> Router {
    let state = Arc::new(HandOvers { cx, reported: Mutex::default() });
    Router::new()
        .route(HANDOVER_PATH, post(serve))
        .route(SIGHT_PATH, post(tell_sight))
        .with_state(state)
}

async fn serve(
    State(state): State<Arc<HandOvers>>,
    ConnectInfo(sender): ConnectInfo<SocketAddr>,
    body: Body,
) -> Response {
    let cx = &state.cx;
    let Some(view) = cx.view.load() else { return encode(cx, &no_path(cx, true)) };
    if !view.peer_ips.contains(&sender.ip()) {
        return state.reject(sender, StatusCode::FORBIDDEN, "no member");
    }
    let max_bytes = cx.caller_limits().max_body_bytes + MAX_OVERHEAD_BYTES;
    let Ok(bytes) = to_bytes(body, usize::try_from(max_bytes).unwrap_or(usize::MAX)).await else {
        return state.reject(sender, StatusCode::PAYLOAD_TOO_LARGE, "too large or cut short");
    };
    let message = decode::<HandedOverRequest>(&bytes);
    let request = message.ok().and_then(|message| routed(cx, message));
    let Some(mut request) = request else {
        return state.reject(sender, StatusCode::BAD_REQUEST, "malformed");
    };
    if cx.may_close_connections() {
        return encode(cx, &no_path(cx, true));
    }
    let _counted = cx.count_handed_over();
    let reply = match forward(cx, &mut request).await {
        ForwardOutcome::Response(response) => HandOverReply::Response {
            server: request.last_server.clone(),
            status: response.status,
            headers: MessageHeaders::from(&response.headers),
            body: response.body,
        },
        ForwardOutcome::Refused(refusal) if refusal.kind == RefusalKind::Unreachable => {
            no_path(cx, cx.paths().is_cut_off())
        }
        // Another daemon may still serve it.
        ForwardOutcome::Refused(refusal) if refusal.kind == RefusalKind::Stopping => {
            no_path(cx, true)
        }
        ForwardOutcome::Refused(refusal) => HandOverReply::Refused(HandedOverRefusal {
            kind: refusal.kind,
            expected_wait: refusal.expected_wait,
            retry_after: refusal.retry_after,
        }),
    };
    encode(cx, &reply)
}

/// Tells another daemon what this one sees of a server.
async fn tell_sight(
    State(state): State<Arc<HandOvers>>,
    ConnectInfo(sender): ConnectInfo<SocketAddr>,
    body: Body,
) -> Response {
    let is_member = state.cx.view.load().is_some_and(|view| view.peer_ips.contains(&sender.ip()));
    if !is_member {
        return state.reject(sender, StatusCode::FORBIDDEN, "no member");
    }
    let bytes = to_bytes(body, MAX_SERVER_ID_BYTES).await.unwrap_or_default();
    match std::str::from_utf8(&bytes) {
        Ok(server) => encode(&state.cx, &server_sight(&state.cx, server).await),
        Err(_) => state.reject(sender, StatusCode::BAD_REQUEST, "malformed"),
    }
}

/// Returns the reply that this daemon does not reach a server, or any server at all.
fn no_path(cx: &Shared, cut_off: bool) -> Reply {
    HandOverReply::NoPath { cut_off, referral: cx.peers().referral(cx.clock.now()) }
}

/// Returns a request that was handed over, or `None` if it is malformed.
fn routed(cx: &Shared, message: HandedOverRequest) -> Option<RoutedRequest> {
    let now = cx.clock.now();
    let headers = message.headers.decode()?;
    // If its caller leaves, the connection from the other daemon closes.
    let presence = CallerPresence::new(message.route.idempotent);
    let id = headers.get(&cx.platform.header_names().request_id).cloned();
    Some(RoutedRequest {
        id: id.unwrap_or_else(|| HeaderValue::from_static("")),
        method: Method::from_bytes(message.method.as_bytes()).ok()?,
        target: message.target,
        headers,
        body: message.body,
        arrived: now,
        deadline: now + message.remaining,
        latency_objective: now + message.objective,
        is_retry: message.is_retry,
        key: message.key,
        work: cx.route_work(&message.service, &message.route.name),
        service: message.service,
        route: message.route,
        view: cx.view.load()?,
        attempts: 0,
        last_server: SmolStr::default(),
        last_draining: None,
        counted: message.counted,
        presence,
        is_handed_over: true,
        via: None,
    })
}

fn encode(cx: &Shared, reply: &impl Serialize) -> Response {
    match wire::encode(reply) {
        Ok(bytes) => bytes.into_response(),
        Err(error) => {
            let instance = OrDash(Some(&cx.bootstrap.instance));
            report(Event::PeerMalformed, format_args!("from={instance} error=\"{error}\""));
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}

impl HandOvers {
    /// Rejects a message, and logs that once for each sender and reason.
    fn reject(&self, sender: SocketAddr, status: StatusCode, reason: &'static str) -> Response {
        let mut reported = lock(&self.reported);
        if reported.len() < MAX_REPORTED_SENDERS && reported.insert((sender.ip(), reason)) {
            report(Event::PeerMalformed, format_args!("handover={sender} error=\"{reason}\""));
        }
        status.into_response()
    }
}
