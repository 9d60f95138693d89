use {
    crate::{
        connection::Backend,
        process::DaemonContext,
        request::{parse::ParsedRequest, refusal::Refusal},
        version::ServiceView,
    },
    oriolehoist_forwarding::OwnRequest,
    oriolehoist_protocol::{Epoch, RouteState, ServerName, ShardId},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// The server to which a request is sent.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) backend: Arc<Backend>,
    /// The epoch under which the server owns the key; `None` for a service without keys.
    pub(crate) epoch: Option<Epoch>,
    /// Whether the key's previous owner was lost, so that it is unknown which requests it ran last.
    pub(crate) after_loss: bool,
}

/// Finds the server for a request, waiting for the end of a change of owner if its deadline allows.
///
/// `excluded` is the destination that refused the request before, or could not be connected to. It
/// is avoided, so that the request does not fail there again.
///
/// # Errors
///
/// Returns a refusal, without waiting if the owner will not be known in time.
pub(crate) async fn find_destination(
    cx: &DaemonContext,
    parsed: &ParsedRequest,
    excluded: Option<&Destination>,
    life: &mut OwnRequest,
) -> Result<Destination, Refusal> {
    match parsed.shard {
        Some(shard) => wait_for_owner(cx, parsed, shard, excluded, life).await,
        None => choose_server(cx, parsed, excluded),
    }
}

async fn wait_for_owner(
    cx: &DaemonContext,
    parsed: &ParsedRequest,
    shard: ShardId,
    excluded: Option<&Destination>,
    life: &mut OwnRequest,
) -> Result<Destination, Refusal> {
    let mut changes = cx.view.subscribe();
    loop {
        changes.borrow_and_update();
        let service = current_service(cx, parsed);
        let found = look_up(&service, shard, excluded);
        let refusal = match found {
            Ok(destination) => return Ok(destination),
            Err(refusal) => refusal,
        };
        let is_owner_lost = refusal.kind == RefusalKind::OwnerLost;
        let recovery = is_owner_lost.then(|| max_recovery_time(&service));
        let Some(left) = life.on_not_served(cx.clock.now(), recovery) else {
            return Err(refusal);
        };
        if timeout(Duration::from(left), changes.changed()).await.is_err() {
            return Err(refusal);
        }
    }
}

/// Returns the service's current view, which may be newer than the one that the request started
/// with.
pub(super) fn current_service(cx: &DaemonContext, parsed: &ParsedRequest) -> Arc<ServiceView> {
    cx.view
        .load()
        .and_then(|view| view.services.get(&parsed.service.name).cloned())
        .unwrap_or_else(|| Arc::clone(&parsed.service))
}

/// Looks up the owner of a shard. Returns a refusal if the shard is not served now.
pub(super) fn look_up(
    service: &ServiceView,
    shard: ShardId,
    excluded: Option<&Destination>,
) -> Result<Destination, Refusal> {
    let Some(route) = service.assignment.route(shard) else {
        return Err(Refusal::new(RefusalKind::NoOwner, "the service has no assignment yet"));
    };
    let is_excluded = excluded.is_some_and(|d| d.epoch == Some(route.epoch));
    let with_owner = |refusal: Refusal| refusal.with_server(&route.server, Some(route.epoch));
    match (route.state, service.backends.get(&route.server)) {
        (RouteState::Serving, Some(backend)) if !is_excluded => Ok(Destination {
            backend: Arc::clone(backend),
            epoch: Some(route.epoch),
            after_loss: route.after_loss,
        }),
        (RouteState::OwnerLost, _) => {
            let refusal =
                Refusal::new(RefusalKind::OwnerLost, "the owner's grant must lapse first");
            Err(with_owner(refusal.with_retry_after(max_recovery_time(service))))
        }
        (RouteState::Moving, _) => {
            Err(with_owner(Refusal::new(RefusalKind::NoOwner, "the key is moving")))
        }
        (RouteState::Serving, _) if is_excluded => {
            Err(with_owner(Refusal::new(RefusalKind::NoOwner, "the owner has changed")))
        }
        _ => Err(with_owner(Refusal::new(RefusalKind::NoOwner, "no server has been chosen yet"))),
    }
}

/// Returns the maximum time until the keys of a lost owner are served again.
pub(super) fn max_recovery_time(service: &ServiceView) -> Millis {
    Millis(service.timing.grant_ms + service.timing.lost_after_ms)
}

/// Chooses a server of a service without keys by the power of two choices: the less utilized one of
/// two that are drawn at random.
fn choose_server(
    cx: &DaemonContext,
    parsed: &ParsedRequest,
    excluded: Option<&Destination>,
) -> Result<Destination, Refusal> {
    let candidates = candidates(cx, &parsed.service, excluded);
    let draw = || candidates.get(fastrand::usize(..candidates.len().max(1))).copied();
    let (Some(first), Some(second)) = (draw(), draw()) else { return Err(no_server()) };
    let backend = match first.utilization_percent() <= second.utilization_percent() {
        true => first,
        false => second,
    };
    Ok(Destination { backend: Arc::clone(backend), epoch: None, after_loss: false })
}

/// Returns the refusal of a request to a service without keys whose servers all leave.
pub(super) fn no_server() -> Refusal {
    Refusal::new(RefusalKind::Unreachable, "the service has no server that stays")
}

/// Returns the servers among which one is drawn for a request without a key.
pub(super) fn candidates<'a>(
    cx: &DaemonContext,
    service: &'a ServiceView,
    excluded: Option<&Destination>,
) -> Vec<&'a Arc<Backend>> {
    let excluded_name: Option<&ServerName> = excluded.map(|d| &d.backend.name);
    let is_staying = |backend: &&Arc<Backend>| !service.leaving.contains(&backend.name);
    let is_not_excluded = |backend: &&Arc<Backend>| excluded_name != Some(&backend.name);
    let staying: Vec<&Arc<Backend>> = service.backends.values().filter(is_staying).collect();
    let paths = cx.paths();
    let is_up = |backend: &&Arc<Backend>| !backend.is_down() && !paths.is_lost(backend.address);
    let up: Vec<&Arc<Backend>> =
        staying.iter().copied().filter(is_up).filter(is_not_excluded).collect();
    // If every server is down or excluded, attempt one of them anyway.
    if up.is_empty() { staying } else { up }
}
