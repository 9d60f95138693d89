use {
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, header::RETRY_AFTER},
    oriolehoist_port::HttpResponse,
    oriolehoist_refusal::{RetryAdvice, RunState},
};

pub(crate) use oriolehoist_forwarding::Refusal;

/// The final response to a caller.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The maximum random extension of the retry advice, as a fraction of it, so that callers don't all
/// retry at the same time.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// Returns the HTTP status of a refusal. On this platform, the statuses 429 and 503 promise that the
/// request has not run, but 502 and 504 do not, and a 422 would be taken for the server's own response.
/// A request that has not run gets a 503 instead of one of these three.
pub(super) fn status(refusal: &Refusal) -> u16 {
    let template = refusal.kind.response();
    match (template.run_state, template.status) {
        (RunState::NotRun, 422 | 502 | 504) => 503,
        (_, status) => status,
    }
}

impl From<&Refusal> for CallerResponse {
    fn from(refusal: &Refusal) -> CallerResponse {
        let mut response = CallerResponse::with_status(status(refusal));
        let default = match refusal.kind.response().retry_advice {
            RetryAdvice::After(after) => Some(after),
            RetryAdvice::Never => None,
        };
        if let Some(after) = refusal.retry_after.or(default) {
            let jitter = 1.0 + fastrand::f64() * RETRY_AFTER_JITTER;
            let seconds = after.0 as f64 * jitter / 1000.0;
            if let Ok(value) = HeaderValue::try_from(format!("{seconds:.3}")) {
                response.headers.insert(RETRY_AFTER, value);
            }
        }
        response.body = Bytes::from(refusal.kind.response().text);
        response
    }
}

impl CallerResponse {
    pub(crate) fn with_status(status: u16) -> CallerResponse {
        CallerResponse { status, headers: HeaderMap::new(), body: Bytes::new() }
    }
}

impl From<HttpResponse> for CallerResponse {
    fn from(response: HttpResponse) -> CallerResponse {
        CallerResponse { status: response.status, headers: response.headers, body: response.body }
    }
}
