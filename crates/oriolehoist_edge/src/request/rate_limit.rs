//! Limits on the rate of requests that servers name in their responses.

use {
    crate::{
        connection::Backend,
        process::Shared,
        request::{forward::RoutedRequest, refusal::Refusal},
    },
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
};

/// Returns how long a request has to wait until the server takes it, as far as the server has said.
pub(super) fn wait(cx: &Shared, request: &RoutedRequest, backend: &Backend) -> Millis {
    let rank = request.view.rank(&request.route);
    backend.availability().wait(cx.clock.now(), rank)
}

/// Counts a request against the server's limit, right before it is sent.
///
/// # Errors
///
/// Returns a refusal if the limit does not admit the request.
pub(super) fn admit(
    cx: &Shared,
    request: &RoutedRequest,
    backend: &Backend,
) -> Result<(), Refusal> {
    let rank = request.view.rank(&request.route);
    let admitted =
        backend.availability().rate_limit.try_take(cx.clock.now(), rank, fastrand::f64());
    admitted.map_err(refusal)
}

/// Returns the refusal of a request that may come back after `wait`.
pub(super) fn refusal(wait: Millis) -> Refusal {
    Refusal::new(RefusalKind::Overloaded, "the server's limit on its request rate is reached")
        .with_expected_wait(wait)
        .with_retry_after(wait)
}
