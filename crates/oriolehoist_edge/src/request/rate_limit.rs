//! Limits on the rate of requests that servers name in their responses.

use {
    crate::{
        connection::Backend,
        control::OrDash,
        process::Shared,
        request::{forward::RoutedRequest, refusal::Refusal},
    },
    http::HeaderMap,
    oriolehoist_admission::RateReport,
    oriolehoist_log::{Event, report},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    std::net::SocketAddr,
};

/// Whether a response without a limit shows that the server has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Absence {
    /// The server's own program has responded.
    EndsLimit,
    /// The response may be made by something in front of it, such as a full queue.
    SaysNothing,
}

/// Records what the response to a request or an order, sent at `sent_at`, says about the server's
/// limit. `source` is named in the log.
pub(crate) fn observe_response(
    cx: &Shared,
    backend: &Backend,
    sent_at: Millis,
    headers: &HeaderMap,
    absence: Absence,
    source: &str,
) {
    match cx.platform.decode_rate_limit(headers) {
        Ok(None) if absence == Absence::SaysNothing => {}
        Ok(limit) => {
            if backend.rate_limit().on_response(cx.clock.now(), sent_at, limit) {
                log_change(cx, backend, limit, source);
            }
        }
        Err(error) => {
            if backend.on_malformed_limit(&error) {
                cx.metrics.on_server_limit("malformed");
                let server = &backend.incarnation.id;
                let text = format_args!("server={server} from={source} error=\"{error}\"");
                report(Event::ServerLimitMalformed, text);
            }
        }
    }
}

/// Records what another daemon reports about a server's limit.
pub(crate) fn observe_report(cx: &Shared, backend: &Backend, from: SocketAddr, rate: RateReport) {
    if backend.rate_limit().on_report(cx.clock.now(), from, rate) {
        log_change(cx, backend, rate.limit, &from.ip().to_string());
    }
}

fn log_change(cx: &Shared, backend: &Backend, limit: Option<f64>, source: &str) {
    cx.metrics.on_server_limit(if limit.is_some() { "set" } else { "ended" });
    let (server, limit) = (&backend.incarnation.id, OrDash(limit));
    report(Event::ServerLimit, format_args!("server={server} limit={limit} from={source}"));
}

/// Returns how long a request has to wait until the server's limit admits it.
pub(super) fn wait(cx: &Shared, request: &RoutedRequest, backend: &Backend) -> Millis {
    let rank = request.view.rank(&request.route);
    backend.rate_limit().wait(cx.clock.now(), rank)
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
    let admitted = backend.rate_limit().try_take(cx.clock.now(), rank, fastrand::f64());
    admitted.map_err(refusal)
}

/// Returns the refusal of a request that may come back after `wait`.
pub(super) fn refusal(wait: Millis) -> Refusal {
    Refusal::new(RefusalKind::Overloaded, "the server's limit on its request rate is reached")
        .with_expected_wait(wait)
        .with_retry_after(wait)
}
