//! Load probes: a server is asked for its load before a request is sent there.

use {
    crate::{
        connection::{Backend, CallError, ExpectedResponse, IdHeaders, ProbeRun},
        process::{LoadPeers, Shared},
        request::{
            exchange::MISDIRECTED,
            forward::RoutedRequest,
            select::{AnyServer, Candidate},
            statements::{Absence, observe_statements},
        },
    },
    oriolehoist_admission::{PROBE_TIMEOUT, ProbeAllowance, ProbeEnd, ProbeStep, ProbeTarget},
    oriolehoist_log::{Event, report},
    oriolehoist_time::Millis,
    std::{io::ErrorKind, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Returns whether loads are so old in this fleet that servers are probed: they come by way of relays.
pub(super) fn uses_load_probes(cx: &Shared) -> bool {
    matches!(&*cx.load_peers(), LoadPeers::Relayed { .. })
}

/// Returns how many times the mean service time of a server a request is expected to run there. Without
/// load probes, expected latencies are too rough for the difference.
pub(super) fn work_factor(cx: &Shared, request: &RoutedRequest, server: &Backend) -> f64 {
    match uses_load_probes(cx) && server.answers_probes() {
        true => request.work.factor(),
        false => 1.0,
    }
}

/// Probes the owner of a request's key if that is due. Returns whether it was probed.
pub(super) async fn probe_owner(
    cx: &Arc<Shared>,
    request: &RoutedRequest,
    owner: &Arc<Backend>,
    allowance: &mut ProbeAllowance,
) -> bool {
    let now = cx.clock.now();
    if !uses_load_probes(cx) || !is_due(cx, request, owner, now) {
        return false;
    }
    let Some(wait) = allowance.take(now) else { return false };
    probe(cx, request, owner, wait).await;
    true
}

/// Probes the best servers of a sample until the load of the best one is known, and returns that one.
/// Returns `None` if no server is left: they have said that they want no requests.
pub(super) async fn probe_sample(
    cx: &Arc<Shared>,
    request: &RoutedRequest,
    mut any: AnyServer,
    allowance: &mut ProbeAllowance,
) -> Option<Arc<Backend>> {
    loop {
        let now = cx.clock.now();
        let options = any.servers.iter().map(|server| Candidate { cx, request, server, now });
        let options: Vec<Candidate> = options.collect();
        let is_due = |index: usize| is_due(cx, request, &any.servers[index], now);
        match any.sample.next_step(now, &options, allowance, is_due)? {
            ProbeStep::Send(index) => return Some(Arc::clone(&any.servers[index])),
            ProbeStep::Probe(index, wait) => {
                let server = &any.servers[index];
                let answered = probe(cx, request, server, wait).await == ProbeEnd::Answered;
                match answered {
                    _ if target(cx, server, cx.clock.now()).is_excluded => {
                        any.sample.exclude(index);
                    }
                    true => {}
                    false => any.sample.on_unanswered(index),
                }
            }
        }
    }
}

fn is_due(cx: &Shared, request: &RoutedRequest, server: &Backend, now: Millis) -> bool {
    let has_path = health_path(request).is_some();
    has_path && server.is_probe_due(now, request.key.is_some(), || target(cx, server, now))
}

/// Returns the path of the health check of the request's service, if it has one.
fn health_path(request: &RoutedRequest) -> Option<&str> {
    let spec = request.view.config.services.get(&request.service)?;
    Some(spec.health_path.as_str()).filter(|path| !path.is_empty())
}

fn target(cx: &Shared, server: &Backend, now: Millis) -> ProbeTarget {
    let estimator = server.load_estimator();
    let (report_age, is_half_used) = (estimator.report_age(now), estimator.is_half_used(now));
    drop(estimator);
    let availability = server.availability();
    // A server with a limit on its request rate counts health checks as well.
    let is_limited = availability.limit(now).is_some();
    let is_cold = availability.warm_up.cold_until(now).is_some();
    let is_leaving = availability.leaving_for(now).is_some() || server.draining_for(now).is_some();
    drop(availability);
    let is_excluded = is_limited
        || is_cold
        || is_leaving
        || !server.admits_requests()
        || server.is_address_reused(now)
        || server.is_at_connection_limit()
        || cx.paths().is_lost(server.short_id);
    ProbeTarget { report_age, is_excluded, is_half_used }
}

/// Waits for the end of a new probe, or of the one that another request has started, at most `max_wait`.
async fn probe(
    cx: &Arc<Shared>,
    request: &RoutedRequest,
    server: &Arc<Backend>,
    max_wait: Millis,
) -> ProbeEnd {
    let mut receiver = match server.start_probe() {
        ProbeRun::Running(receiver) => receiver,
        ProbeRun::New(sender, receiver) => {
            let path = health_path(request).unwrap_or_default().to_owned();
            let (cx, server) = (Arc::clone(cx), Arc::clone(server));
            // The probe goes on if the caller of this request leaves, as others may wait for it.
            tokio::spawn(async move {
                let end = run(&cx, &server, &path).await;
                // Fails only if nobody waits any more.
                let _ = sender.send(Some(end));
            });
            receiver
        }
    };
    let ended = timeout(Duration::from(max_wait), receiver.wait_for(Option::is_some)).await;
    match ended {
        Ok(Ok(end)) => end.unwrap_or(ProbeEnd::Failed),
        Ok(Err(_)) => ProbeEnd::Failed,
        Err(_) => ProbeEnd::TimedOut,
    }
}

/// Sends a probe and records what the response says.
async fn run(cx: &Shared, server: &Backend, path: &str) -> ProbeEnd {
    let started_at = cx.clock.now();
    if cx.metrics.on_probed_service(&server.service) {
        report(Event::LoadProbesUsed, format_args!("service={}", server.service));
    }
    let names = cx.platform.header_names();
    let headers = IdHeaders { id: &names.request_id, not_run: &names.not_run };
    let expected = ExpectedResponse { headers, id: None, may_be_unnamed: true };
    // Dropping a probe that took too long closes its connection.
    let sending = timeout(Duration::from(PROBE_TIMEOUT), server.probe_load(path, expected));
    let end = match sending.await.unwrap_or(Err(CallError::TimedOut)) {
        Ok((received, connection)) => {
            let end = accept(cx, server, started_at, &received.response);
            if end == ProbeEnd::Answered && received.reusable {
                server.release(connection, received.keep_alive_secs);
            }
            end
        }
        Err(CallError::TimedOut) => ProbeEnd::TimedOut,
        Err(error) => {
            // A full server resets connections, which says nothing about the path to it.
            let is_reset = matches!(
                &error, CallError::Connect(error) if error.kind() == ErrorKind::ConnectionReset
            );
            if !is_reset {
                cx.on_server_call_failed(server, started_at, &error);
            }
            ProbeEnd::Failed
        }
    };
    cx.metrics.on_load_probe(end);
    if server.on_probe_end(end) {
        let (id, service) = (&server.incarnation.id, &server.service);
        report(Event::LoadProbesUnanswered, format_args!("server={id} service={service}"));
    }
    end
}

/// Records what the response to a probe says, if it is one, and comes from the server.
fn accept(
    cx: &Shared,
    server: &Backend,
    started_at: Millis,
    response: &oriolehoist_port::HttpResponse,
) -> ProbeEnd {
    let headers = &response.headers;
    let names = cx.platform.header_names();
    let is_from_server =
        cx.platform.decode_peer_name(headers) == Some(server.incarnation.id.clone());
    if !is_from_server || headers.contains_key(&names.request_id) || response.status == MISDIRECTED
    {
        return ProbeEnd::Foreign;
    }
    cx.on_server_answered(server);
    observe_statements(cx, server, started_at, response, Absence::SaysNothing, "load-probe");
    let is_success = (200..300).contains(&response.status) && !headers.contains_key(&names.not_run);
    let load = cx.platform.decode_server_load(headers).filter(|_| is_success);
    let Some(load) = load else { return ProbeEnd::Failed };
    let now = cx.clock.now();
    let mut estimator = server.load_estimator();
    let before = estimator.expected_latency(now);
    if load.work_percent.is_some() {
        estimator.on_slowdown(now, load.slowdown());
    }
    estimator.on_probed(now, load.requests());
    let after = estimator.expected_latency(now);
    drop(estimator);
    cx.metrics.on_load_probe_correction(before.since(after).max(after.since(before)));
    ProbeEnd::Answered
}
