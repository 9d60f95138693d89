//! What servers say in their responses about the requests that they take.

use {
    crate::{connection::Backend, control::OrDash, process::Shared},
    oriolehoist_admission::GroupReport,
    oriolehoist_log::{Event, report},
    oriolehoist_port::{DecodeError, HttpResponse},
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

/// Records what the response to a request, an order or a health check, sent at `sent_at`, says about
/// the requests that the server takes. `source` is named in the log.
pub(crate) fn observe_statements(
    cx: &Shared,
    backend: &Backend,
    sent_at: Millis,
    response: &HttpResponse,
    absence: Absence,
    source: &str,
) {
    let statements = cx.platform.decode_statements(response.status, &response.headers);
    let now = cx.clock.now();
    let server = &backend.incarnation.id;
    let is_news = |error: &DecodeError| backend.on_malformed_statement(error);
    match statements.rate_limit {
        Ok(None) if absence == Absence::SaysNothing => {}
        Ok(limit) => {
            if backend.availability().rate_limit.on_response(now, sent_at, limit) {
                log_limit(cx, backend, limit, source);
            }
        }
        Err(error) if is_news(&error) => {
            cx.metrics.on_server_limit("malformed");
            let text = format_args!("server={server} from={source} error=\"{error}\"");
            report(Event::ServerLimitMalformed, text);
        }
        Err(_) => {}
    }
    let log_malformed = |error: DecodeError| {
        if is_news(&error) {
            cx.metrics.on_server_statement("malformed");
            let text = format_args!("server={server} from={source} error=\"{error}\"");
            report(Event::ServerStatementMalformed, text);
        }
    };
    match statements.leaving {
        Ok(true) if backend.availability().on_leaving(now) => {
            cx.metrics.on_server_statement("leaving");
            report(Event::ServerLeaving, format_args!("server={server} from={source}"));
        }
        Ok(_) => {}
        Err(error) => log_malformed(error),
    }
    match statements.warm_up {
        Ok(Some(remaining)) => {
            let event = fastrand::u32(..);
            backend.availability().warm_up.on_statement(now, sent_at, remaining, event);
        }
        Ok(None) => {}
        Err(error) if is_news(&error) => {
            let text = format_args!("server={server} from={source} error=\"{error}\"");
            report(Event::WarmUpMalformed, text);
        }
        Err(_) => {}
    }
    match statements.come_back_after {
        Ok(Some(pause)) if backend.availability().on_pause(now, pause) => {
            cx.metrics.on_server_statement("paused");
            let millis = pause.0;
            report(Event::ServerPaused, format_args!("server={server} pause_ms={millis}"));
        }
        Ok(_) => {}
        Err(error) => log_malformed(error),
    }
}

/// Records what another daemon reports about a server's limit.
pub(crate) fn observe_report(cx: &Shared, backend: &Backend, from: SocketAddr, group: GroupReport) {
    if backend.availability().rate_limit.on_group_report(cx.clock.now(), from, group) {
        log_limit(cx, backend, group.report.limit, &from.ip().to_string());
    }
}

fn log_limit(cx: &Shared, backend: &Backend, limit: Option<f64>, source: &str) {
    cx.metrics.on_server_limit(if limit.is_some() { "set" } else { "ended" });
    let (server, limit) = (&backend.incarnation.id, OrDash(limit));
    report(Event::ServerLimit, format_args!("server={server} limit={limit} from={source}"));
}
