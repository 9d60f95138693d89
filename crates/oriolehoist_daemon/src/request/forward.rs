use {
    crate::{
        connection::{Permit, PermitRefusal},
        process::{DaemonContext, Phase},
        request::{
            exchange::{ExchangeOutcome, NotRun, ServerResponse, exchange},
            handover::{HandedOver, hand_over},
            parse::ParsedRequest,
            quarantine,
            refusal::Refusal,
            route::{Destination, find_destination},
        },
    },
    bytes::Bytes,
    oriolehoist_admission::{
        Class, Completion, Fingerprint, QueuedRequest, RetryBudget, SendDecision,
    },
    oriolehoist_forwarding::{
        Found, FoundNext, OwnAttemptEnd, OwnNext, OwnRequest, OwnTerms, QueueRefusal,
    },
    oriolehoist_time::Millis,
    std::{
        sync::{Arc, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Forwards a request to a server and returns the server's response.
///
/// # Errors
///
/// Returns the refusal as soon as it is certain that the request can't be served.
pub(crate) async fn forward(
    cx: &Arc<DaemonContext>,
    parsed: &ParsedRequest,
    body: Bytes,
) -> Result<ServerResponse, Refusal> {
    let fingerprint = quarantine::fingerprint(parsed, &body);
    credit_retry_budget(cx, parsed);
    let mut life = OwnRequest::new(terms(parsed));
    let try_spend_retry = || with_retry_budget(cx, parsed, RetryBudget::try_spend);
    let mut excluded: Option<Destination> = None;
    loop {
        let found = find_destination(cx, parsed, excluded.as_ref(), &mut life).await;
        let destination = found.map_err(|refusal| life.finish(refusal))?;
        let name = &destination.backend.name;
        let refuse = |refusal: oriolehoist_forwarding::Refusal| {
            Err(Refusal::from(refusal).with_server(name, destination.epoch))
        };
        let found = Found {
            is_keyed: destination.epoch.is_some(),
            is_after_loss: destination.after_loss,
            is_path_lost: cx.paths().is_lost(destination.backend.address),
        };
        match life.on_found(found) {
            FoundNext::Attempt => {}
            FoundNext::HandOver => {
                let handed_over =
                    hand_over(cx, parsed, &body, &destination, &mut life, try_spend_retry).await;
                match handed_over {
                    HandedOver::Ended(result) => return result,
                    // The server may be back, or another one may have the key.
                    HandedOver::NoPath => {}
                }
            }
            FoundNext::RefuseWithoutPath(refusal) => {
                return Err(Refusal::from(refusal).with_server(name, None));
            }
            FoundNext::Refuse(refusal) => return refuse(refusal),
        }
        let outcome =
            attempt_at_server(cx, parsed, &body, &destination, fingerprint, &life).await?;
        let end = match outcome {
            ExchangeOutcome::Complete(response) => return Ok(response),
            ExchangeOutcome::NotRun(NotRun::Shed) => OwnAttemptEnd::Shed,
            ExchangeOutcome::NotRun(NotRun::NotOwner) => OwnAttemptEnd::NotOwner,
            ExchangeOutcome::NotSent => OwnAttemptEnd::NotSent,
            ExchangeOutcome::TooLarge => OwnAttemptEnd::TooLarge,
            ExchangeOutcome::TimedOut => OwnAttemptEnd::TimedOut,
            ExchangeOutcome::Interrupted => {
                // If the server has crashed, the peers learn of it before the request is sent again.
                quarantine::on_connection_broken(cx, &destination.backend, fingerprint).await;
                OwnAttemptEnd::Interrupted
            }
        };
        match life.on_attempt_ended(cx.clock.now(), end, try_spend_retry) {
            OwnNext::FindElsewhere => excluded = Some(destination),
            OwnNext::FindAfter(delay) => sleep(Duration::from(delay)).await,
            OwnNext::Refuse(refusal) => return refuse(refusal),
        }
    }
}

/// Returns what is fixed for a request.
pub(super) fn terms(parsed: &ParsedRequest) -> OwnTerms {
    OwnTerms {
        is_idempotent: parsed.idempotent,
        is_bulk: parsed.class == Class::Bulk,
        is_caller_repeat: parsed.caller_attempt > 1,
        is_handed_over: parsed.is_handed_over,
        deadline: parsed.deadline,
    }
}

/// Returns a request as the queue for a server sees it.
pub(super) fn queued_request(parsed: &ParsedRequest) -> QueuedRequest {
    QueuedRequest {
        class: parsed.class,
        workspace: parsed.workspace.to_string(),
        weight: parsed.policy.weight,
        deadline: parsed.deadline,
    }
}

/// Returns why the queue for a server does not take a request.
pub(super) fn queue_refusal(refusal: PermitRefusal) -> QueueRefusal {
    match refusal {
        PermitRefusal::QueueFull(expected_wait) => QueueRefusal::Full(expected_wait),
        PermitRefusal::Deadline(expected_wait) => QueueRefusal::Deadline(expected_wait),
    }
}

/// Attempts a request once, at the given server.
///
/// # Errors
///
/// Returns the refusal of a request that was not sent, because of the queue or a quarantine.
async fn attempt_at_server(
    cx: &Arc<DaemonContext>,
    parsed: &ParsedRequest,
    body: &Bytes,
    destination: &Destination,
    fingerprint: Fingerprint,
    life: &OwnRequest,
) -> Result<ExchangeOutcome, Refusal> {
    let permit = acquire_permit(cx, parsed, destination, life).await?;
    let decision = quarantine::send_decision(cx, fingerprint);
    let _suspect_guard = match decision.map_err(|refusal| life.finish(refusal))? {
        SendDecision::Isolate => Some(destination.backend.suspect_lock.lock().await),
        _ => None,
    };
    // The request may have been quarantined while it waited for the lock.
    quarantine::admit(cx, fingerprint).map_err(|refusal| life.finish(refusal))?;
    let sent = cx.clock.now();
    let timeout = life.response_timeout(sent);
    let outcome = exchange(cx, parsed, body.clone(), destination, timeout).await;
    let took = cx.clock.now().since(sent);
    permit.release(completion_of(&outcome, took));
    if let ExchangeOutcome::Complete(_) = outcome {
        let service = parsed.service.name.as_str();
        cx.metrics.observe(service, parsed.class, Phase::Service, took);
        quarantine::clear_suspicion(cx, fingerprint);
    }
    Ok(outcome)
}

async fn acquire_permit(
    cx: &DaemonContext,
    parsed: &ParsedRequest,
    destination: &Destination,
    life: &OwnRequest,
) -> Result<Permit, Refusal> {
    let started = cx.clock.now();
    let permit = destination.backend.acquire(queued_request(parsed)).await;
    let waited = cx.clock.now().since(started);
    cx.metrics.observe(parsed.service.name.as_str(), parsed.class, Phase::Queue, waited);
    permit.map_err(|refusal| {
        let refusal = life.on_queue_refused(queue_refusal(refusal));
        Refusal::from(refusal).with_server(&destination.backend.name, destination.epoch)
    })
}

fn completion_of(outcome: &ExchangeOutcome, took: Millis) -> Completion {
    match outcome {
        ExchangeOutcome::Complete(_) | ExchangeOutcome::TooLarge => Completion::Served(took),
        ExchangeOutcome::NotRun(NotRun::Shed) => Completion::Shed,
        _ => Completion::Failed,
    }
}

fn credit_retry_budget(cx: &DaemonContext, parsed: &ParsedRequest) {
    // The daemon that has handed it over has counted it.
    if parsed.is_handed_over {
        return;
    }
    with_retry_budget(cx, parsed, |budget| budget.on_first_attempt(parsed.policy.retry_percent));
}

fn with_retry_budget<T>(
    cx: &DaemonContext,
    parsed: &ParsedRequest,
    f: impl FnOnce(&mut RetryBudget) -> T,
) -> T {
    let mut budgets = cx.retry_budgets.lock().unwrap_or_else(PoisonError::into_inner);
    f(budgets.get_or_create(&parsed.service.name, parsed.policy.retry_savings))
}
