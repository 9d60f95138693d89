//! What this daemon does about servers that are cold, or may be.

use {
    crate::{
        connection::Backend,
        process::{Shared, reach::probe},
        version::View,
    },
    oriolehoist_admission::MAX_PERMIT_VALIDITY,
    oriolehoist_log::{Event, report},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// How often the servers are looked at.
const INTERVAL: Duration = Duration::from_millis(100);
/// The rank of the most urgent requests.
const MOST_URGENT: u32 = 0;

/// Logs which servers become cold and warm, and asks some of those that are only presumed to be cold,
/// until the process exits.
pub(super) async fn watch_warm_ups(cx: Arc<Shared>) {
    loop {
        sleep(INTERVAL).await;
        let Some(view) = cx.view.load() else { continue };
        let mut cold = 0;
        for backend in view.backends.values() {
            cold += usize::from(log_change(&cx, backend));
            if is_check_due(&cx, backend, view.fleet_size) {
                tokio::spawn(check(Arc::clone(&cx), Arc::clone(backend), Arc::clone(&view)));
            }
        }
        cx.metrics.set_cold_servers(cold);
    }
}

/// Logs whether a server has become cold or warm. Returns whether it is cold.
fn log_change(cx: &Shared, backend: &Backend) -> bool {
    let now = cx.clock.now();
    let mut availability = backend.availability();
    let cold_until = availability.warm_up.cold_until(now);
    let presumed = availability.warm_up.is_presumed(now);
    let (change, limit) = (availability.warm_up.take_change(now), availability.limit(now));
    drop(availability);
    let server = &backend.incarnation.id;
    match (change, cold_until) {
        (Some(_), Some(until)) => {
            let (left, limit) = (until.since(now).0, limit.unwrap_or_default());
            let text =
                format_args!("server={server} left_ms={left} presumed={presumed} limit={limit:.1}");
            report(Event::ServerCold, text);
        }
        (Some(_), None) => report(Event::ServerWarm, format_args!("server={server}")),
        (None, _) => {}
    }
    cold_until.is_some()
}

/// Asks a server whether it is cold, as a cold one may count health checks as requests. Without a permit, another
/// daemon will ask.
async fn check(cx: Arc<Shared>, backend: Arc<Backend>, view: Arc<View>) {
    if cx.obtain_permit(&backend, MOST_URGENT, MAX_PERMIT_VALIDITY).await.is_ok() {
        probe(cx, backend, view).await;
    }
}

/// Returns whether a health check is due that tells whether a server is cold.
fn is_check_due(cx: &Shared, backend: &Backend, daemons: Option<usize>) -> bool {
    let warm_up = &mut backend.availability().warm_up;
    warm_up.take_due_check(cx.clock.now(), daemons, fastrand::f64())
}
