use {
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, header::RETRY_AFTER},
    oriolehoist_port::HttpResponse,
    oriolehoist_refusal::{RefusalKind, RetryAdvice, RunState},
    oriolehoist_time::Millis,
};

/// The final response to a caller.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why a request is refused, and when to retry it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) kind: RefusalKind,
    /// The check that refused the request, for the log.
    pub(crate) reason: &'static str,
    /// The expected queueing time, if it was the reason.
    pub(crate) expected_wait: Option<Millis>,
    /// When to retry. If unset, the default of the refusal kind applies.
    pub(crate) retry_after: Option<Millis>,
}

/// The maximum random extension of the retry advice, as a fraction of it, so that callers don't all
/// retry at the same time.
const RETRY_AFTER_JITTER: f64 = 0.5;

impl Refusal {
    pub(crate) fn new(kind: RefusalKind, reason: &'static str) -> Refusal {
        Refusal { kind, reason, expected_wait: None, retry_after: None }
    }

    pub(crate) fn with_retry_after(self, after: Millis) -> Refusal {
        Refusal { retry_after: Some(after), ..self }
    }

    pub(crate) fn with_expected_wait(self, expected_wait: Millis) -> Refusal {
        Refusal { expected_wait: Some(expected_wait), ..self }
    }

    /// Returns the HTTP status. On this platform, the statuses 429 and 503 promise that the request
    /// has not run, but 502 and 504 do not, and a 422 would be taken for the server's own response.
    /// A request that has not run gets a 503 instead of one of these three.
    pub(crate) fn status(&self) -> u16 {
        let template = self.kind.response();
        match (template.run_state, template.status) {
            (RunState::NotRun, 422 | 502 | 504) => 503,
            (_, status) => status,
        }
    }

    pub(crate) fn caller_response(&self) -> CallerResponse {
        let mut response = CallerResponse::with_status(self.status());
        let default = match self.kind.response().retry_advice {
            RetryAdvice::After(after) => Some(after),
            RetryAdvice::Never => None,
        };
        if let Some(after) = self.retry_after.or(default) {
            let jitter = 1.0 + fastrand::f64() * RETRY_AFTER_JITTER;
            let seconds = after.0 as f64 * jitter / 1000.0;
            if let Ok(value) = HeaderValue::try_from(format!("{seconds:.3}")) {
                response.headers.insert(RETRY_AFTER, value);
            }
        }
        response.body = Bytes::from(self.kind.response().text);
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
