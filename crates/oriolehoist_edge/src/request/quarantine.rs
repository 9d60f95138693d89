//! Protection against requests that crash the server that runs them.
//!
//! A request that crashes a server is often sent again by its caller, or retried by a daemon.
//! Without a record that all daemons share, it would crash the servers of the service one by one.

use {
    crate::{
        connection::Backend,
        process::{Shared, lock},
        request::{forward::RoutedRequest, refusal::Refusal},
    },
    oriolehoist_admission::{Fingerprint, SendDecision},
    oriolehoist_log::{Event, report},
    oriolehoist_protocol::{Incarnation, SuspectNotice},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    std::{sync::Arc, time::Duration},
    tokio::{sync::MutexGuard, time::sleep},
};

/// How many times a server that broke a connection is probed with a new one. A crashed server
/// refuses all of them.
const CRASH_PROBES: u32 = 2;
/// The delay before each probe. An overloaded server refuses some connections too.
const PROBE_DELAY: Duration = Duration::from_millis(8);
/// The retry advice for a suspect that has to wait for another one.
const SUSPECT_RETRY_AFTER: Millis = Millis(150);

/// Admits a request to a server. A suspect is admitted only while no other suspect is running
/// there.
///
/// # Errors
///
/// Returns a refusal if the request is in quarantine, or is a suspect that would have to wait.
pub(super) fn admit<'a>(
    cx: &Shared,
    request: &RoutedRequest,
    backend: &'a Backend,
) -> Result<Option<MutexGuard<'a, ()>>, Refusal> {
    let decision = {
        let suspects = lock(&cx.crash_suspects);
        match suspects.is_empty() {
            true => return Ok(None),
            false => suspects.send_decision(cx.clock.now(), fingerprint(request)),
        }
    };
    match decision {
        SendDecision::Allow => Ok(None),
        SendDecision::Isolate => backend.suspect_lock.try_lock().map(Some).map_err(|_| {
            Refusal::new(RefusalKind::Overloaded, "another crash suspect is running on the server")
                .with_retry_after(SUSPECT_RETRY_AFTER)
        }),
        SendDecision::Quarantined(remaining) => Err(Refusal::new(
            RefusalKind::Quarantined,
            "servers have crashed while running this request",
        )
        .with_retry_after(remaining)),
    }
}

/// Removes a request from the crash suspects after a server has responded to it.
pub(super) fn clear(cx: &Shared, request: &RoutedRequest) {
    let mut suspects = lock(&cx.crash_suspects);
    if !suspects.is_empty() {
        suspects.on_answered(fingerprint(request));
    }
}

/// Checks whether a server that broke a connection has crashed. If so, records the request as a
/// suspect here and at all other daemons. The response to the caller does not wait for this.
pub(super) fn on_connection_lost(
    cx: &Arc<Shared>,
    request: &RoutedRequest,
    backend: &Arc<Backend>,
) {
    let (cx, backend) = (Arc::clone(cx), Arc::clone(backend));
    let (fingerprint, request_id) = (fingerprint(request), request.id_text().to_owned());
    tokio::spawn(async move {
        if !has_crashed(&backend).await {
            return;
        }
        let server = &backend.incarnation.id;
        report(Event::ServerCrashed, format_args!("server={server} request={request_id}"));
        // The notice names the crashed incarnation by its short id.
        let crashed = Incarnation(u64::from(backend.short_id));
        let notice = SuspectNotice { fingerprint: fingerprint.0, crashed };
        cx.record_suspect(notice);
        // Sending fails only if there is no receiver, which means that the process is exiting.
        let _ = cx.suspect_notices.send(notice);
    });
}

/// Returns whether a server refuses all new connections, which means that it has crashed. A single
/// broken connection proves nothing because the network may be at fault, and an overloaded server
/// refuses individual connections.
async fn has_crashed(backend: &Backend) -> bool {
    for _ in 0..CRASH_PROBES {
        sleep(PROBE_DELAY).await;
        if !backend.refuses_connections().await {
            return false;
        }
    }
    true
}

fn fingerprint(request: &RoutedRequest) -> Fingerprint {
    let target = (request.service.as_str(), request.method.as_str(), &request.target);
    Fingerprint::of(&(target, request.key, &request.body))
}
