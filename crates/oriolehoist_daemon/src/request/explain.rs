//! Explains to operators what this daemon would do with a request at this moment.
//!
//! The functions that forward requests decide, without their effects: nothing is sent, counted or queued,
//! and nothing is drawn at random.

use {
    crate::{
        connection::Backend,
        process::DaemonContext,
        request::{
            forward::{queue_refusal, queued_request, terms},
            parse::{ParsedRequest, parse_request},
            quarantine,
            refusal::Refusal,
            route::{
                Destination, candidates, current_service, look_up, max_recovery_time, no_server,
            },
        },
        version::View,
    },
    axum::http::{HeaderValue, Request, request::Parts},
    oriolehoist_admission::Class,
    oriolehoist_explain::{
        Exclusion, ExplainError, ExplainErrorKind, ExplainQuery, ExplainedPart, ExplainedRefusal,
        ExplainedRoute, ExplainedServer, Explanation, Owner, Step, explain_step,
    },
    oriolehoist_forwarding::{Found, FoundNext, HandOverNext, OwnRequest},
    oriolehoist_protocol::{DEADLINE_MS, KEY, RouteState, ShardId},
    oriolehoist_refusal::{RefusalKind, RetryAdvice},
    oriolehoist_time::Millis,
    smol_str::{SmolStr, format_smolstr},
    std::sync::Arc,
};

/// The seed of the choice among the daemons that may be asked to take a request. With a fixed one, equal
/// queries get equal responses.
const DAEMON_CHOICE_SEED: u64 = 1;

/// Returns what this daemon would do with a request.
///
/// # Errors
///
/// Returns an error if the query is malformed, or there is no such service.
pub(crate) fn explain(
    cx: &DaemonContext,
    query: &ExplainQuery,
) -> Result<Explanation, ExplainError> {
    let parts = request_parts(query)?;
    let not_ready =
        || ExplainError::new(ExplainErrorKind::NotReady, "the daemon has no settings yet");
    let view = cx.view.load().ok_or_else(not_ready)?;
    match parse_request(cx.clock.now(), &view, &parts) {
        Ok(parsed) => Ok(explanation(cx, &view, &explain_part(cx, &parsed), Some(&parsed))),
        Err(refusal) => match (refusal.kind, &query.key) {
            (RefusalKind::UnknownService, _) => {
                let message = format!("no service for path \"{}\": {}", query.path, refusal.rule);
                Err(ExplainError::new(ExplainErrorKind::UnknownRoute, message))
            }
            (RefusalKind::MissingKey | RefusalKind::TooLarge, Some(_)) => {
                let message = format!("the key is empty or too long: {}", refusal.rule);
                Err(ExplainError::new(ExplainErrorKind::InvalidKey, message))
            }
            (RefusalKind::MissingKey, None) => {
                let service = parts.uri.path().split('/').nth(1).unwrap_or_default().into();
                let decision = refuse(&refusal);
                let servers = Vec::new();
                let part = ExplainedPart { service, weight: 1, owner: None, servers, decision };
                Ok(explanation(cx, &view, &part, None))
            }
            _ => Err(ExplainError::new(ExplainErrorKind::InvalidQuery, refusal.rule.to_string())),
        },
    }
}

/// Returns the head of the request that a caller would send.
fn request_parts(query: &ExplainQuery) -> Result<Parts, ExplainError> {
    let invalid = |kind, message: &str| Err(ExplainError::new(kind, message));
    let request = Request::builder().method(query.method.as_str()).uri(query.path.as_str());
    let Ok(request) = request.body(()) else {
        let message = "the method or the path is missing or malformed";
        return invalid(ExplainErrorKind::InvalidQuery, message);
    };
    let mut parts = request.into_parts().0;
    if let Some(key) = &query.key {
        let Ok(key) = HeaderValue::from_bytes(key.as_bytes()) else {
            return invalid(ExplainErrorKind::InvalidKey, "the key has control characters");
        };
        parts.headers.insert(KEY, key);
    }
    if let Some(deadline) = query.deadline_ms {
        parts.headers.insert(DEADLINE_MS, deadline.0.into());
    }
    Ok(parts)
}

fn explanation(
    cx: &DaemonContext,
    view: &View,
    part: &ExplainedPart,
    parsed: Option<&ParsedRequest>,
) -> Explanation {
    let class = parsed.map(|parsed| parsed.class).unwrap_or_default();
    let priority = Class::ALL.iter().position(|one| *one == class).unwrap_or_default();
    let deadline_ms = parsed.map(|parsed| parsed.deadline.since(parsed.started));
    Explanation {
        instance: cx.identity.instance.0.clone(),
        settings: view.version.0,
        route: ExplainedRoute {
            name: part.service.clone(),
            host: SmolStr::default(),
            prefix: format_smolstr!("/{}/", part.service),
            priority: priority as u32,
            deadline_ms: deadline_ms.unwrap_or_default(),
            objective_ms: None,
        },
        parts: vec![part.clone()],
    }
}

fn explain_part(cx: &DaemonContext, parsed: &ParsedRequest) -> ExplainedPart {
    let (decision, (owner, servers)) =
        explain_step(|| first_step(cx, parsed), || explain_servers(cx, parsed));
    ExplainedPart { service: parsed.service.name.0.clone(), weight: 1, owner, servers, decision }
}

/// Explains who owns the key, and the owner or all servers of a service without keys.
fn explain_servers(
    cx: &DaemonContext,
    parsed: &ParsedRequest,
) -> (Option<Owner>, Vec<ExplainedServer>) {
    let service = current_service(cx, parsed);
    let route = parsed.shard.and_then(|shard| service.assignment.route(shard));
    let owner = parsed.shard.map(|_| match route.map(|route| (route.state, &route.server)) {
        None | Some((RouteState::Unassigned, _)) => Owner::Unassigned,
        Some((RouteState::Serving, server)) => Owner::Server { server: server.0.clone() },
        Some((RouteState::Moving, _)) => Owner::Moving,
        Some((RouteState::OwnerLost, _)) => Owner::Lost { left_ms: max_recovery_time(&service) },
    });
    let servers: Vec<&Arc<Backend>> = match (&owner, route) {
        (Some(Owner::Server { .. }), Some(route)) => {
            service.backends.get(&route.server).into_iter().collect()
        }
        (Some(_), _) => Vec::new(),
        (None, _) => service.backends.values().collect(),
    };
    let is_leaving = |server: &Backend| service.leaving.contains(&server.name);
    let explain = |server: &Arc<Backend>| {
        let is_excluded = parsed.shard.is_none() && is_leaving(server);
        explain_server(cx, parsed, server, is_excluded)
    };
    let mut servers: Vec<ExplainedServer> = servers.into_iter().map(explain).collect();
    servers.sort_by_key(|server| (!server.exclusions.is_empty(), server.expected_latency_ms));
    (owner, servers)
}

/// Explains a server. Its load is what this daemon has in flight and in its queue.
fn explain_server(
    cx: &DaemonContext,
    parsed: &ParsedRequest,
    server: &Backend,
    is_leaving: bool,
) -> ExplainedServer {
    let preview = server.preview(&queued_request(parsed));
    let full = preview.admission.err().map(|refusal| {
        let refusal = OwnRequest::new(terms(parsed)).on_queue_refused(queue_refusal(refusal));
        Exclusion::Full { why: refusal.reason.into() }
    });
    let found = [
        is_leaving.then_some(Exclusion::Leaving),
        cx.paths().is_lost(server.address).then_some(Exclusion::LostPath),
        (parsed.shard.is_none() && server.is_down()).then_some(Exclusion::Down),
        full,
    ];
    ExplainedServer {
        server: server.name.0.clone(),
        address: server.address,
        zone: SmolStr::default(),
        in_flight: preview.in_flight,
        expected_wait_ms: preview.expected_wait,
        expected_latency_ms: preview.expected_wait + preview.service_time,
        load_age_ms: None,
        exclusions: found.into_iter().flatten().collect(),
    }
}

/// Returns what this daemon does first with a request.
fn first_step(cx: &DaemonContext, parsed: &ParsedRequest) -> Step {
    let mut life = OwnRequest::new(terms(parsed));
    let (destination, is_random) = match find(cx, parsed, &mut life) {
        Ok(found) => found,
        Err(step) => return step,
    };
    let server = &destination.backend;
    let found = Found {
        is_keyed: destination.epoch.is_some(),
        is_after_loss: destination.after_loss,
        is_path_lost: cx.paths().is_lost(server.address),
    };
    let handed_over = match life.on_found(found) {
        FoundNext::Attempt => None,
        FoundNext::HandOver => hand_over(cx, &mut life, server),
        FoundNext::RefuseWithoutPath(refusal) | FoundNext::Refuse(refusal) => {
            return refuse(&refusal.into());
        }
    };
    // Without another daemon, the request is attempted: the server may be back.
    if let Some(step) = handed_over {
        return step;
    }
    let admission = server.preview(&queued_request(parsed)).admission;
    let decision = quarantine::send_decision(cx, quarantine::fingerprint(parsed, b""));
    match (admission, decision) {
        (Err(refusal), _) => refuse(&life.on_queue_refused(queue_refusal(refusal)).into()),
        (_, Err(refusal)) => refuse(&life.finish(refusal)),
        (Ok(true), _) => Step::Send { server: server.name.0.clone(), is_random },
        (Ok(false), _) => Step::Wait {
            reason: format_smolstr!("queued for {}", server.name),
            at_most_ms: parsed.deadline.since(cx.clock.now()),
        },
    }
}

/// Finds the owner, or the least utilized server. Returns whether others are drawn at random as well.
///
/// # Errors
///
/// Returns the step of a request for which there is none now.
fn find(
    cx: &DaemonContext,
    parsed: &ParsedRequest,
    life: &mut OwnRequest,
) -> Result<(Destination, bool), Step> {
    let Some(shard) = parsed.shard else {
        let candidates = candidates(cx, &parsed.service, None);
        let best = candidates.iter().min_by_key(|server| server.utilization_percent());
        let best = best.ok_or_else(|| refuse(&no_server()))?;
        let backend = Arc::clone(best);
        let destination = Destination { backend, epoch: None, after_loss: false };
        return Ok((destination, candidates.len() > 1));
    };
    find_owner(cx, parsed, shard, life).map(|owner| (owner, false))
}

fn find_owner(
    cx: &DaemonContext,
    parsed: &ParsedRequest,
    shard: ShardId,
    life: &mut OwnRequest,
) -> Result<Destination, Step> {
    let service = current_service(cx, parsed);
    look_up(&service, shard, None).map_err(|refusal| {
        let is_owner_lost = refusal.kind == RefusalKind::OwnerLost;
        let recovery = is_owner_lost.then(|| max_recovery_time(&service));
        match life.on_not_served(cx.clock.now(), recovery) {
            Some(at_most_ms) => Step::Wait { reason: refusal.rule, at_most_ms },
            None => refuse(&life.finish(refusal)),
        }
    })
}

/// Returns the hand-over to a daemon that may reach a server, or `None` if none does.
fn hand_over(cx: &DaemonContext, life: &mut OwnRequest, server: &Backend) -> Option<Step> {
    let now = cx.clock.now();
    match life.start_hand_over(now) {
        HandOverNext::ChooseDaemon => {}
        HandOverNext::NoPath => return None,
        HandOverNext::Refuse(refusal) => return Some(refuse(&refusal.into())),
    }
    let known = cx.live_peers.load_full();
    let mut rng = fastrand::Rng::with_seed(DAEMON_CHOICE_SEED);
    let daemon = cx.ways().choose(now, server.address, &known.ways, &[], &mut rng)?;
    Some(Step::HandOver { server: server.name.0.clone(), daemon })
}

/// Returns the step of refusing a request, as its caller is told.
fn refuse(refusal: &Refusal) -> Step {
    let template = refusal.kind.response();
    let default = match template.retry_advice {
        RetryAdvice::After(after) => Some(after),
        RetryAdvice::Never => None,
    };
    Step::Refuse(ExplainedRefusal {
        kind: refusal.kind,
        status: template.status,
        reason: refusal.rule.clone(),
        expected_wait_ms: None::<Millis>,
        retry_after_ms: refusal.retry_after.or(default),
    })
}
