use {
    crate::{
        connection::{CallError, HttpClient, HttpClientOptions, ResponseTimeout},
        process::Shared,
    },
    derive_more::Display,
    oriolehoist_backoff::CallTime,
    oriolehoist_log::{Event, Word, report},
    oriolehoist_port::{
        Coverage, Item, NextPage, Paging, Revision, StoreRequest, StoreRequestKind, StoreResponse,
    },
    oriolehoist_time::Millis,
    std::sync::Arc,
};

/// The maximum wait for a response. A slow store takes about 300 ms.
const CALL_TIMEOUT: Millis = Millis(600);
/// The maximum wait for the response to a watch after its duration has passed.
const WATCH_RESPONSE_TIMEOUT: Millis = Millis(400);
/// The maximum time in which a response that has begun has to arrive. A value of a megabyte takes 1.2 s
/// over the smallest links, if nothing else uses them.
const TRANSFER_TIMEOUT: Millis = Millis(5000);
/// The maximum time to establish a connection.
const CONNECT_TIMEOUT: Millis = Millis(400);
/// How long an idle connection may be reused.
const IDLE_TIMEOUT: Millis = Millis(8000);
/// The maximum size of a response body, in bytes. Pages and values have about a megabyte. A watch may
/// return any number of values, and fails if they are more; its items are then read by pages.
const MAX_BODY_BYTES: u64 = 8 << 20;

/// Why a request to the store has no result.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum StoreError {
    /// Nothing was sent.
    #[display("request not sent")]
    NotSent,
    /// A long poll was ended because its connection may be silent. It can be repeated.
    #[display("connection may be silent")]
    Interrupted,
    /// There was no response. The request may have been executed, or may still be.
    #[display("no response")]
    Lost,
    /// The store responded with an unexpected status, and did not execute the request.
    #[display("unexpected status {_0}")]
    UnexpectedStatus(u16),
    /// The store has discarded the history that the request needs.
    #[display("history discarded")]
    HistoryCompacted,
    /// The response could not be decoded.
    #[display("malformed response")]
    Malformed,
}

impl StoreError {
    /// Returns whether the same request would fail again.
    fn is_permanent(self) -> bool {
        match self {
            StoreError::Malformed => true,
            // Too many requests, or one that took too long.
            StoreError::UnexpectedStatus(408 | 429) => false,
            StoreError::UnexpectedStatus(status) => (400..500).contains(&status),
            _ => false,
        }
    }
}

/// Which connection a request is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionChoice {
    /// An idle one, or a new one if there is none.
    Any,
    /// A new one, because those that are open may be silent.
    New,
}

/// How a request to the store was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTrace {
    pub(crate) kind: StoreRequestKind,
    pub(crate) started_at: Millis,
    pub(crate) ended_at: Millis,
    /// Whether the connection had been used before, if there was one.
    pub(crate) reused: Option<bool>,
}

/// The client of the platform's store.
pub(crate) struct StoreClient {
    cx: Arc<Shared>,
    http: HttpClient,
}

impl StoreClient {
    pub(crate) fn new(cx: Arc<Shared>) -> StoreClient {
        let options = HttpClientOptions {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            content_type: Some("application/json"),
            max_body_bytes: MAX_BODY_BYTES,
        };
        StoreClient { http: HttpClient::new(cx.clock, cx.source_ip(), options), cx }
    }

    /// Returns whether registrations of servers may have expired in an outage that has ended.
    pub(crate) fn servers_may_have_lapsed(&self) -> bool {
        self.cx.servers_may_have_lapsed()
    }

    /// Sends a request and returns the decoded response.
    pub(crate) async fn call(&self, request: StoreRequest) -> Result<StoreResponse, StoreError> {
        self.traced_call(request, ConnectionChoice::Any).await.0
    }

    /// Sends a request and returns the decoded response, and how the request was sent.
    pub(crate) async fn traced_call(
        &self,
        request: StoreRequest,
        choice: ConnectionChoice,
    ) -> (Result<StoreResponse, StoreError>, CallTrace) {
        let started_at = self.cx.clock.now();
        let mut trace =
            CallTrace { kind: request.kind(), started_at, ended_at: started_at, reused: None };
        let wait = response_timeout(&request);
        let response = match request.era() {
            Some(era) => tokio::select! {
                biased;
                // In a later era the store has issued these revisions again, or does not have them.
                () = self.cx.store_era_after(era) => outdated(&request),
                response = self.send(&request, wait, choice, &mut trace.reused) => response,
            },
            None => self.send(&request, wait, choice, &mut trace.reused).await,
        };
        trace.ended_at = self.cx.clock.now();
        let call = CallTime { started_at, ended_at: trace.ended_at };
        match &response {
            // It says nothing of the store.
            Err(StoreError::Interrupted) => {}
            Ok(_) | Err(StoreError::Malformed | StoreError::HistoryCompacted) => {
                self.cx.on_store_call_ended(call, true);
            }
            Err(_) => self.cx.on_store_call_ended(call, false),
        }
        if let Err(error) = &response {
            let (kind, took) = (trace.kind.name(), trace.ended_at.since(started_at).0);
            let text = format_args!("call={kind} error=\"{error}\" took_ms={took}");
            report(Event::StoreCallFailed, text);
        }
        (response, trace)
    }

    /// Reads all items under a prefix, the first page on the chosen connection. Passes each page to
    /// `on_page`, with the store's revision when it was read, so that no more than one is held in memory.
    ///
    /// # Errors
    ///
    /// Returns an error if a page can't be read, unless reading it again can't help: then the list ends
    /// with the page before.
    pub(crate) async fn list(
        &self,
        prefix: &str,
        mut choice: ConnectionChoice,
        mut on_page: impl FnMut(Revision, Vec<Item>),
    ) -> Result<Coverage, StoreError> {
        let mut paging = Paging::new(prefix);
        let mut pages = 0_u32;
        let (coverage, reason) = loop {
            let (response, _) = self.traced_call(paging.request(), choice).await;
            let (items, has_more, revision) = match response {
                Ok(StoreResponse::Page { items, has_more, revision }) => {
                    (items, has_more, revision)
                }
                Err(error) if pages > 0 && error.is_permanent() => {
                    break (paging.coverage(), error.to_string());
                }
                Ok(_) => return Err(StoreError::Malformed),
                Err(error) => return Err(error),
            };
            pages += 1;
            choice = ConnectionChoice::Any;
            let next = paging.on_page(&items, has_more);
            on_page(revision, items);
            if let NextPage::None(coverage) = next {
                break (coverage, "no items behind the page before".to_owned());
            }
        };
        if let Coverage::UpTo(last) = &coverage {
            let last = Word(last);
            let text = format_args!("prefix={prefix} pages={pages} last={last} error={reason:?}");
            report(Event::ListIncomplete, text);
        }
        Ok(coverage)
    }

    async fn send(
        &self,
        request: &StoreRequest,
        wait: ResponseTimeout,
        choice: ConnectionChoice,
        reused: &mut Option<bool>,
    ) -> Result<StoreResponse, StoreError> {
        self.cx.metrics.on_store_call(request.kind());
        let http_request = self.cx.platform.encode_store_request(request);
        let address = self.cx.bootstrap.store_address;
        let connection = match choice {
            ConnectionChoice::Any => self.http.acquire(address).await,
            ConnectionChoice::New => self.http.connect(address).await,
        };
        let connection = connection.map_err(|_| StoreError::NotSent)?;
        *reused = Some(connection.was_used());
        let response = match request {
            StoreRequest::Watch { .. } => {
                self.http.send_long_poll(connection, address, &http_request, wait).await
            }
            _ => self.http.send(connection, address, &http_request, wait).await,
        };
        let response = response.map_err(|error| match error {
            CallError::Suspected => StoreError::Interrupted,
            _ => StoreError::Lost,
        })?;
        if let Some(era) = self.cx.platform.decode_store_era(&response.headers) {
            self.cx.observe_store_era(era, request.kind().name());
        }
        match self.cx.platform.decode_store_response(request, &response) {
            Ok(Some(response)) => Ok(response),
            Ok(None) => Err(StoreError::UnexpectedStatus(response.status)),
            Err(_) => Err(StoreError::Malformed),
        }
    }
}

/// Returns how long to wait for the response to a request. Those to reads may be large.
fn response_timeout(request: &StoreRequest) -> ResponseTimeout {
    let first_byte = match request {
        StoreRequest::Watch { wait, .. } => *wait + WATCH_RESPONSE_TIMEOUT,
        StoreRequest::Get(_) | StoreRequest::List { .. } => CALL_TIMEOUT,
        _ => return CALL_TIMEOUT.into(),
    };
    ResponseTimeout { first_byte, gap: CALL_TIMEOUT, complete: first_byte + TRANSFER_TIMEOUT }
}

/// Returns the result of a request that refers to revisions of an earlier era.
fn outdated(request: &StoreRequest) -> Result<StoreResponse, StoreError> {
    match request {
        StoreRequest::Watch { .. } => Ok(StoreResponse::HistoryCompacted),
        // It may have been executed.
        _ => Err(StoreError::Lost),
    }
}
