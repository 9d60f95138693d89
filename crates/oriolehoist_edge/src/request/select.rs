//! Server selection.

use {
    crate::{
        connection::Backend,
        process::Shared,
        request::{
            forward::RoutedRequest,
            load_probe::{uses_load_probes, work_factor},
            rate_limit,
            refusal::Refusal,
        },
    },
    oriolehoist_admission::{Sample, ServerOption},
    oriolehoist_forwarding::MIN_RETRY_AFTER,
    oriolehoist_keyspace::Holder,
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::sync::Arc,
};

/// How long before the end of its drain period a server stops getting requests. It covers the time
/// that the news of its last state was on its way, 500 ms at most, and the sending of the request.
pub(crate) const DRAIN_MARGIN: Millis = Millis(900);

/// When a request may come back if its server has left and no other one has its key yet.
const LEFT_SERVER_RETRY: Millis = Millis(500);

/// When a request may come back whose key has not left an evacuated zone yet.
const EVACUATED_KEY_RETRY: Millis = Millis(500);
/// When a request may come back if all servers of its service are in evacuated zones. It is not known when
/// operators end that.
const EVACUATED_SERVICE_RETRY: Millis = Millis(1000);

/// The result of selecting a server.
pub(crate) enum Selection {
    Server(Arc<Backend>),
    /// The best of these, once the load of that one is known.
    Any(AnyServer),
    /// A later view will have the key's new owner. The reason is for operators.
    Wait(&'static str),
    Refuse(Refusal),
}

/// The servers that are compared for a request without a key.
pub(crate) struct AnyServer {
    pub(super) servers: Vec<Arc<Backend>>,
    /// Has the positions in that list as indices.
    pub(super) sample: Sample,
}

/// Selects a server. For a service that is not sharded, servers in `tried` are avoided if there are
/// others, and those in `saturated` are left out.
pub(crate) fn select(
    cx: &Shared,
    request: &RoutedRequest,
    tried: &[SmolStr],
    saturated: &[SmolStr],
) -> Selection {
    match request.key {
        Some(key) => select_owner(cx, request, key),
        None => select_any_server(cx, request, tried, saturated),
    }
}

/// Selects the owner of a key. This has no effects.
pub(super) fn select_owner(cx: &Shared, request: &RoutedRequest, key: u16) -> Selection {
    let now = cx.clock.now();
    let holder =
        request.view.key_routes.get(&request.service).and_then(|routes| routes.holder(key));
    let incarnation = match holder {
        None => return Selection::Refuse(Refusal::new(RefusalKind::NoOwner, "no owner assigned")),
        // The key can't move anywhere, so there is nothing to wait for.
        Some(Holder::Moving) if is_service_evacuated(request, now) => {
            return Selection::Refuse(evacuated(request, now));
        }
        Some(Holder::Moving) => return Selection::Wait("the key is being moved"),
        Some(Holder::Lost(after)) => {
            let refusal =
                Refusal::new(RefusalKind::OwnerLost, "contact with the key's owner was lost");
            return Selection::Refuse(refusal.with_retry_after(*after));
        }
        Some(Holder::Server(incarnation)) => incarnation,
    };
    let is_past_drain_period = |backend: &Backend| {
        let limit = cx.bootstrap.bounds.drain_period.since(DRAIN_MARGIN);
        backend.draining_for(now).is_some_and(|draining| draining > limit)
    };
    match request.view.backends.get(&incarnation.id) {
        Some(backend) if backend.incarnation != *incarnation => {
            Selection::Wait("the key's owner has been restarted")
        }
        Some(backend) if is_past_drain_period(backend) => {
            Selection::Wait("the key's owner will soon stop")
        }
        Some(backend) if backend.admits_requests() => Selection::Server(Arc::clone(backend)),
        Some(backend) if backend.is_evacuated(now) => Selection::Refuse(evacuated(request, now)),
        Some(backend) => Selection::Refuse(unwanted(backend, now)),
        None => Selection::Refuse(Refusal::new(
            RefusalKind::OwnerLost,
            "the key's owner is not registered",
        )),
    }
}

/// Returns whether no server of the request's service may get requests because all are in evacuated zones.
fn is_service_evacuated(request: &RoutedRequest, now: Millis) -> bool {
    let servers = request.view.services.get(&request.service);
    servers.is_some_and(|servers| servers.iter().all(|server| server.is_evacuated(now)))
}

/// Returns the refusal of a request that could only go to an evacuated zone.
fn evacuated(request: &RoutedRequest, now: Millis) -> Refusal {
    let (reason, after) = match is_service_evacuated(request, now) {
        true => ("all servers of the service are in evacuated zones", EVACUATED_SERVICE_RETRY),
        false => ("the key has not left an evacuated zone yet", EVACUATED_KEY_RETRY),
    };
    Refusal::new(RefusalKind::NoOwner, reason).with_retry_after(after)
}

/// Returns the refusal of a request to a server that has said that it wants none.
fn unwanted(server: &Backend, now: Millis) -> Refusal {
    let pause = server.availability().paused_until().since(now);
    match pause {
        Millis::ZERO => Refusal::new(RefusalKind::NoOwner, "the server has said that it leaves")
            .with_retry_after(LEFT_SERVER_RETRY),
        _ => Refusal::new(RefusalKind::Overloaded, "the server wants no requests for some time")
            .with_expected_wait(pause)
            .with_retry_after(pause),
    }
}

/// A server that may get a request.
pub(super) struct Candidate<'a> {
    pub(super) cx: &'a Shared,
    pub(super) request: &'a RoutedRequest,
    pub(super) server: &'a Arc<Backend>,
    pub(super) now: Millis,
}

impl ServerOption for Candidate<'_> {
    fn expected_latency(&self) -> Millis {
        let work = work_factor(self.cx, self.request, self.server);
        self.server.load_estimator().expected_latency_of(self.now, work)
    }

    fn is_local(&self) -> bool {
        self.server.zone == self.cx.bootstrap.zone
    }

    fn is_untried(&self) -> bool {
        self.server.load_estimator().is_untried()
    }
}

fn select_any_server(
    cx: &Shared,
    request: &RoutedRequest,
    tried: &[SmolStr],
    saturated: &[SmolStr],
) -> Selection {
    let rate_wait = |server: &Backend| rate_limit::wait(cx, request, server);
    let candidates = match candidates(cx, request, tried, saturated, rate_wait) {
        Ok(candidates) => candidates,
        Err(NoCandidate { refusal, is_cold }) => {
            if is_cold {
                cx.metrics.on_warm_up_limit("refused");
            }
            return Selection::Refuse(refusal);
        }
    };
    let daemons = request.view.fleet_size.unwrap_or(usize::MAX);
    let sample = Sample::draw(&candidates, daemons, &mut fastrand::Rng::new());
    match sample.best(&candidates) {
        Some(_) if uses_load_probes(cx) => {
            let (compared, sample) = sample.into_compared();
            let servers = compared.into_iter().map(|index| Arc::clone(candidates[index].server));
            Selection::Any(AnyServer { servers: servers.collect(), sample })
        }
        Some(chosen) => Selection::Server(Arc::clone(candidates[chosen].server)),
        None => Selection::Refuse(all_at_connection_limit()),
    }
}

/// Why no server may get a request without a key.
pub(super) struct NoCandidate {
    pub(super) refusal: Refusal,
    /// Whether the server that takes a request first is warming up.
    is_cold: bool,
}

impl From<Refusal> for NoCandidate {
    fn from(refusal: Refusal) -> NoCandidate {
        NoCandidate { refusal, is_cold: false }
    }
}

/// Returns the servers among which one is chosen for a request without a key. They are empty if all have
/// reached the connection limit. `rate_wait` returns how long a request has to wait until a server takes
/// it. This has no effects, apart from those of `rate_wait`.
///
/// # Errors
///
/// Returns the refusal of a request that no server may get.
pub(super) fn candidates<'a>(
    cx: &'a Shared,
    request: &'a RoutedRequest,
    tried: &[SmolStr],
    saturated: &[SmolStr],
    rate_wait: impl Fn(&Backend) -> Millis,
) -> Result<Vec<Candidate<'a>>, NoCandidate> {
    let now = cx.clock.now();
    let Some(servers) = request.view.services.get(&request.service) else {
        return Err(Refusal::new(RefusalKind::Unreachable, "the service has no servers").into());
    };
    let present = || servers.iter().filter(|server| !server.is_address_reused(now));
    if present().next().is_none() {
        let refusal = Refusal::new(
            RefusalKind::Unreachable,
            "other processes have the addresses of the service's servers",
        );
        return Err(refusal.with_retry_after(MIN_RETRY_AFTER).into());
    }
    let admits = |server: &Backend| {
        !saturated.contains(&server.incarnation.id)
            && server.admits_requests()
            && rate_wait(server) == Millis::ZERO
    };
    let is_leaving = |server: &Backend| server.availability().leaving_for(now).is_some();
    let mut admitting: Vec<&Arc<Backend>> = present().filter(|server| admits(server)).collect();
    // A server that leaves is used only if there is no other one.
    if admitting.iter().any(|server| !is_leaving(server)) {
        admitting.retain(|server| !is_leaving(server));
    }
    if admitting.is_empty() {
        let earliest = present()
            .min_by_key(|server| (server.is_evacuated(now), is_leaving(server), rate_wait(server)));
        let is_cold = earliest.is_some_and(|server| {
            server.admits_requests() && server.availability().warm_up.cold_until(now).is_some()
        });
        let refusal = match earliest {
            Some(server) if server.is_evacuated(now) => evacuated(request, now),
            Some(server) if !server.admits_requests() => unwanted(server, now),
            Some(server) => rate_limit::refusal(rate_wait(server), is_cold),
            None => rate_limit::refusal(Millis::ZERO, false),
        };
        let wait = refusal.retry_after.unwrap_or_default().max(MIN_RETRY_AFTER);
        return Err(NoCandidate { refusal: refusal.with_retry_after(wait), is_cold });
    }
    let has_untried = admitting.iter().any(|server| !tried.contains(&server.incarnation.id));
    let mut candidates: Vec<&Arc<Backend>> = admitting
        .into_iter()
        .filter(|server| !has_untried || !tried.contains(&server.incarnation.id))
        .filter(|server| !server.is_at_connection_limit())
        .collect();
    // By way of another daemon only if too few servers are reached that have room.
    let paths = cx.paths();
    if !paths.all_work() {
        let is_lost = |server: &&Arc<Backend>| paths.is_lost(server.short_id);
        let lost = candidates.iter().filter(|server| is_lost(server)).count();
        let reached = candidates.len() - lost;
        // A request that was handed over is not handed on.
        if reached >= lost || (reached > 0 && request.is_handed_over) {
            candidates.retain(|server| !is_lost(server));
        }
        let (peers, count) = (cx.peers(), request.view.handover_peers.len());
        let is_reached = |server: &&Arc<Backend>| {
            !is_lost(server) || !peers.is_unreachable(now, server.short_id, count)
        };
        if candidates.iter().any(is_reached) {
            candidates.retain(is_reached);
        }
    }
    drop(paths);
    let candidate = |server| Candidate { cx, request, server, now };
    Ok(candidates.into_iter().map(candidate).collect())
}

/// Returns the refusal of a request if no server may get another connection.
pub(super) fn all_at_connection_limit() -> Refusal {
    let reason = "all servers have reached this daemon's connection limit";
    Refusal::new(RefusalKind::Overloaded, reason).with_retry_after(MIN_RETRY_AFTER)
}
