//! What this daemon has seen of its paths to servers, by their addresses.

use {
    crate::{
        connection::Pool,
        process::{DaemonContext, Event, report},
        version::ServiceView,
    },
    oriolehoist_protocol::ServiceName,
    oriolehoist_reach::{Failure, PathChange, Paths, Peers, ReachSummary},
    oriolehoist_time::Millis,
    std::{
        error::Error,
        io::{self, ErrorKind},
        net::SocketAddr,
        sync::{Arc, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// How often lost paths are looked for.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// A response that was missing for less than this says nothing about the path.
const MIN_RESPONSE_WAIT: Millis = Millis(150);

impl DaemonContext {
    /// Returns what this daemon knows of its paths to servers.
    pub(crate) fn paths(&self) -> MutexGuard<'_, Paths<SocketAddr>> {
        self.paths.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what this daemon knows of the others as ways to servers.
    pub(crate) fn ways(&self) -> MutexGuard<'_, Peers<SocketAddr, SocketAddr>> {
        self.ways.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a server has answered a request, an order or a probe.
    pub(crate) fn on_server_answered(&self, server: SocketAddr) {
        let now = self.clock.now();
        self.update_paths(server, |paths| paths.on_answer(now, server));
    }

    /// Records what a call to a server that failed shows about the path.
    pub(crate) fn on_server_call_failed(
        &self,
        server: SocketAddr,
        tried_at: Millis,
        error: &reqwest::Error,
    ) {
        let now = self.clock.now();
        if let Some(failure) = failure_of(error, now.since(tried_at)) {
            self.update_paths(server, |paths| paths.on_failure(now, server, tried_at, failure));
        }
    }

    /// Updates the paths, and logs what that changes.
    fn update_paths(
        &self,
        server: SocketAddr,
        update: impl FnOnce(&mut Paths<SocketAddr>) -> Option<PathChange>,
    ) {
        let mut paths = self.paths();
        let was_cut_off = paths.is_cut_off();
        let change = update(&mut paths);
        let is_cut_off = paths.is_cut_off();
        drop(paths);
        match change {
            // One line for all paths says more than one for each.
            Some(PathChange::Lost) if !is_cut_off => {
                report(Event::PathLost, format_args!("server at {server}"));
            }
            Some(PathChange::Restored(after)) => {
                report(Event::PathRestored, format_args!("server at {server}, after {after}"));
            }
            _ => {}
        }
        if was_cut_off != is_cut_off {
            report(Event::CutOff, format_args!("cut_off={is_cut_off} server at {server}"));
        }
    }

    /// Returns how many servers of a service this daemon reaches.
    pub(crate) fn reach_of(&self, service: &ServiceName) -> ReachSummary {
        let Some(service) = self.service_view(service) else { return ReachSummary::default() };
        self.paths().summary(self.clock.now(), addresses(&service))
    }

    /// Returns the same as a report to other daemons.
    pub(crate) fn reach_report_of(&self, service: &ServiceName) -> ReachSummary {
        let Some(service) = self.service_view(service) else { return ReachSummary::default() };
        self.paths().report(self.clock.now(), addresses(&service))
    }

    /// Lets this daemon find out whether it reaches the servers of a service.
    pub(crate) fn ask_reach_of(&self, service: &ServiceName) {
        if let Some(service) = self.service_view(service) {
            self.paths().ask(self.clock.now(), addresses(&service));
        }
    }

    fn service_view(&self, service: &ServiceName) -> Option<Arc<ServiceView>> {
        self.view.load()?.services.get(service).cloned()
    }
}

fn addresses(service: &ServiceView) -> impl Iterator<Item = SocketAddr> {
    service.backends.values().map(|backend| backend.address)
}

/// Returns what a failed call that took this time shows about the path, if anything.
fn failure_of(error: &reqwest::Error, took: Millis) -> Option<Failure> {
    let is_refused = || {
        matches!(io_kind(error), Some(ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset))
    };
    match () {
        () if error.is_connect() && is_refused() => Some(Failure::Refused),
        () if error.is_connect() => Some(Failure::NoConnection),
        () if error.is_timeout() && took >= MIN_RESPONSE_WAIT => Some(Failure::NoResponse),
        // The connection broke before a response: the path, or the server.
        () if is_refused() => Some(Failure::Refused),
        () => None,
    }
}

/// Returns the kind of the I/O error that caused `error`, if one did.
pub(crate) fn io_kind(error: &(dyn Error + 'static)) -> Option<ErrorKind> {
    let mut source = Some(error);
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return Some(error.kind());
        }
        source = error.source();
    }
    None
}

/// Probes the servers that this daemon does not reach, until the process exits. Any answer shows that
/// the path works again.
pub(crate) async fn probe_lost_paths(cx: Arc<DaemonContext>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        let due = cx.paths().due_probes(cx.clock.now());
        for server in due {
            tokio::spawn(probe(Arc::clone(&cx), server));
        }
    }
}

async fn probe(cx: Arc<DaemonContext>, server: SocketAddr) {
    let tried_at = cx.clock.now();
    let client = Pool::new(cx.source, 0).client().client;
    let url = format!("http://{server}/oriolehoist/health");
    match client.get(url).timeout(PROBE_TIMEOUT).send().await {
        Ok(_) => cx.on_server_answered(server),
        Err(error) => cx.on_server_call_failed(server, tried_at, &error),
    }
}
