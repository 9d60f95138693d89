use {
    crate::{
        connection::{CallError, IdleLinks, Link, Sent},
        process::Shared,
    },
    derive_more::Display,
    http::{HeaderMap, HeaderValue, header},
    oriolehoist_http1::encode_request,
    oriolehoist_log::{Event, report},
    oriolehoist_port::{StoreAnswer, StoreCall},
    oriolehoist_time::Millis,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// The longest wait for an answer; a slow store takes some 300 ms.
const CALL_TIMEOUT: Millis = Millis(600);
/// The longest wait for a connection.
const CONNECT_WAIT: Millis = Millis(400);
/// How long an idle connection is used again.
const IDLE_TIMEOUT: Millis = Millis(8000);

/// Why a call to the store has no answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum StoreError {
    /// Nothing was sent.
    #[display("not sent")]
    Unsent,
    /// It may have been carried out, or may be later.
    #[display("no answer")]
    Unknown,
    /// Nothing was done.
    #[display("refused with status {_0}")]
    Refused(u16),
    /// The answer could not be understood.
    #[display("malformed answer")]
    Malformed,
}

/// The client of the platform's store.
pub(crate) struct StoreClient {
    cx: Arc<Shared>,
    idle: IdleLinks,
}

impl StoreClient {
    pub(crate) fn new(cx: Arc<Shared>) -> StoreClient {
        StoreClient { cx, idle: IdleLinks::default() }
    }

    /// Makes a call.
    pub(crate) async fn call(&self, call: StoreCall) -> Result<StoreAnswer, StoreError> {
        let wait = match &call {
            StoreCall::Watch { wait, .. } => *wait + CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        let answer = self.exchange(&call, wait).await;
        if let Err(error) = &answer {
            let kind = call.kind().name();
            report(Event::StoreCallFailed, format_args!("call={kind} error=\"{error}\""));
        }
        answer
    }

    async fn exchange(&self, call: &StoreCall, wait: Millis) -> Result<StoreAnswer, StoreError> {
        self.cx.metrics.on_store_call(call.kind());
        let http = self.cx.platform.store_call(call);
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::from_str(&self.cx.boot.store.to_string()) {
            headers.insert(header::HOST, host);
        }
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let message = encode_request(&http.method, &http.path, &headers, &http.body);
        let mut link = match self.idle.take(self.cx.clock.now(), self.cx.boot.store) {
            Some(link) => link,
            None => Link::open(self.cx.source(), self.cx.boot.store, CONNECT_WAIT)
                .await
                .map_err(|_| StoreError::Unsent)?,
        };
        let mut sent = Sent::Nothing;
        let called = link.call(&http.method, message, None, &mut sent);
        let called =
            timeout(Duration::from(wait), called).await.unwrap_or(Err(CallError::TimedOut));
        let answered = match called {
            Ok(answered) => answered,
            Err(_) => {
                link.reset();
                return Err(StoreError::Unknown);
            }
        };
        if answered.reusable {
            let until = self.cx.clock.now() + IDLE_TIMEOUT;
            self.idle.keep(until, self.cx.boot.store, link);
        }
        match self.cx.platform.store_answer(call, &answered.answer) {
            Ok(Some(answer)) => Ok(answer),
            Ok(None) => Err(StoreError::Refused(answered.answer.status)),
            Err(_) => Err(StoreError::Malformed),
        }
    }
}
