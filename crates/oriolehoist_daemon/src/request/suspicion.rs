//! Requests that crash the server that runs them.

use {
    crate::{
        connection::{Backend, Pool},
        process::{Event, Shared, report},
        request::{exchange::incarnation_of, parse::Parsed, refuse::Refusal},
    },
    oriolehoist_admission::{CrashId, Fingerprint, SendDecision},
    oriolehoist_protocol::{Incarnation, SuspectNotice},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    std::{
        sync::{Arc, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// The longest wait for a sign of life from a server that broke a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How often a server is asked for a sign of life.
const PROBES: u32 = 4;
/// Time between the questions.
const PROBE_PAUSE: Duration = Duration::from_millis(20);
/// The longest wait for a peer to take a notice.
const NOTICE_TIMEOUT: Millis = Millis(300);

/// Returns the fingerprint of a request.
pub(crate) fn fingerprint(parsed: &Parsed, body: &[u8]) -> Fingerprint {
    let target = (parsed.service.name.as_str(), parsed.method.as_str(), &parsed.path);
    Fingerprint::of(&(target, &parsed.key, body))
}

/// Judges a request before it is sent.
///
/// # Errors
///
/// Returns the refusal of a request in quarantine.
pub(crate) fn judge(cx: &Shared, fingerprint: Fingerprint) -> Result<SendDecision, Refusal> {
    let suspects = cx.suspects.lock().unwrap_or_else(PoisonError::into_inner);
    match suspects.send_decision(cx.clock.now(), fingerprint) {
        SendDecision::Quarantined(left) => {
            let refusal =
                Refusal::new(RefusalKind::Quarantined, "two servers crashed on this request");
            Err(refusal.come_back(left))
        }
        judgement => Ok(judgement),
    }
}

/// Clears a request that was answered.
pub(crate) fn clear(cx: &Shared, fingerprint: Fingerprint) {
    let mut suspects = cx.suspects.lock().unwrap_or_else(PoisonError::into_inner);
    if !suspects.is_empty() {
        suspects.on_answered(fingerprint);
    }
}

/// Finds out whether a server that broke a connection has crashed, and if so suspects the
/// request here and at every other daemon.
pub(crate) async fn on_broken(cx: &Arc<Shared>, backend: &Backend, fingerprint: Fingerprint) {
    let crashed = backend.incarnation();
    if !has_crashed(cx, backend, crashed).await {
        return;
    }
    report(Event::ServerCrashed, format_args!("{}", backend.name));
    let now = cx.clock.now();
    cx.suspects.lock().unwrap_or_else(PoisonError::into_inner).on_crash(
        now,
        fingerprint,
        CrashId(crashed.0),
    );
    tell_peers(cx, SuspectNotice { fingerprint: fingerprint.0, crashed }).await;
}

/// Asks the server on new connections: a crashed one refuses them, or has a new incarnation.
///
/// A connection that breaks or goes silent proves nothing, since the network may be at fault.
async fn has_crashed(cx: &Shared, backend: &Backend, before: Incarnation) -> bool {
    for _ in 0..PROBES {
        let client = Pool::new(cx.source, 0).client().client;
        let url = format!("http://{}/oriolehoist/health", backend.address);
        match client.get(url).timeout(PROBE_TIMEOUT).send().await {
            Ok(answer) => return incarnation_of(answer.headers()).is_some_and(|now| now != before),
            Err(error) if error.is_connect() && !error.is_timeout() => return true,
            Err(_) => sleep(PROBE_PAUSE).await,
        }
    }
    false
}

/// Tells every daemon, and waits until each has heard or can't be reached: the caller may send
/// the same request to another one as soon as it has its answer.
async fn tell_peers(cx: &Arc<Shared>, notice: SuspectNotice) {
    let addresses = cx.peer_addresses.load_full();
    let told = addresses.iter().map(|&address| async move {
        let _ = cx.peers.ask::<()>(address, "/suspect", &notice, NOTICE_TIMEOUT).await;
    });
    futures::future::join_all(told).await;
}
