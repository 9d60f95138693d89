use {
    crate::{
        connection::{Caller, CallerOptions},
        process::Shared,
    },
    derive_more::Display,
    oriolehoist_log::{Event, report},
    oriolehoist_port::{StoreRequest, StoreResponse},
    oriolehoist_time::Millis,
    std::sync::Arc,
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
    caller: Caller,
}

impl StoreClient {
    pub(crate) fn new(cx: Arc<Shared>) -> StoreClient {
        let options = CallerOptions {
            connect_wait: CONNECT_WAIT,
            idle_timeout: IDLE_TIMEOUT,
            content_type: Some("application/json"),
        };
        StoreClient { caller: Caller::new(cx.clock, cx.source(), options), cx }
    }

    /// Makes a call.
    pub(crate) async fn call(&self, call: StoreRequest) -> Result<StoreResponse, StoreError> {
        let wait = match &call {
            StoreRequest::Watch { wait, .. } => *wait + CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        let answer = self.exchange(&call, wait).await;
        if let Err(error) = &answer {
            let kind = call.kind().name();
            report(Event::StoreCallFailed, format_args!("call={kind} error=\"{error}\""));
        }
        answer
    }

    async fn exchange(
        &self,
        call: &StoreRequest,
        wait: Millis,
    ) -> Result<StoreResponse, StoreError> {
        self.cx.metrics.on_store_call(call.kind());
        let http = self.cx.platform.encode_store_request(call);
        let to = self.cx.boot.store_address;
        let link = self.caller.link(to).await.map_err(|_| StoreError::Unsent)?;
        let answer =
            self.caller.call(link, to, &http, wait).await.map_err(|_| StoreError::Unknown)?;
        match self.cx.platform.decode_store_response(call, &answer) {
            Ok(Some(answer)) => Ok(answer),
            Ok(None) => Err(StoreError::Refused(answer.status)),
            Err(_) => Err(StoreError::Malformed),
        }
    }
}
