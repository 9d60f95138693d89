//! A single attempt to run a request on a server.

use {
    crate::{
        connection::{
            Backend, CallError, ExchangeProgress, ExpectedResponse, IdHeaders, ReceivedResponse,
        },
        process::Shared,
        request::{
            forward::RoutedRequest,
            rate_limit,
            statements::{Absence, observe_statements},
        },
    },
    http::{HeaderValue, header::CONTENT_ENCODING},
    oriolehoist_admission::{InFlightOutcome, InFlightRequest, Permit, RouteWork},
    oriolehoist_http1::encode_request,
    oriolehoist_log::{Event, report},
    oriolehoist_port::HttpResponse,
    oriolehoist_time::Millis,
    std::{io, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// The status of a request that reached a server that does not own its key, or another server than
/// the expected one.
pub(crate) const MISDIRECTED: u16 = 421;

/// If a caller leaves after waiting this long, the connection to the server may be silent. A server's
/// response takes longer only if it is overloaded.
const SILENCE_THRESHOLD: Millis = Millis(500);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// The server's complete response.
    Response(HttpResponse),
    /// The server is overloaded and did not run the request.
    Shed,
    /// The server did not run the request, in general because it does not own the key or is not the
    /// expected server.
    NotOwner,
    /// Another process has the server's address, and did not run the request.
    OtherServer,
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent, as the request has no permit that can be used, and needs one.
    NotPermitted,
    /// No complete and valid response arrived. The request may have run.
    NoResponse(&'static str),
    /// The deadline passed. The request may have run.
    TimedOut,
}

impl AttemptOutcome {
    /// Returns whether the server may have run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        match self {
            AttemptOutcome::Response(_)
            | AttemptOutcome::NoResponse(_)
            | AttemptOutcome::TimedOut => true,
            AttemptOutcome::Shed
            | AttemptOutcome::NotOwner
            | AttemptOutcome::OtherServer
            | AttemptOutcome::NotSent
            | AttemptOutcome::NotPermitted => false,
        }
    }
}

/// Counts a request as in flight at a server until it has ended, even if the caller disconnects.
struct InFlightGuard<'a> {
    backend: &'a Backend,
    work: &'a RouteWork,
    in_flight: InFlightRequest,
    outcome: InFlightOutcome,
    reported_load: Option<u32>,
    sent_at: Millis,
    /// Whether the attempt has ended. If not, the caller has left.
    has_ended: bool,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        if !self.has_ended && self.backend.elapsed_since(self.sent_at) >= SILENCE_THRESHOLD {
            self.backend.close_silent(self.sent_at);
        }
        let ratio = self.backend.on_completed(self.in_flight, self.outcome, self.reported_load);
        if let Some(ratio) = ratio {
            self.work.record(ratio);
        }
    }
}

/// Sends a request to a server and waits for the complete response until the request's deadline. If the
/// server is cold, the request is sent only with a permit that can be used.
pub(crate) async fn send_attempt(
    cx: &Arc<Shared>,
    request: &RoutedRequest,
    backend: &Backend,
    permit: Option<Permit>,
) -> AttemptOutcome {
    let _at_server = request.presence.enter_server().await;
    let now = cx.clock.now();
    let remaining = request.deadline.since(now);
    let names = cx.platform.header_names();
    let mut headers = request.headers.clone();
    headers.insert(names.deadline.clone(), HeaderValue::from(remaining.0));
    if let Ok(id) = HeaderValue::from_str(&backend.incarnation.id) {
        headers.insert(names.expected_server.clone(), id);
    }
    let message = encode_request(&request.method, &request.target, &headers, request.body.clone());
    let in_flight = backend.load_estimator().on_sent(now);
    let mut guard = InFlightGuard {
        backend,
        work: &request.work,
        in_flight,
        outcome: InFlightOutcome::Inconclusive,
        reported_load: None,
        sent_at: now,
        has_ended: false,
    };
    let mut progress = ExchangeProgress::default();
    let expected = ExpectedResponse {
        headers: IdHeaders { id: &names.request_id, not_run: &names.not_run },
        id: Some(&request.id),
        may_be_unnamed: false,
    };
    let check = || rate_limit::check_send(cx, request, backend, permit);
    let sending = backend.send(&request.method, message, expected, &mut progress, check);
    let result = timeout(Duration::from(remaining), sending).await;
    let result = result.unwrap_or(Err(CallError::TimedOut));
    guard.has_ended = true;
    log_exchange(cx, request, backend, now, &progress, &result);
    match &result {
        // Another process may have the address.
        Ok(received) if received.response.status == MISDIRECTED => {}
        Ok(_) => cx.on_server_answered(backend),
        Err(error) => cx.on_server_call_failed(backend, now, error),
    }
    match result {
        Ok(received) => {
            let response = received.response;
            let status = response.status;
            let load = cx.platform.decode_server_load(&response.headers);
            guard.reported_load = load.map(|load| load.requests());
            if let Some(load) = load {
                backend.on_slowdown(load.slowdown());
            }
            if load.is_some_and(|load| load.work_percent.is_some()) {
                backend.on_probes_supported();
            }
            let absence =
                if response.headers.contains_key(&cx.platform.header_names().response_signature) {
                    Absence::EndsLimit
                } else {
                    Absence::SaysNothing
                };
            // A misdirected request may have reached another process.
            if status != MISDIRECTED {
                observe_statements(cx, backend, now, &response, absence, "response");
            }
            let outcome = match classify_response(cx, response) {
                // Without a key, a server rejects only requests that are meant for another one.
                AttemptOutcome::NotOwner if request.key.is_none() && status == MISDIRECTED => {
                    backend.on_address_reused();
                    AttemptOutcome::OtherServer
                }
                outcome => outcome,
            };
            guard.outcome = match &outcome {
                AttemptOutcome::Response(_) => InFlightOutcome::Answered,
                AttemptOutcome::Shed => InFlightOutcome::Shed,
                _ => InFlightOutcome::Inconclusive,
            };
            outcome
        }
        Err(CallError::TimedOut) if progress.may_be_sent => {
            guard.outcome = InFlightOutcome::Lost;
            backend.close_silent(now);
            AttemptOutcome::TimedOut
        }
        Err(CallError::Unwanted | CallError::Replaced) => AttemptOutcome::NotSent,
        Err(CallError::NotPermitted) => AttemptOutcome::NotPermitted,
        // A server resets connections when it has too many, so this counts as overload.
        Err(error) if !progress.may_be_sent => {
            if was_rejected(&error) {
                guard.outcome = InFlightOutcome::Shed;
            }
            AttemptOutcome::NotSent
        }
        // The sent data was not acknowledged in time.
        Err(CallError::Io(error)) if error.kind() == io::ErrorKind::TimedOut => {
            backend.close_silent(now);
            AttemptOutcome::NoResponse("the connection is silent")
        }
        // A server that does so gets no other request for a short time, as if it were full.
        Err(CallError::Endless(reason)) => {
            guard.outcome = InFlightOutcome::Shed;
            let server = &backend.incarnation.id;
            let text = format_args!("server={server} error=\"{reason}\"");
            report(Event::ResponseEndless, text);
            cx.metrics.on_endless_response();
            AttemptOutcome::NoResponse(reason)
        }
        Err(CallError::InvalidResponse(reason)) => AttemptOutcome::NoResponse(reason),
        Err(_) => AttemptOutcome::NoResponse("the connection failed"),
    }
}

/// Logs responses that were skipped, and refusals with the connections that they came on.
fn log_exchange(
    cx: &Shared,
    request: &RoutedRequest,
    backend: &Backend,
    sent_at: Millis,
    progress: &ExchangeProgress,
    result: &Result<ReceivedResponse, CallError>,
) {
    let (id, server) = (request.id_text(), &backend.incarnation.id);
    let ExchangeProgress { skipped, connection, earlier_requests, .. } = progress;
    if *skipped > 0 {
        cx.metrics.on_unexpected_responses("request", *skipped);
        let to = backend.address;
        let text = format_args!(
            "to={to} connection={connection} skipped={skipped} request={id} server={server}"
        );
        report(Event::ResponseUnexpected, text);
    }
    let Ok(ReceivedResponse { response, .. }) = result else { return };
    if response.headers.contains_key(&cx.platform.header_names().not_run) {
        let (status, took) = (response.status, cx.clock.now().since(sent_at).0);
        let text = format_args!(
            "request={id} server={server} status={status} connection={connection} \
             earlier_requests={earlier_requests} took_ms={took}"
        );
        report(Event::AttemptRefused, text);
    }
}

/// Returns whether the server, or something before it, did not accept the connection.
fn was_rejected(error: &CallError) -> bool {
    matches!(error, CallError::Connect(error) if error.kind() != io::ErrorKind::TimedOut)
}

/// Distinguishes responses of the server's own program from refusals, and from invalid responses.
fn classify_response(cx: &Shared, response: HttpResponse) -> AttemptOutcome {
    let names = cx.platform.header_names();
    let not_run = response.headers.contains_key(&names.not_run);
    let success = (200..300).contains(&response.status);
    let signed = response.headers.contains_key(&names.response_signature);
    match response.status {
        MISDIRECTED => AttemptOutcome::NotOwner,
        429 | 503 if not_run => AttemptOutcome::Shed,
        _ if not_run => AttemptOutcome::NotOwner,
        _ if success && !signed => {
            AttemptOutcome::NoResponse("the successful response is not signed")
        }
        _ if success && response.headers.contains_key(CONTENT_ENCODING) => {
            AttemptOutcome::NoResponse("the response body has a content encoding")
        }
        // To the caller these statuses would promise that the request has not run, but the server
        // did not say so.
        408 | 429 | 503 => {
            AttemptOutcome::NoResponse("the server did not say whether the request has run")
        }
        _ => AttemptOutcome::Response(response),
    }
}
