//! Hands a request over to another daemon, because this one does not reach the server, and serves
//! those that others hand over.
//!
//! The other daemon does everything that it does for a request of its own callers, but never hands it
//! on. So a request makes at most one hop.

use {
    crate::{
        connection::PeerError,
        process::DaemonContext,
        request::{
            exchange::ServerResponse,
            forward::forward,
            parse::{ParsedRequest, parse_request},
            refusal::Refusal,
            route::Destination,
        },
    },
    axum::http::{HeaderValue, Method, Request, StatusCode, Uri},
    bytes::Bytes,
    oriolehoist_forwarding::{DaemonEnd, HandOverNext, OwnRequest, WAY_ALLOWANCE},
    oriolehoist_protocol::{
        DEADLINE_MS, HANDOVER_PATH, HandOverReply, Incarnation, MessageHeaders,
    },
    oriolehoist_reach::HandOverEnd,
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{net::SocketAddr, sync::Arc},
};

/// A request that a daemon hands over to another one.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HandedOverRequest {
    /// The daemon that sends it.
    from: Incarnation,
    method: SmolStr,
    /// The path with the service's name, and the query.
    uri: String,
    headers: MessageHeaders,
    body: Bytes,
    /// The time left until the deadline.
    remaining: Millis,
}

/// The end of a request at the other daemon.
pub(crate) type Reply = HandOverReply<Refusal>;

/// How handing a request over ended.
pub(super) enum HandedOver {
    Ended(Result<ServerResponse, Refusal>),
    /// No other daemon reaches the server, as far as is known. Nothing was sent to one.
    NoPath,
}

/// A request at another daemon, until its end has been recorded.
struct HandOverGuard<'a> {
    cx: &'a DaemonContext,
    peer: SocketAddr,
    server: SocketAddr,
    end: HandOverEnd,
}

impl Drop for HandOverGuard<'_> {
    fn drop(&mut self) {
        let now = self.cx.clock.now();
        self.cx.ways().on_ended(now, self.peer, self.server, self.end);
    }
}

/// Hands a request over to a daemon that reaches the server, and to another one if that can't help.
/// `try_spend_retry` spends a retry of the service's budget, and returns whether there was one.
pub(super) async fn hand_over(
    cx: &Arc<DaemonContext>,
    parsed: &ParsedRequest,
    body: &Bytes,
    destination: &Destination,
    life: &mut OwnRequest,
    try_spend_retry: impl Fn() -> bool,
) -> HandedOver {
    let server = destination.backend.address;
    let known = cx.live_peers.load_full();
    let mut tried = Vec::new();
    let mut now = cx.clock.now();
    let mut next = life.start_hand_over(now);
    loop {
        match next {
            HandOverNext::ChooseDaemon => {}
            HandOverNext::NoPath => return HandedOver::NoPath,
            HandOverNext::Refuse(refusal) => {
                let refusal = Refusal::from(refusal);
                let name = &destination.backend.name;
                return HandedOver::Ended(Err(refusal.with_server(name, destination.epoch)));
            }
        }
        let mut rng = fastrand::Rng::new();
        let peer = cx.ways().choose(now, server, &known.ways, &tried, &mut rng);
        let Some(peer) = peer else { return HandedOver::NoPath };
        life.ask_daemon();
        tried.push(peer);
        let end = match ask(cx, parsed, body, server, peer).await {
            Asked::Response(response) => return HandedOver::Ended(Ok(response)),
            Asked::Refused(refusal) => return HandedOver::Ended(Err(life.finish(refusal))),
            Asked::Ended(end) => end,
        };
        now = cx.clock.now();
        next = life.on_daemon_ended(now, end, &try_spend_retry);
    }
}

/// What a daemon has done with a request.
enum Asked {
    Response(ServerResponse),
    Refused(Refusal),
    Ended(DaemonEnd),
}

/// Hands a request over to a daemon, and records how that ended.
async fn ask(
    cx: &Arc<DaemonContext>,
    parsed: &ParsedRequest,
    body: &Bytes,
    server: SocketAddr,
    peer: SocketAddr,
) -> Asked {
    let now = cx.clock.now();
    cx.ways().on_sent(peer);
    let mut guard = HandOverGuard { cx, peer, server, end: HandOverEnd::Abandoned };
    let message = HandedOverRequest {
        from: cx.identity.incarnation,
        method: parsed.method.as_str().into(),
        uri: format!("/{}{}", parsed.service.name, parsed.path),
        headers: MessageHeaders::from(&parsed.headers),
        body: body.clone(),
        remaining: parsed.deadline.since(now + WAY_ALLOWANCE),
    };
    let wait = parsed.deadline.since(now);
    match cx.peers.call::<Reply>(peer, HANDOVER_PATH, &message, wait).await {
        Ok(HandOverReply::Response { status, headers, body, .. }) => {
            guard.end = HandOverEnd::Handled;
            let status = StatusCode::from_u16(status).ok();
            match (status.filter(|status| !status.is_informational()), headers.decode()) {
                (Some(status), Some(headers)) => {
                    Asked::Response(ServerResponse { status, headers, body })
                }
                _ => Asked::Ended(DaemonEnd::Malformed),
            }
        }
        Ok(HandOverReply::Refused(refusal)) => {
            guard.end = HandOverEnd::Handled;
            Asked::Refused(refusal)
        }
        Ok(HandOverReply::NoPath { cut_off, referral }) => {
            guard.end = if cut_off { HandOverEnd::CutOff } else { HandOverEnd::NoPath };
            if let Some(peer) = referral {
                cx.ways().on_referred(now, peer);
            }
            Asked::Ended(DaemonEnd::NotRun)
        }
        Err(error) => {
            guard.end = HandOverEnd::Failed;
            Asked::Ended(match was_not_taken(&error) {
                true => DaemonEnd::NotRun,
                false => DaemonEnd::Lost,
            })
        }
    }
}

fn was_not_taken(error: &PeerError) -> bool {
    match error {
        PeerError::Refused(status) => Reply::is_not_taken(status.as_u16()),
        PeerError::NoResponse(error) => error.is_connect() || error.is_builder(),
        PeerError::TooLarge | PeerError::Malformed(_) => false,
    }
}

/// Serves a request that another daemon has handed over. Returns `None` if the sender is not a live
/// peer, or the request is malformed.
pub(crate) async fn serve_handed_over(
    cx: &Arc<DaemonContext>,
    message: HandedOverRequest,
) -> Option<Reply> {
    if !cx.live_peers.load().incarnations.contains(&message.from) {
        return None;
    }
    // The others ask elsewhere from now on, before the listener closes.
    if cx.is_stopping() {
        return Some(no_path_reply(cx, true));
    }
    let view = cx.view.load()?;
    let mut parts = Request::new(()).into_parts().0;
    parts.method = Method::from_bytes(message.method.as_bytes()).ok()?;
    parts.uri = message.uri.parse::<Uri>().ok()?;
    parts.headers = message.headers.decode()?;
    parts.headers.insert(DEADLINE_MS, HeaderValue::from(message.remaining.0.max(1)));
    let parsed = match parse_request(cx.clock.now(), &view, &parts) {
        Ok(parsed) => ParsedRequest { is_handed_over: true, ..parsed },
        Err(refusal) => return Some(HandOverReply::Refused(refusal)),
    };
    Some(match forward(cx, &parsed, message.body).await {
        Ok(response) => HandOverReply::Response {
            server: SmolStr::default(),
            status: response.status.as_u16(),
            headers: MessageHeaders::from(&response.headers),
            body: response.body,
        },
        Err(refusal) if refusal.kind == RefusalKind::Unreachable => {
            no_path_reply(cx, cx.paths().is_cut_off())
        }
        Err(refusal) => HandOverReply::Refused(refusal),
    })
}

/// Returns the reply that this daemon does not reach a server, or takes no requests at all.
fn no_path_reply(cx: &DaemonContext, cut_off: bool) -> Reply {
    HandOverReply::NoPath { cut_off, referral: cx.ways().referral(cx.clock.now()) }
}
