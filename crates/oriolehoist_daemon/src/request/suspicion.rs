//! Requests that crash the server that runs them.

use {
    crate::{
        connection::Backend,
        process::{Event, Shared, report},
        request::{parse::Parsed, refuse::Refusal},
    },
    oriolehoist_admission::{Fingerprint, Judgement},
    oriolehoist_protocol::{INCARNATION, SuspectNotice},
    oriolehoist_refusal::Kind,
    oriolehoist_time::Millis,
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        sync::Arc,
        time::Duration,
    },
};

/// The longest wait for a sign of life from a server that broke a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest wait for a peer to take a notice.
const NOTICE_TIMEOUT: Millis = Millis(300);

/// Returns the fingerprint of a request.
pub(crate) fn fingerprint(parsed: &Parsed, body: &[u8]) -> Fingerprint {
    // The standard hasher without a random seed gives the same value on every daemon.
    let mut hasher = DefaultHasher::new();
    (parsed.service.name.as_str(), parsed.method.as_str(), &parsed.path).hash(&mut hasher);
    (&parsed.key, body).hash(&mut hasher);
    Fingerprint(hasher.finish())
}

/// Judges a request before it is sent.
///
/// # Errors
///
/// Returns the refusal of a request in quarantine.
pub(crate) fn judge(cx: &Shared, fingerprint: Fingerprint) -> Result<Judgement, Refusal> {
    let suspects = cx.suspects.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    match suspects.judge(cx.clock.now(), fingerprint) {
        Judgement::Quarantined(left) => {
            let refusal = Refusal::new(Kind::Quarantined, "two servers crashed on this request");
            Err(refusal.come_back(left))
        }
        judgement => Ok(judgement),
    }
}

/// Clears a request that was answered.
pub(crate) fn clear(cx: &Shared, fingerprint: Fingerprint) {
    let mut suspects = cx.suspects.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    if !suspects.is_empty() {
        suspects.on_answered(fingerprint);
    }
}

/// Finds out whether a server that broke a connection has crashed, and if so suspects the
/// request here and at every other daemon.
pub(crate) async fn on_broken(cx: &Arc<Shared>, backend: &Backend, fingerprint: Fingerprint) {
    if !has_crashed(backend).await {
        return;
    }
    let now = cx.clock.now();
    let crashes = {
        let mut suspects = cx.suspects.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        suspects.on_crash(now, &[fingerprint])
    };
    report(Event::ServerCrashed, format_args!("{}", backend.name));
    for (fingerprint, crashes) in crashes {
        tell_peers(cx, SuspectNotice { fingerprint: fingerprint.0, crashes }).await;
    }
}

/// Asks the server on a new connection: a crashed one does not answer, or has a new incarnation.
async fn has_crashed(backend: &Backend) -> bool {
    let before = backend.incarnation();
    let probe = reqwest::Client::builder().no_proxy().timeout(PROBE_TIMEOUT).build();
    let Ok(client) = probe else { return false };
    let url = format!("http://{}/oriolehoist/health", backend.address);
    match client.get(url).send().await {
        Ok(answer) => answer
            .headers()
            .get(INCARNATION)
            .and_then(|value| value.to_str().ok()?.parse::<u64>().ok())
            .is_some_and(|now| before.0 != 0 && now != before.0),
        Err(_) => true,
    }
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
