//! Protection against requests that crash the server that runs them.
//!
//! A request that crashes a server is often sent again by its caller, or retried by a daemon.
//! Without a record that all daemons share, it would crash the servers of the service one by one.

use {
    crate::{
        connection::{Backend, CallError},
        process::{Shared, lock},
        request::{forward::RoutedRequest, refusal::Refusal},
        wire::{DecodeError, decode},
    },
    bytes::Bytes,
    http::{HeaderMap, Method},
    oriolehoist_admission::{FingerprintBuilder, RequestFingerprints, SendDecision},
    oriolehoist_log::{Event, report},
    oriolehoist_port::HttpRequest,
    oriolehoist_protocol::{Incarnation, SIGHT_PATH, ServerSight, SuspectNotice},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    std::{io::ErrorKind, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::MutexGuard,
        time::{sleep, timeout},
    },
};

/// How many times a server that broke a connection is probed with a new one. A crashed server
/// refuses all of them.
const CRASH_PROBES: u32 = 2;
/// The delay before each probe. An overloaded server refuses some connections too.
const PROBE_DELAY: Duration = Duration::from_millis(8);
/// The retry advice for a suspect that has to wait for another one.
const SUSPECT_RETRY_AFTER: Millis = Millis(150);
/// How many other daemons are asked whether a server has crashed.
const CRASH_WITNESSES: usize = 2;
/// The maximum wait for what another daemon sees of a server.
const WITNESS_TIMEOUT: Millis = Millis(700);
/// To how many other servers a daemon connects that a server refuses, to see whether it is cut off.
const CONTROL_PROBES: usize = 3;

/// A request that was admitted to a server. If it is a suspect, no other one is admitted there until this is
/// dropped.
pub(super) struct Admitted<'a> {
    cx: &'a Shared,
    request: RequestFingerprints,
    may_have_run: bool,
    suspect_guard: Option<MutexGuard<'a, ()>>,
}

impl Admitted<'_> {
    /// Sets whether the server may run the request. If not, one on trial may be sent again at once.
    pub(super) fn set_may_have_run(&mut self, may_have_run: bool) {
        self.may_have_run = may_have_run;
    }
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        if !self.may_have_run {
            lock(&self.cx.crash_suspects).on_not_sent(self.request);
        }
    }
}

/// Admits a request to a server. A suspect is admitted only while no other suspect is running
/// there.
///
/// # Errors
///
/// Returns a refusal if the request is in quarantine, or is a suspect that would have to wait.
pub(super) fn admit<'a>(
    cx: &'a Shared,
    request: &RoutedRequest,
    backend: &'a Backend,
) -> Result<Option<Admitted<'a>>, Refusal> {
    let Some(fingerprints) = fingerprints_if_needed(cx, request) else { return Ok(None) };
    let decision = lock(&cx.crash_suspects).admit_for_caller(cx.clock.now(), fingerprints);
    if let SendDecision::Quarantined(remaining) = decision {
        return Err(quarantined(remaining));
    }
    let mut admitted =
        Admitted { cx, request: fingerprints, may_have_run: false, suspect_guard: None };
    if decision == SendDecision::Isolate {
        let guard = backend.suspect_lock.try_lock().map_err(|_| {
            Refusal::new(RefusalKind::Overloaded, "another crash suspect is running on the server")
                .with_retry_after(SUSPECT_RETRY_AFTER)
        });
        admitted.suspect_guard = Some(guard?);
    }
    Ok(Some(admitted))
}

/// Checks whether a request is in quarantine. Other than [`admit`], this does not keep other suspects from
/// a server.
///
/// # Errors
///
/// Returns the refusal of a request in quarantine.
pub(super) fn check(cx: &Shared, request: &RoutedRequest) -> Result<(), Refusal> {
    match send_decision(cx, request) {
        SendDecision::Allow | SendDecision::Isolate => Ok(()),
        SendDecision::Quarantined(remaining) => Err(quarantined(remaining)),
    }
}

fn send_decision(cx: &Shared, request: &RoutedRequest) -> SendDecision {
    match fingerprints_if_needed(cx, request) {
        Some(fingerprints) => {
            lock(&cx.crash_suspects).send_decision_for_caller(cx.clock.now(), fingerprints)
        }
        None => SendDecision::Allow,
    }
}

/// Returns the fingerprints of a request, or `None` if there are no suspects.
fn fingerprints_if_needed(cx: &Shared, request: &RoutedRequest) -> Option<RequestFingerprints> {
    // Not computed under the lock, as the body may be large.
    let is_needed = !lock(&cx.crash_suspects).is_empty();
    is_needed.then(|| fingerprints(cx, request))
}

fn quarantined(remaining: Millis) -> Refusal {
    let reason = "servers have crashed while running this request";
    Refusal::new(RefusalKind::Quarantined, reason).with_retry_after(remaining)
}

/// Removes a request from the crash suspects after a server has responded to it.
pub(super) fn clear(cx: &Shared, request: &RoutedRequest) {
    if let Some(fingerprints) = fingerprints_if_needed(cx, request) {
        lock(&cx.crash_suspects).on_caller_answered(cx.clock.now(), fingerprints);
    }
}

/// Checks whether a server that broke a connection has crashed. If so, records the request as a
/// suspect here and at all other daemons. The response to the caller does not wait for this, but a suspect
/// is not repeated before.
pub(super) async fn on_connection_lost(
    cx: &Arc<Shared>,
    request: &RoutedRequest,
    backend: &Arc<Backend>,
) {
    let (cx, backend) = (Arc::clone(cx), Arc::clone(backend));
    let (fingerprints, request_id) = (fingerprints(&cx, request), request.id_text().to_owned());
    let broken_at = cx.clock.now();
    let is_suspect = [fingerprints.of_caller, fingerprints.any_caller].iter().any(|request| {
        lock(&cx.crash_suspects).send_decision(broken_at, *request) != SendDecision::Allow
    });
    let is_suspect_repeated = request.route.idempotent && is_suspect;
    let time_left = request.deadline.since(broken_at);
    let check = tokio::spawn(async move {
        if !refuses_probes(&backend).await || !is_confirmed(&cx, &backend, broken_at).await {
            return;
        }
        let server = &backend.incarnation.id;
        report(Event::ServerCrashed, format_args!("server={server} request={request_id}"));
        // The notice names the crashed incarnation by its short id.
        let crashed = Incarnation(u64::from(backend.short_id));
        let counted = lock(&cx.crash_suspects).counted_requests(fingerprints);
        for fingerprint in counted {
            let notice = SuspectNotice { fingerprint: fingerprint.0, crashed };
            cx.record_suspect(notice, "crash");
            // Sending fails only if there is no receiver, which means that the process is exiting.
            let _ = cx.suspect_notices.send(notice);
        }
    });
    if is_suspect_repeated {
        // Without a result in time, what is known decides.
        let _ = timeout(Duration::from(time_left), check).await;
    }
}

/// Returns whether a server refuses all new connections. A single broken connection proves nothing
/// because the network may be at fault, and an overloaded server refuses individual connections.
async fn refuses_probes(backend: &Backend) -> bool {
    for _ in 0..CRASH_PROBES {
        sleep(PROBE_DELAY).await;
        match backend.connects().await {
            Err(error) if is_refused(&error) => {}
            _ => return false,
        }
    }
    true
}

/// Returns whether a server that refuses this daemon has crashed. A network that resets connections
/// looks the same from here, so other daemons are asked. If none of them can tell, it counts that
/// another server has answered since the connection broke.
async fn is_confirmed(cx: &Shared, backend: &Backend, broken_at: Millis) -> bool {
    let mut witnesses = Vec::new();
    if let Some(view) = cx.view.load() {
        let (now, known) = (cx.clock.now(), &view.handover_peers);
        let mut rng = fastrand::Rng::new();
        for _ in 0..CRASH_WITNESSES {
            witnesses.extend(cx.peers().choose(now, backend.short_id, known, &witnesses, &mut rng));
        }
    }
    let asked = witnesses.into_iter().map(|peer| ask_witness(cx, peer, backend));
    let seen = futures::future::join_all(asked).await;
    match () {
        () if seen.contains(&ServerSight::Accepts) => false,
        () if seen.contains(&ServerSight::Refuses) => true,
        () => cx.paths().any_answered_since(broken_at),
    }
}

/// Asks another daemon what it sees of a server.
async fn ask_witness(cx: &Shared, peer: SocketAddr, backend: &Backend) -> ServerSight {
    let request = HttpRequest {
        method: Method::POST,
        path: SIGHT_PATH.into(),
        headers: HeaderMap::new(),
        body: Bytes::copy_from_slice(backend.incarnation.id.as_bytes()),
    };
    let asking = async {
        let connection = cx.handover_client.acquire(peer).await?;
        cx.handover_client.send(connection, peer, &request, WITNESS_TIMEOUT).await
    };
    let response = timeout(Duration::from(WITNESS_TIMEOUT), asking).await;
    let response = response.unwrap_or(Err(CallError::TimedOut)).ok();
    let sight = response.filter(|response| response.status == 200).and_then(|response| {
        let log_malformed = |error: &DecodeError| {
            report(Event::PeerMalformed, format_args!("from={peer} error=\"{error}\""));
        };
        decode(&response.body).inspect_err(log_malformed).ok()
    });
    sight.unwrap_or(ServerSight::Unknown)
}

/// Returns what this daemon sees of a server that another one takes for crashed.
pub(super) async fn server_sight(cx: &Shared, server: &str) -> ServerSight {
    let backend = cx.view.load().and_then(|view| view.backends.get(server).cloned());
    let Some(backend) = backend else { return ServerSight::Unknown };
    match backend.connects().await {
        Ok(()) => ServerSight::Accepts,
        Err(error) if is_refused(&error) && reaches_another(cx, server).await => {
            ServerSight::Refuses
        }
        Err(_) => ServerSight::Unknown,
    }
}

/// Returns whether this daemon can open a connection to a server other than this one.
async fn reaches_another(cx: &Shared, server: &str) -> bool {
    let Some(view) = cx.view.load() else { return false };
    let others = view.backends.values().filter(|backend| backend.incarnation.id != server);
    let mut others: Vec<_> = others.collect();
    fastrand::shuffle(&mut others);
    let attempts = others.into_iter().take(CONTROL_PROBES).map(|backend| backend.connects());
    futures::future::join_all(attempts).await.iter().any(Result::is_ok)
}

fn is_refused(error: &CallError) -> bool {
    matches!(error, CallError::Connect(error) if error.kind() == ErrorKind::ConnectionRefused)
}

fn fingerprints(cx: &Shared, request: &RoutedRequest) -> RequestFingerprints {
    let names = cx.platform.header_names();
    let differ = [&names.request_id, &names.deadline, &names.expected_server, &names.key];
    let headers = request.headers.iter().filter(|(name, _)| !differ.contains(name));
    let headers = headers.map(|(name, value)| (name.as_str(), value.as_bytes()));
    let without_caller = FingerprintBuilder::default()
        .text(&request.service)
        .text(request.method.as_str())
        .text(&request.target)
        .number(request.key)
        .bytes(&request.body);
    RequestFingerprints::new(without_caller, headers)
}
