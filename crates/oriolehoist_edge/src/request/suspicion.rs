//! Requests that crash the server that runs them.
//!
//! Answers a request that comes again and again and ends each server that runs it: without a
//! memory that all daemons share, retries take it through the whole service.

use {
    crate::{
        connection::Backend,
        process::{Shared, lock},
        request::{forward::Job, refuse::Refusal},
    },
    oriolehoist_admission::{Fingerprint, SendDecision},
    oriolehoist_log::{Event, report},
    oriolehoist_protocol::{Incarnation, SuspectNotice},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    std::{sync::Arc, time::Duration},
    tokio::{sync::MutexGuard, time::sleep},
};

/// How often a server that broke a connection is asked for a new one: a crashed one refuses all.
const PROBES: u32 = 2;
/// The pause before each attempt: a server that is full refuses some connections too.
const PROBE_PAUSE: Duration = Duration::from_millis(8);
/// When a suspect may be sent that has to wait for another one.
const SUSPECT_PAUSE: Millis = Millis(150);

/// Lets a request go to a server, a suspect only while no other suspect is there.
///
/// # Errors
///
/// Returns the refusal of a request in quarantine, or of a suspect that would have to wait.
pub(super) fn admit<'a>(
    cx: &Shared,
    job: &Job,
    backend: &'a Backend,
) -> Result<Option<MutexGuard<'a, ()>>, Refusal> {
    let judgement = {
        let suspects = lock(&cx.suspects);
        match suspects.is_empty() {
            true => return Ok(None),
            false => suspects.send_decision(cx.clock.now(), fingerprint(job)),
        }
    };
    match judgement {
        SendDecision::Allow => Ok(None),
        SendDecision::Isolate => backend.suspect_turn.try_lock().map(Some).map_err(|_| {
            Refusal::new(RefusalKind::Overloaded, "another suspect is at the server")
                .come_back(SUSPECT_PAUSE)
        }),
        SendDecision::Quarantined(left) => {
            Err(Refusal::new(RefusalKind::Quarantined, "servers crashed on this request")
                .come_back(left))
        }
    }
}

/// Clears a request that was answered.
pub(super) fn clear(cx: &Shared, job: &Job) {
    let mut suspects = lock(&cx.suspects);
    if !suspects.is_empty() {
        suspects.on_answered(fingerprint(job));
    }
}

/// Finds out whether a server that broke a connection has crashed, and if so suspects the request
/// here and at every other daemon. The request's own answer does not wait for it.
pub(super) fn on_broken(cx: &Arc<Shared>, job: &Job, backend: &Arc<Backend>) {
    let (cx, backend) = (Arc::clone(cx), Arc::clone(backend));
    let (fingerprint, request) = (fingerprint(job), job.id_text().to_owned());
    tokio::spawn(async move {
        if !has_crashed(&backend).await {
            return;
        }
        let server = &backend.life.id;
        report(Event::ServerCrashed, format_args!("server={server} request={request}"));
        let crashed = Incarnation(u64::from(backend.number));
        let notice = SuspectNotice { fingerprint: fingerprint.0, crashed };
        cx.note_suspect(notice);
        // Nobody listens while the process ends.
        let _ = cx.suspect_notices.send(notice);
    });
}

/// A connection that breaks proves nothing, since the network may be at fault, and a server that is
/// full refuses single connections; one that refuses all of them has ended.
async fn has_crashed(backend: &Backend) -> bool {
    for _ in 0..PROBES {
        sleep(PROBE_PAUSE).await;
        if !backend.refuses_connections().await {
            return false;
        }
    }
    true
}

fn fingerprint(job: &Job) -> Fingerprint {
    let target = (job.service.as_str(), job.method.as_str(), &job.target);
    Fingerprint::of(&(target, job.key, &job.body))
}
