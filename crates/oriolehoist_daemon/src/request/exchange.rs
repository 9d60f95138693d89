//! One exchange with a backend server.

use {
    crate::{
        connection::Backend,
        process::Shared,
        request::{parse::Parsed, route::Destination},
    },
    axum::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header},
    bytes::{Bytes, BytesMut},
    oriolehoist_protocol::{
        ATTEMPT, CLASS, DEADLINE_MS, EPOCH, EXCHANGE, INCARNATION, Incarnation, KEY, NOT_RUN,
        REQUEST_ID, SHARD, WORKSPACE,
    },
    oriolehoist_time::Millis,
    reqwest::Response,
    std::time::Duration,
};

/// How an exchange ended.
#[derive(Debug)]
pub(crate) enum Exchanged {
    /// The whole answer.
    Whole(Answer),
    /// The server refused before running.
    NotRun(NotRun),
    /// No byte of the request reached the server.
    NotSent,
    /// The request was sent, and no answer came in time.
    Silent,
    /// The request was sent, and the connection or the answer broke.
    Broken,
    /// The answer is larger than allowed.
    TooLarge,
}

/// Why a server refused before running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRun {
    /// It has no room at the moment.
    Shed,
    /// It does not hold the grant, or takes no new work.
    NotOwner,
}

/// A server's whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Sends a request and waits for the whole answer, for at most `patience`.
pub(crate) async fn exchange(
    cx: &Shared,
    parsed: &Parsed,
    body: Bytes,
    to: &Destination,
    patience: Millis,
) -> Exchanged {
    let backend = &to.backend;
    let pooled = backend.pool.client();
    let name = cx.next_exchange();
    let left = parsed.deadline.since(cx.clock.now());
    let request = pooled
        .client
        .request(parsed.method.clone(), format!("http://{}{}", backend.address, parsed.path))
        .headers(headers(parsed, to, &name, left))
        .timeout(Duration::from(patience))
        .body(body);
    let exchanged = match request.send().await {
        Ok(response) => receive(backend, parsed, &name, response).await,
        Err(error) if error.is_connect() => Exchanged::NotSent,
        Err(error) if error.is_builder() => Exchanged::NotSent,
        Err(error) if error.is_timeout() => Exchanged::Silent,
        Err(_) => Exchanged::Broken,
    };
    match exchanged {
        Exchanged::NotSent => backend.on_connect(false),
        Exchanged::Silent if backend.pool.retire(pooled.generation) => {
            let text = format_args!("{}", backend.name);
            crate::process::report(crate::process::Event::ConnectionsRetired, text);
        }
        Exchanged::Whole(_) => backend.on_connect(true),
        _ => {}
    }
    exchanged
}

fn headers(parsed: &Parsed, to: &Destination, name: &str, left: Millis) -> HeaderMap {
    let mut headers: HeaderMap = end_to_end(&parsed.headers)
        .filter(|(name, _)| !name.as_str().starts_with("oriolehoist-"))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set(EXCHANGE, name);
    set(DEADLINE_MS, &left.0.to_string());
    set(CLASS, parsed.class.name());
    set(ATTEMPT, &parsed.attempt.to_string());
    if !parsed.tenant.is_empty() {
        set(WORKSPACE, &parsed.tenant);
    }
    if !parsed.request_id.is_empty() {
        set(REQUEST_ID, &parsed.request_id);
    }
    if let (Some(key), Some(shard), Some(epoch)) = (&parsed.key, parsed.shard, to.epoch) {
        set(KEY, key);
        set(SHARD, &shard.to_string());
        set(EPOCH, &epoch.to_string());
    }
    headers
}

/// Returns the headers that are not about one connection.
pub(crate) fn end_to_end(headers: &HeaderMap) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    const ONE_CONNECTION: [HeaderName; 8] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::HOST,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    headers.iter().filter(|(name, _)| !ONE_CONNECTION.contains(name))
}

async fn receive(backend: &Backend, parsed: &Parsed, name: &str, response: Response) -> Exchanged {
    let status = response.status();
    let headers = response.headers().clone();
    if let Some(incarnation) = incarnation_of(&headers) {
        backend.on_incarnation(incarnation);
    }
    if headers.get(EXCHANGE).is_some_and(|echo| echo.as_bytes() != name.as_bytes()) {
        // The answer is to another request.
        return Exchanged::Broken;
    }
    match headers.get(NOT_RUN).map(HeaderValue::as_bytes) {
        Some(b"shed") => return Exchanged::NotRun(NotRun::Shed),
        Some(b"grant" | b"draining") => return Exchanged::NotRun(NotRun::NotOwner),
        _ => {}
    }
    if !has_known_end(&parsed.method, status, &headers) {
        // Nothing would tell a whole answer from one that was cut short.
        return Exchanged::Broken;
    }
    let most = usize::try_from(parsed.policy.max_answer_bytes).unwrap_or(usize::MAX);
    match read(response, most).await {
        Ok(Some(body)) => Exchanged::Whole(Answer { status, headers, body }),
        Ok(None) => Exchanged::TooLarge,
        Err(error) if error.is_timeout() => Exchanged::Silent,
        Err(_) => Exchanged::Broken,
    }
}

/// Returns the incarnation that a server's answer carries.
pub(crate) fn incarnation_of(headers: &HeaderMap) -> Option<Incarnation> {
    headers.get(INCARNATION)?.to_str().ok()?.parse().ok().map(Incarnation)
}

fn has_known_end(method: &Method, status: StatusCode, headers: &HeaderMap) -> bool {
    let bodiless = *method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED;
    bodiless
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Reads a body of at most `most` bytes; `None` if it is larger.
async fn read(mut response: Response, most: usize) -> Result<Option<Bytes>, reqwest::Error> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await? {
        if body.len() + chunk.len() > most {
            return Ok(None);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(Some(body.freeze()))
}
