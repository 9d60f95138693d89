//! Limits on the rate of requests: those that servers name in their responses, and those of cold servers.

use {
    crate::{
        connection::{Backend, CallError},
        process::Shared,
        request::{forward::RoutedRequest, refusal::Refusal},
    },
    oriolehoist_admission::{NoPermit, Permit, PermitNeed},
    oriolehoist_forwarding::MIN_RETRY_AFTER,
    oriolehoist_log::{Event, report},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    std::sync::Arc,
};

/// How long a request waits for a permit.
const PERMIT_WAIT: Millis = Millis(500);
/// The same if another server may take the request as well, or if it may go without a permit.
const SPARE_PERMIT_WAIT: Millis = Millis(200);

/// Returns how long a request has to wait until the server takes it, as far as the server has said.
pub(super) fn wait(cx: &Shared, request: &RoutedRequest, backend: &Backend) -> Millis {
    let rank = request.view.rank(&request.route);
    backend.availability().wait(cx.clock.now(), rank)
}

/// Returns the same as [`wait`], without updating the limit.
pub(super) fn peek_wait(cx: &Shared, request: &RoutedRequest, backend: &Backend) -> Millis {
    let rank = request.view.rank(&request.route);
    let mut availability = backend.availability().clone();
    availability.wait(cx.clock.now(), rank)
}

/// Checks whether the server's limit admits a request, as [`admit`] does, without counting it. Returns
/// whether some of such requests are refused by a random draw, or by the issuer of permits.
///
/// # Errors
///
/// Returns a refusal if the limit admits none of them.
pub(super) fn would_draw(
    cx: &Shared,
    request: &RoutedRequest,
    backend: &Backend,
) -> Result<bool, Refusal> {
    let rank = request.view.rank(&request.route);
    let now = cx.clock.now();
    let mut availability = backend.availability().clone();
    let need = availability.permit_need(now);
    let is_cold = matches!(need, PermitNeed::Cold(_));
    // The lowest chance is always among the drawn ones, and the highest one only if all are.
    let mut lowest = availability.rate_limit.clone();
    lowest.try_take(now, rank, 0.0).map_err(|wait| refusal(wait, is_cold))?;
    match availability.permit_wait(now) {
        Millis::ZERO => {}
        wait => return Err(refusal(wait, is_cold)),
    }
    Ok(need != PermitNeed::None || availability.rate_limit.try_take(now, rank, 1.0).is_err())
}

/// Checks whether the server's limits admit a request. What it takes from them is taken after there is a permit.
///
/// # Errors
///
/// Returns a refusal if a limit does not admit the request.
pub(super) fn admit(
    cx: &Shared,
    request: &RoutedRequest,
    backend: &Backend,
) -> Result<(), Refusal> {
    let (now, rank) = (cx.clock.now(), request.view.rank(&request.route));
    let mut availability = backend.availability();
    let is_cold = matches!(availability.permit_need(now), PermitNeed::Cold(_));
    let named = match is_cold {
        // Few requests get a permit, so the draw is left until there is one.
        true => Ok(()),
        false => availability.rate_limit.admit(now, rank, fastrand::f64()),
    };
    named.map_err(|wait| refusal(wait, is_cold))?;
    match availability.limit_wait(now, rank) {
        Millis::ZERO => Ok(()),
        wait => {
            if is_cold {
                count_limited(cx, request);
            }
            Err(refusal(wait, is_cold))
        }
    }
}

/// Gets the permit of a request that [`admit`] has admitted, if it needs one. To a server that is not cold, a
/// request goes without one if no issuer answers.
///
/// # Errors
///
/// Returns a refusal if there is none.
pub(super) async fn obtain_permit(
    cx: &Arc<Shared>,
    request: &RoutedRequest,
    backend: &Arc<Backend>,
) -> Result<Option<Permit>, Refusal> {
    let now = cx.clock.now();
    let left = request.deadline.since(now);
    let max_wait = match (backend.availability().permit_need(now), request.key) {
        (PermitNeed::None, _) => return Ok(None),
        (PermitNeed::Cold(_), Some(_)) => PERMIT_WAIT.min(left),
        (PermitNeed::Cold(_), None) => SPARE_PERMIT_WAIT.min(left),
        // Some time is left to send it without a permit.
        (PermitNeed::Limit(_), _) => SPARE_PERMIT_WAIT.min(Millis(left.0 / 2)),
    };
    let rank = request.view.rank(&request.route);
    let permit = cx.obtain_permit(backend, rank, max_wait).await;
    let now = cx.clock.now();
    let mut availability = backend.availability();
    match (permit, availability.permit_need(now)) {
        (Ok(permit), PermitNeed::Cold(_)) => {
            let taken = availability.rate_limit.try_take(now, rank, fastrand::f64());
            taken.map_err(|wait| refusal(wait, false))?;
            Ok(Some(permit))
        }
        (Ok(permit), _) => {
            availability.rate_limit.on_sent();
            Ok(Some(permit))
        }
        (Err(_), PermitNeed::None) => Ok(None),
        (Err(no_permit), PermitNeed::Cold(until)) => {
            count_limited(cx, request);
            Err(refusal(no_permit.wait().min(until.since(now)), true))
        }
        (Err(NoPermit::Denied(wait)), PermitNeed::Limit(_)) => Err(refusal(wait, false)),
        (Err(NoPermit::Unanswered(_)), PermitNeed::Limit(_)) => {
            match availability.rate_limit.wait(now, rank) {
                Millis::ZERO => {
                    availability.rate_limit.on_sent();
                    Ok(None)
                }
                wait => Err(refusal(wait, false)),
            }
        }
    }
}

/// Checks whether a request may be sent, right before its first byte is written. Logs it if the server is cold.
///
/// # Errors
///
/// Returns an error if a later process that needs permits is known under the server's id, or the permit that is
/// needed can't be used.
pub(super) fn check_send(
    cx: &Shared,
    request: &RoutedRequest,
    backend: &Backend,
    permit: Option<Permit>,
) -> Result<(), CallError> {
    let now = cx.clock.now();
    let view = cx.view.load();
    let latest = view.as_ref().and_then(|view| view.backends.get(&backend.incarnation.id));
    let replaced_by = latest.filter(|latest| latest.short_id != backend.short_id);
    if replaced_by.is_some_and(|latest| latest.availability().permit_need(now) != PermitNeed::None)
    {
        return Err(CallError::Replaced);
    }
    let need = backend.availability().permit_need(now);
    let usable = permit.filter(|permit| permit.is_usable(now));
    let (cold_until, permit) = match (need, usable) {
        (PermitNeed::None, _) => return Ok(()),
        (PermitNeed::Limit(_), _) if permit.is_none() || usable.is_some() => return Ok(()),
        (PermitNeed::Cold(until), Some(permit)) => (until, permit),
        (PermitNeed::Limit(_), _) => return Err(CallError::NotPermitted),
        (PermitNeed::Cold(_), None) => {
            cx.metrics.on_warm_up_limit("without-permit");
            return Err(CallError::NotPermitted);
        }
    };
    let (id, incarnation) = (request.id_text(), &backend.incarnation);
    let text = format_args!(
        "request={id} server={} started={} key={} handed_over={} left_ms={} waited_ms={} \
         asked_ms={} issuer={}",
        incarnation.id,
        incarnation.started_at,
        request.key.map_or(-1, i32::from),
        request.is_handed_over,
        cold_until.since(now).0,
        permit.asked_at().since(request.arrived).0,
        now.since(permit.asked_at()).0,
        cx.permit_issuer_text(),
    );
    report(Event::ColdServerUsed, text);
    Ok(())
}

/// Returns the refusal of a request whose permit could not be used any more when it was to be sent.
pub(super) fn not_permitted(cx: &Shared, backend: &Backend) -> Refusal {
    let need = backend.availability().permit_need(cx.clock.now());
    refusal(MIN_RETRY_AFTER, matches!(need, PermitNeed::Cold(_)))
}

fn count_limited(cx: &Shared, request: &RoutedRequest) {
    let limited = if request.key.is_some() { "refused" } else { "diverted" };
    cx.metrics.on_warm_up_limit(limited);
}

/// Returns the refusal of a request that may come back after `wait`. `is_cold` is whether the server is
/// warming up.
pub(super) fn refusal(wait: Millis, is_cold: bool) -> Refusal {
    let reason = match is_cold {
        true => "the server is warming up, and takes few requests",
        false => "the server's limit on its request rate is reached",
    };
    Refusal::new(RefusalKind::Overloaded, reason).with_expected_wait(wait).with_retry_after(wait)
}
