use {
    crate::connection::{
        CallError, ClientConnection, ExchangeProgress, ExpectedResponse, IdlePool, SilenceTracker,
    },
    http::{HeaderValue, header},
    oriolehoist_http1::encode_request,
    oriolehoist_log::{Event, report},
    oriolehoist_port::{HttpRequest, HttpResponse},
    oriolehoist_time::{Clock, Millis},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Connection settings of an [`HttpClient`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct HttpClientOptions {
    /// The maximum time to establish a connection.
    pub(crate) connect_timeout: Millis,
    /// How long an idle connection may be reused.
    pub(crate) idle_timeout: Millis,
    /// The content type of request bodies, if the server requires one.
    pub(crate) content_type: Option<&'static str>,
    /// The maximum size of a response body, in bytes.
    pub(crate) max_body_bytes: u64,
}

/// How long to wait for a response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseTimeout {
    /// The maximum time until its first byte arrives.
    pub(crate) first_byte: Millis,
    /// The maximum time between two bytes after that.
    pub(crate) gap: Millis,
    /// The maximum time until it is complete.
    pub(crate) complete: Millis,
}

impl From<Millis> for ResponseTimeout {
    fn from(complete: Millis) -> ResponseTimeout {
        ResponseTimeout { first_byte: complete, gap: complete, complete }
    }
}

/// An HTTP client for other processes, with a pool of idle connections.
#[derive(Debug)]
pub(crate) struct HttpClient {
    clock: Clock,
    source: IpAddr,
    pool: IdlePool,
    silence: SilenceTracker,
    options: HttpClientOptions,
}

impl HttpClient {
    pub(crate) fn new(clock: Clock, source: IpAddr, options: HttpClientOptions) -> HttpClient {
        let (pool, silence) = (IdlePool::default(), SilenceTracker::default());
        HttpClient { clock, source, pool, silence, options }
    }

    /// Takes an idle connection from the pool, or opens a new one.
    pub(crate) async fn acquire(&self, to: SocketAddr) -> Result<ClientConnection, CallError> {
        match self.pool.take(self.clock.now(), to, None) {
            Some(connection) => Ok(connection),
            None => self.connect(to).await,
        }
    }

    /// Opens a new connection.
    pub(crate) async fn connect(&self, to: SocketAddr) -> Result<ClientConnection, CallError> {
        let max_wait = self.options.connect_timeout;
        ClientConnection::connect(self.clock, self.source, to, max_wait).await
    }

    /// Sends a request and returns the response. The connection goes to the pool if it can be
    /// reused. If no complete response arrives, it is reset, so that data still in transit is not
    /// delivered.
    pub(crate) async fn send(
        &self,
        connection: ClientConnection,
        to: SocketAddr,
        request: &HttpRequest,
        max_wait: impl Into<ResponseTimeout>,
    ) -> Result<HttpResponse, CallError> {
        let mut progress = ExchangeProgress::default();
        let (response, connection) =
            self.exchange(connection, to, request, max_wait, None, &mut progress).await?;
        self.put(to, connection);
        Ok(response)
    }

    /// Returns a connection to the pool, if it can be reused.
    pub(crate) fn put(&self, to: SocketAddr, connection: Option<ClientConnection>) {
        if let Some(connection) = connection {
            self.pool.put(self.clock.now() + self.options.idle_timeout, to, connection);
        }
    }

    /// Sends a request whose response may take long, and returns the response. Gives up with
    /// [`CallError::Suspected`] as soon as another call shows that the connection may be silent.
    pub(crate) async fn send_long_poll(
        &self,
        connection: ClientConnection,
        to: SocketAddr,
        request: &HttpRequest,
        max_wait: impl Into<ResponseTimeout>,
    ) -> Result<HttpResponse, CallError> {
        let received_at = connection.received_at();
        tokio::select! {
            biased;
            result = self.send(connection, to, request, max_wait) => result,
            () = self.silence.suspected(to, received_at) => Err(CallError::Suspected),
        }
    }

    /// Sends a request and returns the response, and the connection if it can be reused. If no
    /// complete response arrives, the connection is reset, so that data still in transit is not
    /// delivered. `expected` tells the response from others on the connection, if those may come.
    pub(crate) async fn exchange(
        &self,
        mut connection: ClientConnection,
        to: SocketAddr,
        request: &HttpRequest,
        max_wait: impl Into<ResponseTimeout>,
        expected: Option<ExpectedResponse<'_>>,
        progress: &mut ExchangeProgress,
    ) -> Result<(HttpResponse, Option<ClientConnection>), CallError> {
        let mut headers = request.headers.clone();
        if let Ok(host) = HeaderValue::from_str(&to.to_string()) {
            headers.insert(header::HOST, host);
        }
        if let Some(content_type) = self.options.content_type {
            headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        }
        let message =
            encode_request(&request.method, &request.path, &headers, request.body.clone());
        let (sent_at, reused) = (self.clock.now(), connection.was_used());
        let max_wait = max_wait.into();
        connection.set_response_timeout(max_wait);
        let received = connection.send(
            &request.method,
            message,
            self.options.max_body_bytes,
            expected,
            progress,
        );
        let received = timeout(Duration::from(max_wait.complete), received).await;
        match received.unwrap_or(Err(CallError::TimedOut)) {
            Ok(received) => Ok((received.response, received.reusable.then_some(connection))),
            Err(error) => {
                if matches!(error, CallError::TimedOut) {
                    let now = self.clock.now();
                    let text = format_args!(
                        "to={to} took_ms={} connection={} age_ms={} silent_ms={}",
                        now.since(sent_at).0,
                        if reused { "reused" } else { "new" },
                        now.since(connection.opened_at()).0,
                        now.since(connection.received_at()).0,
                    );
                    report(Event::CallTimedOut, text);
                    self.silence.on_timeout(to, sent_at);
                    self.pool.close_silent(to, sent_at);
                }
                connection.reset();
                Err(error)
            }
        }
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        self.pool.clear();
    }
}
