//! Hands a request over to another daemon, because this one does not reach the server.
//!
//! The other daemon does everything that it does for a request of its own callers, but never hands it
//! on. So a request makes at most one hop, and is counted and limited at one daemon.

use {
    crate::{
        connection::{Backend, CallError, ClientConnection},
        process::Shared,
        request::{
            forward::{ForwardOutcome, RequestLife, RoutedRequest},
            refusal::Refusal,
            statements::{Absence, observe_statements},
        },
        wire::{HandedOverRefusal, HandedOverRequest, Reply, decode, encode},
    },
    http::{HeaderMap, Method},
    oriolehoist_forwarding::{DaemonEnd, HandOverNext, WAY_ALLOWANCE},
    oriolehoist_http1::FinalStatus,
    oriolehoist_log::{Event, report},
    oriolehoist_port::{HttpRequest, HttpResponse, Route},
    oriolehoist_protocol::{HANDOVER_PATH, HandOverReply, MessageHeaders},
    oriolehoist_reach::HandOverEnd,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// How handing a request over ended.
pub(super) enum HandedOver {
    Ended(ForwardOutcome),
    /// No other daemon reaches the server, as far as is known. Nothing was sent to one.
    NoPath,
}

/// A request at another daemon, until its end has been recorded.
struct HandOverGuard<'a> {
    cx: &'a Shared,
    peer: SocketAddr,
    server: u32,
    end: HandOverEnd,
}

impl Drop for HandOverGuard<'_> {
    fn drop(&mut self) {
        let now = self.cx.clock.now();
        self.cx.peers().on_ended(now, self.peer, self.server, self.end);
        self.cx.metrics.on_handed_over(self.end);
    }
}

/// Hands a request over to a daemon that reaches the server, and to another one if that can't help.
pub(super) async fn hand_over(
    cx: &Arc<Shared>,
    request: &mut RoutedRequest,
    life: &mut RequestLife,
    server: &Backend,
) -> HandedOver {
    let mut tried = Vec::new();
    let mut now = cx.clock.now();
    life.set_stop(cx.stop());
    let mut next = life.start_hand_over(now);
    loop {
        match next {
            HandOverNext::ChooseDaemon => {}
            HandOverNext::NoPath => return HandedOver::NoPath,
            HandOverNext::Refuse(refusal) => return refused(refusal),
        }
        let known = &request.view.handover_peers;
        let mut rng = fastrand::Rng::new();
        let Some(peer) = cx.peers().choose(now, server.short_id, known, &tried, &mut rng) else {
            return HandedOver::NoPath;
        };
        let max_attempts = match life.ask_daemon(|| cx.try_spend_retry(&request.service)) {
            Ok(max_attempts) => max_attempts,
            Err(refusal) => return refused(refusal),
        };
        tried.push(peer);
        let end = match ask(cx, request, server, peer, max_attempts).await {
            Asked::Response(response) => {
                life.on_daemon_response();
                return HandedOver::Ended(ForwardOutcome::Response(response));
            }
            Asked::Refused(refusal) => return refused(life.finish(refusal)),
            Asked::Ended(end) => end,
        };
        now = cx.clock.now();
        life.set_stop(cx.stop());
        next = life.on_daemon_ended(now, end);
    }
}

fn refused(refusal: Refusal) -> HandedOver {
    HandedOver::Ended(ForwardOutcome::Refused(refusal))
}

/// What a daemon has done with a request.
enum Asked {
    Response(HttpResponse),
    Refused(Refusal),
    Ended(DaemonEnd),
}

/// Hands a request over to a daemon, and records how that ended.
async fn ask(
    cx: &Arc<Shared>,
    request: &mut RoutedRequest,
    server: &Backend,
    peer: SocketAddr,
    max_attempts: u32,
) -> Asked {
    let now = cx.clock.now();
    let presence = request.presence.clone();
    let _at_server = presence.enter_server().await;
    cx.peers().on_sent(peer);
    let mut guard =
        HandOverGuard { cx, peer, server: server.short_id, end: HandOverEnd::Abandoned };
    let Ok(connection) = cx.handover_client.acquire(peer).await else {
        guard.end = HandOverEnd::Failed;
        return Asked::Ended(DaemonEnd::NotRun);
    };
    request.via = Some(peer);
    match exchange(cx, request, connection, peer, max_attempts).await {
        Ok(HandOverReply::Response { server, status, headers, body }) => {
            guard.end = HandOverEnd::Handled;
            let (Some(headers), Ok(status)) = (headers.decode(), FinalStatus::try_from(status))
            else {
                return Asked::Ended(DaemonEnd::Malformed);
            };
            let response = HttpResponse { status: status.into(), headers, body };
            // What the server says of itself binds this daemon too.
            if let Some(backend) = request.view.backends.get(&server) {
                let absence = Absence::SaysNothing;
                observe_statements(cx, backend, now, &response, absence, "daemon");
            }
            request.last_server = server;
            Asked::Response(response)
        }
        Ok(HandOverReply::Refused(HandedOverRefusal { kind, expected_wait, retry_after })) => {
            guard.end = HandOverEnd::Handled;
            let reason = "another daemon, which reaches the servers, has refused it";
            Asked::Refused(Refusal { expected_wait, retry_after, ..Refusal::new(kind, reason) })
        }
        Ok(HandOverReply::NoPath { cut_off, referral }) => {
            guard.end = if cut_off { HandOverEnd::CutOff } else { HandOverEnd::NoPath };
            if let Some(peer) = referral {
                cx.peers().on_referred(now, peer);
            }
            Asked::Ended(DaemonEnd::NotRun)
        }
        Err(HandOverError::NotTaken) => {
            guard.end = HandOverEnd::Failed;
            Asked::Ended(DaemonEnd::NotRun)
        }
        Err(HandOverError::Lost) => {
            guard.end = HandOverEnd::Failed;
            Asked::Ended(DaemonEnd::Lost)
        }
    }
}

/// Why there is no reply.
enum HandOverError {
    /// The daemon did not take the request.
    NotTaken,
    /// The daemon may have sent it to a server.
    Lost,
}

async fn exchange(
    cx: &Shared,
    request: &RoutedRequest,
    connection: ClientConnection,
    peer: SocketAddr,
    max_attempts: u32,
) -> Result<Reply, HandOverError> {
    let now = cx.clock.now();
    let message = HandedOverRequest {
        method: request.method.as_str().into(),
        target: request.target.clone(),
        headers: MessageHeaders::from(&request.headers),
        body: request.body.clone(),
        remaining: request.deadline.since(now + WAY_ALLOWANCE),
        objective: request.latency_objective.since(now + WAY_ALLOWANCE),
        is_retry: request.is_retry,
        key: request.key,
        service: request.service.clone(),
        route: Route { max_attempts, ..request.route.clone() },
        counted: request.counted,
    };
    let body = encode(&message).map_err(|error| {
        report(Event::PeerMalformed, format_args!("error=\"{error}\""));
        HandOverError::NotTaken
    })?;
    let http = HttpRequest {
        method: Method::POST,
        path: HANDOVER_PATH.into(),
        headers: HeaderMap::new(),
        body: body.into(),
    };
    let remaining = request.deadline.since(now);
    let sending = cx.handover_client.send(connection, peer, &http, remaining);
    let response = timeout(Duration::from(remaining), sending).await;
    let response = response.unwrap_or(Err(CallError::TimedOut)).map_err(|_| HandOverError::Lost)?;
    match response.status {
        200 => decode(&response.body).map_err(|error| {
            report(Event::PeerMalformed, format_args!("from={peer} error=\"{error}\""));
            HandOverError::Lost
        }),
        status if Reply::is_not_taken(status) => Err(HandOverError::NotTaken),
        _ => Err(HandOverError::Lost),
    }
}
