use {
    crate::{
        connection::{Permit, PermitRefusal},
        process::{Phase, Shared},
        request::{
            exchange::{Answer, Exchanged, NotRun, exchange},
            parse::Parsed,
            refuse::Refusal,
            route::{Destination, destination},
            suspicion,
        },
    },
    bytes::Bytes,
    oriolehoist_admission::{
        Class, Completion, Fingerprint, QueuedRequest, RetryBudget, SendDecision,
    },
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    std::{
        sync::{Arc, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// How often a request is offered to servers before it is given up.
const MAX_OFFERS: u32 = 12;
/// How long an idempotent request waits for an answer before it is sent on a new connection.
const STALL: Millis = Millis(400);
/// The pause before a server that could not be reached is tried again; it doubles each time.
const FIRST_PAUSE: Millis = Millis(10);
/// The longest such pause.
const LONGEST_PAUSE: Millis = Millis(200);

/// What to do after an exchange that gave no whole answer.
enum Next {
    /// Offer the request again; the server that refused it is not asked under the same epoch.
    Elsewhere,
    /// Offer the request again, after a pause, wherever it then belongs.
    After(Millis),
    /// Give the final answer.
    Refuse(Refusal),
}

/// Takes a request to a server and brings its answer back.
///
/// # Errors
///
/// Returns the refusal, as soon as it is certain that the request can't be served.
pub(crate) async fn forward(
    cx: &Arc<Shared>,
    parsed: &Parsed,
    body: Bytes,
) -> Result<Answer, Refusal> {
    let fingerprint = suspicion::fingerprint(parsed, &body);
    earn_retries(cx, parsed);
    let mut refused_by: Option<Destination> = None;
    let mut offers = 0;
    loop {
        offers += 1;
        let to = destination(cx, parsed, refused_by.as_ref()).await?;
        refuse_repeat_after_loss(parsed, &to)?;
        let exchanged = offer(cx, parsed, &body, &to, fingerprint, offers).await?;
        let next = match exchanged {
            Exchanged::Whole(answer) => return Ok(answer),
            failed => after_failure(cx, parsed, &to, fingerprint, &failed, offers).await,
        };
        match next {
            Next::Refuse(refusal) => return Err(refusal),
            Next::Elsewhere => refused_by = Some(to),
            Next::After(pause) => sleep(Duration::from(pause)).await,
        }
    }
}

/// Offers a request to one server.
async fn offer(
    cx: &Arc<Shared>,
    parsed: &Parsed,
    body: &Bytes,
    to: &Destination,
    fingerprint: Fingerprint,
    offers: u32,
) -> Result<Exchanged, Refusal> {
    let permit = enter(cx, parsed, to).await?;
    let _turn = match suspicion::judge(cx, fingerprint)? {
        SendDecision::Isolate => Some(to.backend.suspect_turn.lock().await),
        _ => None,
    };
    // The request may have been found guilty while it waited for its turn.
    suspicion::judge(cx, fingerprint)?;
    let sent = cx.clock.now();
    let patience = patience(parsed, sent, offers);
    let exchanged = exchange(cx, parsed, body.clone(), to, patience).await;
    let took = cx.clock.now().since(sent);
    permit.end(leave(&exchanged, took));
    if let Exchanged::Whole(_) = exchanged {
        let service = parsed.service.name.as_str();
        cx.metrics.observe(service, parsed.class, Phase::Service, took);
        suspicion::clear(cx, fingerprint);
    }
    Ok(exchanged)
}

async fn enter(cx: &Shared, parsed: &Parsed, to: &Destination) -> Result<Permit, Refusal> {
    let started = cx.clock.now();
    let waiting = QueuedRequest {
        class: parsed.class,
        workspace: parsed.tenant.to_string(),
        weight: parsed.policy.weight,
        deadline: parsed.deadline,
    };
    let entered = to.backend.enter(waiting).await;
    let waited = cx.clock.now().since(started);
    cx.metrics.observe(parsed.service.name.as_str(), parsed.class, Phase::Queue, waited);
    let refuse = |kind, rule: &str| Refusal::new(kind, rule).at(&to.backend.name, to.epoch);
    entered.map_err(|refusal| match refusal {
        PermitRefusal::QueueFull(wait) => {
            refuse(RefusalKind::Overloaded, "policy.queue").come_back(wait.max(FIRST_PAUSE))
        }
        PermitRefusal::Deadline(wait) if wait > Millis::ZERO => {
            refuse(RefusalKind::Deadline, "the queue is longer than the deadline").come_back(wait)
        }
        PermitRefusal::Deadline(_) => {
            refuse(RefusalKind::Deadline, "the deadline passed in the queue")
        }
    })
}

/// Returns how long to wait for an answer.
///
/// An idempotent request is not left on a connection that may have gone silent: it has time to
/// be sent once more.
fn patience(parsed: &Parsed, now: Millis, offers: u32) -> Millis {
    let left = parsed.deadline.since(now);
    match offers {
        1 if parsed.idempotent && parsed.class != Class::Bulk => left.min(STALL),
        _ => left,
    }
}

fn leave(exchanged: &Exchanged, took: Millis) -> Completion {
    match exchanged {
        Exchanged::Whole(_) | Exchanged::TooLarge => Completion::Served(took),
        Exchanged::NotRun(NotRun::Shed) => Completion::Shed,
        _ => Completion::Failed,
    }
}

async fn after_failure(
    cx: &Arc<Shared>,
    parsed: &Parsed,
    to: &Destination,
    fingerprint: Fingerprint,
    failed: &Exchanged,
    offers: u32,
) -> Next {
    let refuse =
        |kind, rule: &str| Next::Refuse(Refusal::new(kind, rule).at(&to.backend.name, to.epoch));
    if matches!(failed, Exchanged::Broken) {
        suspicion::on_broken(cx, &to.backend, fingerprint).await;
    }
    let keyed = to.epoch.is_some();
    let again = cx.clock.now() < parsed.deadline && offers < MAX_OFFERS;
    match failed {
        Exchanged::NotRun(NotRun::Shed) if again && keyed => Next::After(Millis::ZERO),
        Exchanged::NotRun(_) if again => Next::Elsewhere,
        Exchanged::NotRun(_) => refuse(RefusalKind::ServerRefused, "refused before running"),
        Exchanged::NotSent if again && keyed => Next::After(pause(offers)),
        Exchanged::NotSent if again => Next::Elsewhere,
        Exchanged::NotSent => refuse(RefusalKind::Unreachable, "no connection"),
        Exchanged::TooLarge => refuse(RefusalKind::AnswerTooLarge, "policy.max_answer_bytes"),
        Exchanged::Silent | Exchanged::Broken if again && may_repeat(cx, parsed) => {
            Next::After(Millis::ZERO)
        }
        Exchanged::Silent => refuse(RefusalKind::OutcomeUnknown, "no answer in time"),
        Exchanged::Broken | Exchanged::Whole(_) => {
            refuse(RefusalKind::OutcomeUnknown, "the connection or the answer broke")
        }
    }
}

fn pause(offers: u32) -> Millis {
    (FIRST_PAUSE * (1 << offers.min(8))).min(LONGEST_PAUSE)
}

fn earn_retries(cx: &Shared, parsed: &Parsed) {
    with_retries(cx, parsed, |budget| budget.on_first_attempt(parsed.policy.retry_percent));
}

/// Returns whether a request that was sent may be sent again: it is idempotent, and the service's
/// budget for retries is not used up.
fn may_repeat(cx: &Shared, parsed: &Parsed) -> bool {
    parsed.idempotent && with_retries(cx, parsed, RetryBudget::try_spend)
}

fn with_retries<T>(cx: &Shared, parsed: &Parsed, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
    let mut retries = cx.retries.lock().unwrap_or_else(PoisonError::into_inner);
    f(retries.get_or_create(&parsed.service.name, parsed.policy.retry_savings))
}

/// Refuses a repeated request whose first attempt may have run at an owner that was lost since.
///
/// An owner remembers the ids that it ran; a lost one has taken that memory with it.
fn refuse_repeat_after_loss(parsed: &Parsed, to: &Destination) -> Result<(), Refusal> {
    let repeated = parsed.attempt > 1 && !parsed.idempotent;
    match repeated && to.after_loss {
        true => {
            let rule = "the owner of an earlier attempt may have been lost";
            Err(Refusal::new(RefusalKind::RepeatAfterLoss, rule).at(&to.backend.name, to.epoch))
        }
        false => Ok(()),
    }
}
