//! Detects requests that crash the servers that run them, and quarantines them.

use {
    crate::{
        connection::{Backend, Pool},
        process::{DaemonContext, Event, io_kind, report},
        request::{exchange::incarnation_of, parse::ParsedRequest, refusal::Refusal},
    },
    oriolehoist_admission::{Fingerprint, FingerprintBuilder, SendDecision},
    oriolehoist_protocol::{Incarnation, SIGHT_PATH, ServerSight, SuspectNotice},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    std::{io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Timeout of a health probe of a server that broke a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of health probes.
const MAX_PROBES: u32 = 4;
/// Time between two health probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for a peer's response to a notice.
const NOTICE_TIMEOUT: Millis = Millis(300);

/// How many other daemons are asked whether a server has crashed.
const CRASH_WITNESSES: usize = 2;
/// The maximum wait for what another daemon sees of a server.
const WITNESS_TIMEOUT: Millis = Millis(700);
/// How many other servers a daemon asks that a server refuses, to see whether it is cut off.
const CONTROL_PROBES: usize = 3;

/// Returns the fingerprint of a request.
pub(crate) fn fingerprint(parsed: &ParsedRequest, body: &[u8]) -> Fingerprint {
    FingerprintBuilder::default()
        .text(parsed.service.name.as_str())
        .text(parsed.method.as_str())
        .text(&parsed.path)
        .optional_text(parsed.key.as_deref())
        .bytes(body)
        .finish()
}

/// Decides how a request may be sent, given the server crashes during which it was in flight.
///
/// # Errors
///
/// Returns the refusal of a request in quarantine.
pub(crate) fn send_decision(
    cx: &DaemonContext,
    fingerprint: Fingerprint,
) -> Result<SendDecision, Refusal> {
    checked(cx.crash_suspects().send_decision(cx.clock.now(), fingerprint))
}

/// Decides the same when the request is about to be sent.
///
/// # Errors
///
/// Returns the refusal of a request in quarantine, or of one that was sent on trial a short time ago.
pub(crate) fn admit(cx: &DaemonContext, fingerprint: Fingerprint) -> Result<SendDecision, Refusal> {
    checked(cx.crash_suspects().admit(cx.clock.now(), fingerprint))
}

fn checked(decision: SendDecision) -> Result<SendDecision, Refusal> {
    match decision {
        SendDecision::Quarantined(left) => {
            let refusal =
                Refusal::new(RefusalKind::Quarantined, "two servers crashed on this request");
            Err(refusal.with_retry_after(left))
        }
        decision => Ok(decision),
    }
}

/// Clears the suspicion of a request that got a complete response.
pub(crate) fn clear_suspicion(cx: &DaemonContext, fingerprint: Fingerprint) {
    let mut suspects = cx.crash_suspects();
    if !suspects.is_empty() {
        suspects.on_answered(cx.clock.now(), fingerprint);
    }
}

/// Checks whether a server that broke a connection has crashed. If so, records the request as a
/// crash suspect at this daemon and at every peer.
pub(crate) async fn on_connection_broken(
    cx: &Arc<DaemonContext>,
    backend: &Backend,
    fingerprint: Fingerprint,
) {
    let (crashed, broken_at) = (backend.incarnation(), cx.clock.now());
    if !has_crashed(cx, backend, crashed, broken_at).await {
        return;
    }
    report(
        Event::ServerCrashed,
        format_args!("server {}: it refuses connections or has a new incarnation", backend.name),
    );
    let notice = SuspectNotice { fingerprint: fingerprint.0, crashed };
    cx.record_suspect(notice, "crash");
    notify_peers(cx, notice).await;
}

/// Probes the server's health on new connections. A crashed server refuses them, or has a new
/// incarnation after its restart.
///
/// A connection that breaks or goes silent proves nothing, since the network may be at fault, nor does
/// one that only this daemon can't open.
async fn has_crashed(
    cx: &DaemonContext,
    backend: &Backend,
    before: Incarnation,
    broken_at: Millis,
) -> bool {
    for _ in 0..MAX_PROBES {
        match check_health(cx, backend.address).await {
            Ok(health) => return incarnation_of(health.headers()).is_some_and(|now| now != before),
            Err(error) if error.is_connect() && !error.is_timeout() => {
                return is_confirmed(cx, backend, broken_at).await;
            }
            Err(_) => sleep(PROBE_INTERVAL).await,
        }
    }
    false
}

/// Returns whether a server that refuses this daemon has crashed, as other daemons see it. If none of
/// them can tell, it counts that another server has answered since the connection broke.
async fn is_confirmed(cx: &DaemonContext, backend: &Backend, broken_at: Millis) -> bool {
    let peers = cx.live_peers.load_full();
    let asked = fastrand::choose_multiple(&peers.ways, CRASH_WITNESSES);
    let asked = asked.into_iter().map(|(peer, _)| async {
        let call =
            cx.peers.call::<ServerSight>(*peer, SIGHT_PATH, &backend.address, WITNESS_TIMEOUT);
        call.await.unwrap_or(ServerSight::Unknown)
    });
    let seen = futures::future::join_all(asked).await;
    match () {
        () if seen.contains(&ServerSight::Accepts) => false,
        () if seen.contains(&ServerSight::Refuses) => true,
        () => cx.paths().any_answered_since(broken_at),
    }
}

/// Returns what this daemon sees of a server that another one takes for crashed.
pub(crate) async fn server_sight(cx: &DaemonContext, server: SocketAddr) -> ServerSight {
    let Some(view) = cx.view.load() else { return ServerSight::Unknown };
    let backends = view.services.values().flat_map(|service| service.backends.values());
    let mut addresses: Vec<SocketAddr> = backends.map(|backend| backend.address).collect();
    let known = addresses.len();
    addresses.retain(|address| *address != server);
    if addresses.len() == known {
        return ServerSight::Unknown;
    }
    fastrand::shuffle(&mut addresses);
    match check_health(cx, server).await {
        Ok(_) => ServerSight::Accepts,
        Err(error) if io_kind(&error) == Some(ErrorKind::ConnectionRefused) => {
            let others = addresses.into_iter().take(CONTROL_PROBES);
            let checks = others.map(|address| check_health(cx, address));
            let is_reached = futures::future::join_all(checks).await.iter().any(Result::is_ok);
            if is_reached { ServerSight::Refuses } else { ServerSight::Unknown }
        }
        Err(_) => ServerSight::Unknown,
    }
}

/// Asks a server for its health, over a new connection.
async fn check_health(
    cx: &DaemonContext,
    server: SocketAddr,
) -> Result<reqwest::Response, reqwest::Error> {
    let client = Pool::new(cx.source, 0).client().client;
    let url = format!("http://{server}/oriolehoist/health");
    client.get(url).timeout(PROBE_TIMEOUT).send().await
}

/// Notifies every peer, and waits until each has responded or is found unreachable: as soon as the
/// caller has its response, it may send the same request to another daemon.
async fn notify_peers(cx: &Arc<DaemonContext>, notice: SuspectNotice) {
    let peers = cx.live_peers.load_full();
    let notifications = peers.ways.iter().map(|(peer, _)| async move {
        let _ = cx.peers.call::<()>(*peer, "/suspect", &notice, NOTICE_TIMEOUT).await;
    });
    futures::future::join_all(notifications).await;
}
