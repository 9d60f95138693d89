//! What this daemon has seen of its paths to servers.

use {
    crate::{
        connection::{Backend, CallError},
        process::{Shared, lock},
        request::{Absence, MISDIRECTED, observe_statements},
        version::View,
    },
    oriolehoist_log::{Event, report},
    oriolehoist_reach::{Failure, PathChange, Paths, Peers, ReachSummary},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{
        io::ErrorKind,
        net::SocketAddr,
        sync::{Arc, MutexGuard},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// How often lost paths are looked for.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// A connection that could not be opened in less than this says nothing about the path.
const MIN_CONNECT_WAIT: Millis = Millis(150);

impl Shared {
    /// Returns what this daemon knows of its paths to servers.
    pub(crate) fn paths(&self) -> MutexGuard<'_, Paths<u32>> {
        lock(&self.paths)
    }

    /// Returns what this daemon knows of the others as ways to servers.
    pub(crate) fn peers(&self) -> MutexGuard<'_, Peers<SocketAddr, u32>> {
        lock(&self.peers)
    }

    /// Records that a server has answered a request, an order or a probe.
    pub(crate) fn on_server_answered(&self, server: &Backend) {
        let now = self.clock.now();
        self.update_paths(server, |paths| paths.on_answer(now, server.short_id));
        server.on_reached(now);
    }

    /// Records that an attempt to reach a server has failed, which was begun at `tried_at`.
    /// Returns what that changes.
    pub(crate) fn on_server_failed(
        &self,
        server: &Backend,
        tried_at: Millis,
        failure: Failure,
    ) -> Option<PathChange> {
        let now = self.clock.now();
        self.update_paths(server, |paths| paths.on_failure(now, server.short_id, tried_at, failure))
    }

    /// Updates the paths, and logs what that changes.
    fn update_paths(
        &self,
        server: &Backend,
        update: impl FnOnce(&mut Paths<u32>) -> Option<PathChange>,
    ) -> Option<PathChange> {
        let mut paths = self.paths();
        let was_cut_off = paths.is_cut_off();
        let change = update(&mut paths);
        let is_cut_off = paths.is_cut_off();
        drop(paths);
        let id = &server.incarnation.id;
        match change {
            // One line for all paths says more than one for each.
            Some(PathChange::Lost) if !is_cut_off => {
                report(Event::PathLost, format_args!("server={id} address={}", server.address));
            }
            Some(PathChange::Restored(after)) => {
                report(Event::PathRestored, format_args!("server={id} lost_ms={}", after.0));
            }
            _ => {}
        }
        if was_cut_off != is_cut_off {
            report(Event::CutOff, format_args!("cut_off={is_cut_off} server={id}"));
        }
        change
    }

    /// Returns how many of the servers that hold keys this daemon reaches.
    pub(crate) fn reach_of_key_holders(&self) -> ReachSummary {
        let Some(view) = self.view.load() else { return ReachSummary::default() };
        self.paths().summary(self.clock.now(), key_holders(&view))
    }

    /// Returns the short ids of some servers that hold keys and that this daemon does not reach.
    pub(crate) fn lost_key_holders(&self) -> Vec<u32> {
        let Some(view) = self.view.load() else { return Vec::new() };
        self.paths().lost_among(key_holders(&view))
    }

    /// Records what a call to a server that failed shows about the path.
    pub(crate) fn on_server_call_failed(
        &self,
        server: &Backend,
        tried_at: Millis,
        error: &CallError,
    ) {
        let now = self.clock.now();
        if let Some(failure) = failure_of(error, now.since(tried_at)) {
            let path = self.on_server_failed(server, tried_at, failure);
            let is_refused = matches!(
                error, CallError::Connect(error) if error.kind() == ErrorKind::ConnectionRefused
            );
            // A reset connection alone may be that of a full server.
            let is_unreachable =
                is_refused || failure == Failure::NoConnection || path == Some(PathChange::Lost);
            if is_unreachable && self.is_in_traffic() {
                let is_cut_off = self.paths().is_cut_off();
                server.on_unreachable(now, is_refused && !is_cut_off);
            }
        }
    }
}

/// Returns the short ids of the servers that hold keys.
fn key_holders(view: &View) -> impl Iterator<Item = u32> {
    let is_sharded =
        |service: &SmolStr| view.config.services.get(service).is_some_and(|spec| spec.sharded);
    let holders = view.services.iter().filter(move |(service, _)| is_sharded(service));
    holders.flat_map(|(_, servers)| servers).map(|server| server.short_id)
}

/// Probes the servers that this daemon does not reach, until the process exits. Any answer shows that
/// the path works again.
pub(super) async fn probe_lost_paths(cx: Arc<Shared>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        let due = cx.paths().due_probes(cx.clock.now());
        let Some(view) = cx.view.load().filter(|_| !due.is_empty()) else { continue };
        for server in due {
            if let Some(backend) = view.backends_by_short_id.get(&server)
                && !view.is_evacuated(&backend.zone)
            {
                tokio::spawn(probe(Arc::clone(&cx), Arc::clone(backend), Arc::clone(&view)));
            }
        }
    }
}

pub(super) async fn probe(cx: Arc<Shared>, backend: Arc<Backend>, view: Arc<View>) {
    let tried_at = cx.clock.now();
    let spec = view.config.services.get(&backend.service);
    let path = spec.map_or("/", |spec| spec.health_path.as_str());
    let probing = timeout(PROBE_TIMEOUT, backend.probe(path));
    match probing.await.unwrap_or(Err(CallError::TimedOut)) {
        Ok(response) => {
            // Another process may have the address.
            let name = cx.platform.decode_peer_name(&response.headers);
            let is_other = name.is_some_and(|name| name != backend.incarnation.id);
            if !is_other && response.status != MISDIRECTED {
                cx.on_server_answered(&backend);
                let absence = Absence::SaysNothing;
                observe_statements(&cx, &backend, tried_at, &response, absence, "probe");
            }
        }
        Err(error) => cx.on_server_call_failed(&backend, tried_at, &error),
    }
}

/// Returns what a failed call that took this time shows about the path, if anything.
fn failure_of(error: &CallError, took: Millis) -> Option<Failure> {
    match error {
        CallError::Connect(error) => match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => Some(Failure::Refused),
            _ => Some(Failure::NoConnection),
        },
        // Sent data was not acknowledged.
        CallError::Io(error) if error.kind() == ErrorKind::TimedOut => Some(Failure::NoConnection),
        CallError::TimedOut if took >= MIN_CONNECT_WAIT => Some(Failure::NoResponse),
        _ => None,
    }
}
