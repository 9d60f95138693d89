//! The servers that a request may be sent to, and what excludes each of them.

use {
    crate::{
        connection::Backend,
        process::Shared,
        request::{
            explain::step::eligible,
            forward::{RequestLife, RoutedRequest, expected_load, terms},
            refusal::Refusal,
            select::{Selection, select_owner},
        },
    },
    oriolehoist_explain::{Exclusion, ExplainedServer, Owner},
    oriolehoist_forwarding::{ExpectedLoad, Gates, PlatformNext},
    oriolehoist_keyspace::Holder,
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::sync::Arc,
};

/// Gates of which only the load counts.
struct LoadGate(ExpectedLoad);

impl Gates for LoadGate {
    fn count(&mut self) {}

    fn expected_load(&mut self) -> ExpectedLoad {
        self.0
    }

    fn pass_quarantine(&mut self) -> Result<(), Refusal> {
        Ok(())
    }

    fn take_from_rate_limit(&mut self) -> Result<(), Refusal> {
        Ok(())
    }

    fn try_spend_retry(&mut self) -> bool {
        true
    }
}

/// Returns who owns a key of the request's service.
pub(super) fn owner_of(request: &RoutedRequest, key: u16) -> Owner {
    match holder_of(request, key) {
        None => Owner::Unassigned,
        Some(Holder::Moving) => Owner::Moving,
        Some(Holder::Lost(left)) => Owner::Lost { left_ms: *left },
        Some(Holder::Server(incarnation)) => Owner::Server { server: incarnation.id.clone() },
    }
}

fn holder_of(request: &RoutedRequest, key: u16) -> Option<&Holder> {
    request.view.key_routes.get(&request.service).and_then(|routes| routes.holder(key))
}

/// Explains the owner of a request with a key, or all servers of the service. Those that nothing excludes
/// come first, by their expected latency.
pub(super) fn explain_servers(cx: &Shared, request: &RoutedRequest) -> Vec<ExplainedServer> {
    let backends = &request.view.backends;
    let (servers, eligible): (Vec<&Arc<Backend>>, Vec<SmolStr>) = match request.key {
        Some(key) => {
            let owner = match holder_of(request, key) {
                Some(Holder::Server(incarnation)) => backends.get(&incarnation.id),
                _ => None,
            };
            let eligible = match select_owner(cx, request, key) {
                Selection::Server(server) => vec![server.incarnation.id.clone()],
                _ => Vec::new(),
            };
            (owner.into_iter().collect(), eligible)
        }
        None => {
            let of_service = |server: &&Arc<Backend>| server.service == request.service;
            let candidates = eligible(cx, request, &RequestLife::new(terms(request)));
            let candidates = candidates.unwrap_or_default().into_iter();
            let ids = candidates.map(|candidate| candidate.server.incarnation.id.clone());
            (backends.values().filter(of_service).collect(), ids.collect())
        }
    };
    let explain = |server: &Arc<Backend>| {
        explain_server(cx, request, server, eligible.contains(&server.incarnation.id))
    };
    let mut explained: Vec<ExplainedServer> = servers.into_iter().map(explain).collect();
    explained.sort_by(|a, b| {
        let rank = |server: &ExplainedServer| {
            (!server.exclusions.is_empty(), server.expected_latency_ms, server.server.clone())
        };
        rank(a).cmp(&rank(b))
    });
    explained
}

fn explain_server(
    cx: &Shared,
    request: &RoutedRequest,
    server: &Backend,
    is_eligible: bool,
) -> ExplainedServer {
    let now = cx.clock.now();
    let load = expected_load(cx, request, server);
    let estimator = server.load_estimator();
    let (in_flight, reported_at) = (estimator.in_flight(), estimator.load_reported_at());
    drop(estimator);
    ExplainedServer {
        server: server.incarnation.id.clone(),
        address: server.address,
        zone: server.zone.clone(),
        in_flight,
        expected_wait_ms: load.wait,
        expected_latency_ms: load.latency,
        load_age_ms: reported_at.map(|at| now.since(at)),
        exclusions: exclusions(cx, request, server, load, is_eligible),
    }
}

fn exclusions(
    cx: &Shared,
    request: &RoutedRequest,
    server: &Backend,
    load: ExpectedLoad,
    is_eligible: bool,
) -> Vec<Exclusion> {
    let now = cx.clock.now();
    let availability = server.availability();
    let is_leaving = availability.leaving_for(now).is_some() || server.draining_for(now).is_some();
    let paused_for = availability.paused_until().since(now);
    let cold_until = availability.warm_up.cold_until(now);
    let rank = request.view.rank(&request.route);
    let rate_wait = availability.clone().limit_wait(now, rank);
    drop(availability);
    let rate = match (rate_wait, cold_until) {
        (Millis::ZERO, _) => None,
        (wait_ms, Some(until)) => Some(Exclusion::Cold { wait_ms, left_ms: until.since(now) }),
        (wait_ms, None) => Some(Exclusion::RateLimit { wait_ms }),
    };
    let is_at_connection_limit = load.is_at_connection_limit;
    let is_other_process = request.key.is_none() && server.is_address_reused(now);
    let is_path_lost = cx.paths().is_lost(server.short_id);
    let found = [
        server.is_evacuated(now).then_some(Exclusion::EvacuatedZone),
        (is_leaving && !is_eligible).then_some(Exclusion::Leaving),
        (paused_for > Millis::ZERO).then_some(Exclusion::Paused { left_ms: paused_for }),
        rate,
        is_path_lost.then_some(Exclusion::LostPath),
        is_other_process.then_some(Exclusion::OtherProcess),
        full(request, now, load),
        is_at_connection_limit.then_some(Exclusion::ConnectionLimit),
    ];
    found.into_iter().flatten().collect()
}

/// Returns the exclusion of a server at whose load the request would be refused.
fn full(request: &RoutedRequest, now: Millis, load: ExpectedLoad) -> Option<Exclusion> {
    let mut gate = LoadGate(ExpectedLoad { is_at_connection_limit: false, ..load });
    match RequestLife::new(terms(request)).admit(now, &mut gate) {
        Err(PlatformNext::Refuse(refusal)) => Some(Exclusion::Full { why: refusal.reason.into() }),
        _ => None,
    }
}
