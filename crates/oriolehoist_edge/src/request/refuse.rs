use {
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, header::RETRY_AFTER},
    oriolehoist_port::HttpResponse,
    oriolehoist_refusal::{RefusalKind, RetryAdvice, RunState},
    oriolehoist_time::Millis,
};

/// The final answer to a request.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why a request is refused, and when to come back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) kind: RefusalKind,
    /// Which check decided.
    pub(crate) rule: &'static str,
    /// How long the request would have had to wait, if that decided.
    pub(crate) wait: Option<Millis>,
    /// When there will be room; the kind's usual time if nothing better is known.
    pub(crate) come_back: Option<Millis>,
}

/// By how much of itself the time to come back is spread, so that callers don't return at once.
const COME_BACK_SPREAD: f64 = 0.5;

impl Refusal {
    pub(crate) fn new(kind: RefusalKind, rule: &'static str) -> Refusal {
        Refusal { kind, rule, wait: None, come_back: None }
    }

    pub(crate) fn come_back(self, after: Millis) -> Refusal {
        Refusal { come_back: Some(after), ..self }
    }

    pub(crate) fn wait(self, wait: Millis) -> Refusal {
        Refusal { wait: Some(wait), ..self }
    }

    /// Returns the status: on this platform 429 and 503 promise that the request has not run, and
    /// no other status does; 422 would be taken for the server's own.
    pub(crate) fn status(&self) -> u16 {
        let meaning = self.kind.response();
        match (meaning.run_state, meaning.status) {
            (RunState::NotRun, 422 | 502 | 504) => 503,
            (_, status) => status,
        }
    }

    pub(crate) fn reply(&self) -> Reply {
        let mut reply = Reply::failure(self.status());
        let usual = match self.kind.response().retry_advice {
            RetryAdvice::After(after) => Some(after),
            RetryAdvice::Never => None,
        };
        if let Some(after) = self.come_back.or(usual) {
            let spread = 1.0 + fastrand::f64() * COME_BACK_SPREAD;
            let seconds = after.0 as f64 * spread / 1000.0;
            if let Ok(value) = HeaderValue::try_from(format!("{seconds:.3}")) {
                reply.headers.insert(RETRY_AFTER, value);
            }
        }
        reply.body = Bytes::from(self.kind.response().text);
        reply
    }
}

impl Reply {
    pub(crate) fn failure(status: u16) -> Reply {
        Reply { status, headers: HeaderMap::new(), body: Bytes::new() }
    }
}

impl From<HttpResponse> for Reply {
    fn from(answer: HttpResponse) -> Reply {
        Reply { status: answer.status, headers: answer.headers, body: answer.body }
    }
}
