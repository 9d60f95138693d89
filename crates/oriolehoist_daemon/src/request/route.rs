use {
    crate::{
        connection::Backend,
        process::Shared,
        request::{parse::Parsed, refuse::Refusal},
        version::ServiceView,
    },
    oriolehoist_protocol::{Epoch, RouteState, ServerName, ShardId},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Where a request goes.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) backend: Arc<Backend>,
    /// The epoch under which the server owns the key; `None` for a service without keys.
    pub(crate) epoch: Option<Epoch>,
    /// Whether the key's former owner was lost.
    pub(crate) after_loss: bool,
}

/// The longest wait for a planned move.
const MOVE_WAIT: Millis = Millis(500);

/// Finds where a request goes, waiting through a change of owner if its deadline allows.
///
/// `refused_by` is what has already refused the request, so that the same answer is not asked for
/// again.
///
/// # Errors
///
/// Returns a refusal at once if the owner will not be known in time.
pub(crate) async fn destination(
    cx: &Shared,
    parsed: &Parsed,
    refused_by: Option<&Destination>,
) -> Result<Destination, Refusal> {
    match parsed.shard {
        Some(shard) => owner(cx, parsed, shard, refused_by).await,
        None => any_server(parsed, refused_by),
    }
}

async fn owner(
    cx: &Shared,
    parsed: &Parsed,
    shard: ShardId,
    refused_by: Option<&Destination>,
) -> Result<Destination, Refusal> {
    let mut changes = cx.view.subscribe();
    let started = cx.clock.now();
    loop {
        changes.borrow_and_update();
        let service = present(cx, parsed);
        let found = look_up(&service, shard, refused_by);
        let refusal = match found {
            Ok(destination) => return Ok(destination),
            Err(refusal) => refusal,
        };
        let most = match refusal.kind {
            RefusalKind::OwnerLost => longest_loss(&service),
            _ => MOVE_WAIT,
        };
        let now = cx.clock.now();
        let end = (started + most).min(parsed.deadline);
        // Waiting is of use only to a request that can outlast the change.
        let hopeless = refusal.kind == RefusalKind::OwnerLost && parsed.deadline < started + most;
        let left = end.since(now);
        if hopeless || left == Millis::ZERO {
            return Err(refusal);
        }
        if timeout(Duration::from(left), changes.changed()).await.is_err() {
            return Err(refusal);
        }
    }
}

/// Returns the service's present view, which may be newer than the one that the request began with.
fn present(cx: &Shared, parsed: &Parsed) -> Arc<ServiceView> {
    cx.view
        .load()
        .and_then(|view| view.services.get(&parsed.service.name).cloned())
        .unwrap_or_else(|| Arc::clone(&parsed.service))
}

fn look_up(
    service: &ServiceView,
    shard: ShardId,
    refused_by: Option<&Destination>,
) -> Result<Destination, Refusal> {
    let Some(route) = service.assignment.route(shard) else {
        return Err(Refusal::new(RefusalKind::NoOwner, "the service has no assignment yet"));
    };
    let refused = refused_by.is_some_and(|d| d.epoch == Some(route.epoch));
    let at = |refusal: Refusal| refusal.at(&route.server, Some(route.epoch));
    match (route.state, service.backends.get(&route.server)) {
        (RouteState::Serving, Some(backend)) if !refused => Ok(Destination {
            backend: Arc::clone(backend),
            epoch: Some(route.epoch),
            after_loss: route.after_loss,
        }),
        (RouteState::OwnerLost, _) => {
            let refusal =
                Refusal::new(RefusalKind::OwnerLost, "the owner's grant must lapse first");
            Err(at(refusal.come_back(longest_loss(service))))
        }
        (RouteState::Moving, _) => Err(at(Refusal::new(RefusalKind::NoOwner, "the key is moving"))),
        (RouteState::Serving, _) if refused => {
            Err(at(Refusal::new(RefusalKind::NoOwner, "the owner has changed")))
        }
        _ => Err(at(Refusal::new(RefusalKind::NoOwner, "no server has been chosen yet"))),
    }
}

/// Returns how long it can take until a lost owner's keys are served again.
fn longest_loss(service: &ServiceView) -> Millis {
    Millis(service.timing.grant_ms + service.timing.lost_after_ms)
}

/// Chooses among the servers of a service without keys: the less busy of two drawn at random.
fn any_server(parsed: &Parsed, refused_by: Option<&Destination>) -> Result<Destination, Refusal> {
    let service = &parsed.service;
    let refused: Option<&ServerName> = refused_by.map(|d| &d.backend.name);
    let stays = |backend: &&Arc<Backend>| !service.leaving.contains(&backend.name);
    let fresh = |backend: &&Arc<Backend>| refused != Some(&backend.name);
    let staying: Vec<&Arc<Backend>> = service.backends.values().filter(stays).collect();
    let up: Vec<&Arc<Backend>> =
        staying.iter().copied().filter(|b| !b.is_down()).filter(fresh).collect();
    // When every server seems down, one of them is tried all the same.
    let choice = if up.is_empty() { &staying } else { &up };
    let drawn = || choice.get(fastrand::usize(..choice.len().max(1))).copied();
    let (Some(first), Some(second)) = (drawn(), drawn()) else {
        return Err(Refusal::new(RefusalKind::Unreachable, "the service has no server that stays"));
    };
    let backend = match first.pressure() <= second.pressure() {
        true => first,
        false => second,
    };
    Ok(Destination { backend: Arc::clone(backend), epoch: None, after_loss: false })
}
