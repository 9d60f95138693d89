//! One exchange with a backend server: a request and its response.

use {
    crate::{
        connection::Backend,
        process::DaemonContext,
        request::{parse::ParsedRequest, route::Destination},
    },
    axum::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header},
    bytes::{Bytes, BytesMut},
    oriolehoist_http1::BodyMemory,
    oriolehoist_protocol::{
        ATTEMPT, CLASS, DEADLINE_MS, EPOCH, EXCHANGE, INCARNATION, Incarnation, KEY, NOT_RUN,
        REQUEST_ID, SERVICE, SHARD, WORKSPACE,
    },
    oriolehoist_time::Millis,
    reqwest::Response,
    std::time::Duration,
};

/// How an exchange ended.
#[derive(Debug)]
pub(crate) enum ExchangeOutcome {
    /// The complete response was received.
    Complete(ServerResponse),
    /// The server refused the request before running it.
    NotRun(NotRun),
    /// The request was not sent: no connection could be opened, or it could not be built.
    NotSent,
    /// The request was sent, and the response did not complete in time.
    TimedOut,
    /// The request was sent, and the connection broke or the response was unusable.
    Interrupted,
    /// The response is larger than the policy allows.
    TooLarge,
}

/// Why a server refused a request before running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// It shed the request, since it has no free slot.
    Shed,
    /// It does not hold a grant for the shard, accepts no new requests or belongs to another
    /// service.
    NotOwner,
}

/// A server's complete response.
#[derive(Debug)]
pub(crate) struct ServerResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Sends a request and waits at most `timeout` for the complete response.
pub(crate) async fn exchange(
    cx: &DaemonContext,
    parsed: &ParsedRequest,
    body: Bytes,
    destination: &Destination,
    timeout: Millis,
) -> ExchangeOutcome {
    let backend = &destination.backend;
    let pooled = backend.pool.client();
    let exchange_id = cx.next_unique_id();
    let left = parsed.deadline.since(cx.clock.now());
    let request = pooled
        .client
        .request(parsed.method.clone(), format!("http://{}{}", backend.address, parsed.path))
        .headers(request_headers(parsed, destination, &exchange_id, left))
        .timeout(Duration::from(timeout))
        .body(body);
    let sent_at = cx.clock.now();
    let sent = request.send().await;
    match &sent {
        Ok(_) => cx.on_server_answered(backend.address),
        Err(error) => cx.on_server_call_failed(backend.address, sent_at, error),
    }
    let outcome = match sent {
        Ok(response) => receive_response(backend, parsed, &exchange_id, response).await,
        Err(error) if error.is_connect() => ExchangeOutcome::NotSent,
        Err(error) if error.is_builder() => ExchangeOutcome::NotSent,
        Err(error) if error.is_timeout() => ExchangeOutcome::TimedOut,
        Err(_) => ExchangeOutcome::Interrupted,
    };
    match outcome {
        ExchangeOutcome::NotSent => backend.on_connect(false),
        ExchangeOutcome::TimedOut if backend.pool.retire(pooled.generation) => {
            let text = format_args!(
                "server {}: no response in time; discarded its connections",
                backend.name
            );
            crate::process::report(crate::process::Event::ConnectionsRetired, text);
        }
        ExchangeOutcome::Complete(_) => backend.on_connect(true),
        _ => {}
    }
    outcome
}

/// Returns the headers of a request to a server: the caller's end-to-end headers, except any with
/// the prefix `oriolehoist-`, and those that this daemon sets.
fn request_headers(
    parsed: &ParsedRequest,
    destination: &Destination,
    exchange_id: &str,
    left: Millis,
) -> HeaderMap {
    let mut headers: HeaderMap = end_to_end(&parsed.headers)
        .filter(|(name, _)| !name.as_str().starts_with("oriolehoist-"))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(SERVICE, parsed.service.name.as_str());
    set(EXCHANGE, exchange_id);
    set(DEADLINE_MS, &left.0.to_string());
    set(CLASS, parsed.class.name());
    set(ATTEMPT, &parsed.caller_attempt.to_string());
    if !parsed.workspace.is_empty() {
        set(WORKSPACE, &parsed.workspace);
    }
    if !parsed.request_id.is_empty() {
        set(REQUEST_ID, &parsed.request_id);
    }
    if let (Some(key), Some(shard), Some(epoch)) = (&parsed.key, parsed.shard, destination.epoch) {
        set(KEY, key);
        set(SHARD, &shard.to_string());
        set(EPOCH, &epoch.to_string());
    }
    headers
}

/// Returns the end-to-end headers: those that a proxy forwards, unlike the hop-by-hop ones.
///
/// `Content-Length`, `Expect` and `Host` are left out as well, since each connection sets its own.
pub(crate) fn end_to_end(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    const HOP_BY_HOP: [HeaderName; 8] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::HOST,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    headers.iter().filter(|(name, _)| !HOP_BY_HOP.contains(name))
}

async fn receive_response(
    backend: &Backend,
    parsed: &ParsedRequest,
    exchange_id: &str,
    response: Response,
) -> ExchangeOutcome {
    let status = response.status();
    if status.is_informational() {
        // The server switches to a protocol that no request asked for.
        return ExchangeOutcome::Interrupted;
    }
    let headers = response.headers().clone();
    if let Some(incarnation) = incarnation_of(&headers) {
        backend.on_incarnation(incarnation);
    }
    if headers.get(EXCHANGE).map(HeaderValue::as_bytes) != Some(exchange_id.as_bytes()) {
        // The response belongs to another exchange, or may: servers can send a response once more.
        return ExchangeOutcome::Interrupted;
    }
    match headers.get(NOT_RUN).map(HeaderValue::as_bytes) {
        Some(b"shed") => return ExchangeOutcome::NotRun(NotRun::Shed),
        Some(b"grant" | b"draining" | b"service") => {
            return ExchangeOutcome::NotRun(NotRun::NotOwner);
        }
        _ => {}
    }
    if !has_delimited_body(&parsed.method, status, &headers) {
        // Without a declared length, a truncated response would look complete.
        return ExchangeOutcome::Interrupted;
    }
    let max_bytes = usize::try_from(parsed.policy.max_answer_bytes).unwrap_or(usize::MAX);
    match read_body(response, max_bytes).await {
        Ok(body) => ExchangeOutcome::Complete(ServerResponse { status, headers, body }),
        Err(BodyFailure::TooLarge) => ExchangeOutcome::TooLarge,
        Err(BodyFailure::Broken(error)) if error.is_timeout() => ExchangeOutcome::TimedOut,
        Err(BodyFailure::Broken(_) | BodyFailure::NoMemory) => ExchangeOutcome::Interrupted,
    }
}

/// Returns the incarnation that a server's response carries.
pub(crate) fn incarnation_of(headers: &HeaderMap) -> Option<Incarnation> {
    headers.get(INCARNATION)?.to_str().ok()?.parse().ok().map(Incarnation)
}

/// Returns whether the end of the response's body is known from its head.
fn has_delimited_body(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    has_no_body
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Why a body was not read.
enum BodyFailure {
    /// The connection broke, or the body did not arrive in time.
    Broken(reqwest::Error),
    /// It is larger than the policy allows.
    TooLarge,
    /// The bodies that are being received need too much memory.
    NoMemory,
}

/// Reads a body of at most `max_bytes` bytes.
async fn read_body(mut response: Response, max_bytes: usize) -> Result<Bytes, BodyFailure> {
    let (mut body, mut memory) = (BytesMut::new(), BodyMemory::default());
    while let Some(chunk) = response.chunk().await.map_err(BodyFailure::Broken)? {
        if body.len() + chunk.len() > max_bytes {
            return Err(BodyFailure::TooLarge);
        }
        body.extend_from_slice(&chunk);
        if !memory.grow_to(body.capacity()) {
            return Err(BodyFailure::NoMemory);
        }
    }
    Ok(memory.attach_to(body.freeze()))
}
