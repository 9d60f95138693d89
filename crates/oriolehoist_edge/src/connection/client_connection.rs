use {
    crate::connection::{ResponseTimeout, response_reader::ResponseReader},
    bytes::{Buf, BytesMut},
    derive_more::{Display, Error},
    http::{HeaderName, HeaderValue, Method},
    oriolehoist_exchange::{ConnectionHistory, Correlation, ExchangeName},
    oriolehoist_http1::{BodyMemory, RequestMessage},
    oriolehoist_port::HttpResponse,
    oriolehoist_time::{Clock, Millis},
    rustix::net::sockopt::{set_socket_linger, set_tcp_user_timeout},
    std::{
        io,
        net::{IpAddr, SocketAddr},
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        time::{sleep, timeout},
    },
};

/// The maximum size of the response body to an order or a health check, in bytes.
pub(crate) const MAX_CONTROL_BODY_BYTES: u64 = 256 << 10;
/// The maximum size of any other response body, in bytes. The complete body is held in memory.
pub(crate) const MAX_BODY_BYTES: u64 = 32 << 20;
/// The minimum free buffer space before a read, in bytes.
const MIN_READ_CAPACITY: usize = 8 << 10;
/// How long sent data may stay unacknowledged before the connection is considered broken.
const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(700);

/// How far an exchange has come, also if it has failed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ExchangeProgress {
    /// Whether any byte of the request may have been sent.
    pub(crate) may_be_sent: bool,
    /// The number of responses that were skipped because they belong to other exchanges, or may.
    pub(crate) skipped: u32,
    /// The number of the connection, which no other connection of the process has; 0 if there is none.
    pub(crate) connection: u64,
    /// How many requests were sent on the connection before.
    pub(crate) earlier_requests: u32,
}

/// Whether a connection can carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// It is open and has received nothing since the last response.
    Idle,
    /// It was closed, or has failed.
    Closed,
    /// Something was received that no request has asked for.
    HasUnexpectedInput,
}

/// Why a request got no complete response.
#[derive(Debug, Display, Error)]
pub(crate) enum CallError {
    /// The connection could not be established.
    #[display("connection failed: {_0}")]
    Connect(io::Error),
    /// The connection was closed early, or the response is not valid HTTP.
    #[display("invalid response: {_0}")]
    InvalidResponse(#[error(not(source))] &'static str),
    /// The response has no end, or the responses that are being received need too much memory.
    #[display("endless response: {_0}")]
    Endless(#[error(not(source))] &'static str),
    /// An I/O error occurred on the connection.
    #[display("I/O error: {_0}")]
    Io(io::Error),
    /// The response did not arrive in time.
    #[display("request timed out")]
    TimedOut,
    /// The server has said that it wants no requests at the moment. Nothing was sent.
    #[display("the server wants no requests")]
    Unwanted,
    /// The request has no permit that can be used, and needs one. Nothing was sent.
    #[display("no permit to send the request")]
    NotPermitted,
    /// A later process that needs permits is known under the server's id. Nothing was sent.
    #[display("the server has been replaced")]
    Replaced,
    /// Another call timed out, and nothing has arrived on the connection since that one was sent.
    #[display("connection may be silent")]
    Suspected,
}

/// A connection to another process, for one request at a time.
#[derive(Debug)]
pub(crate) struct ClientConnection {
    stream: TcpStream,
    buf: BytesMut,
    clock: Clock,
    opened_at: Millis,
    /// When data was last received, or when the connection was opened.
    received_at: Millis,
    number: u64,
    /// How many requests were sent on it.
    requests: u32,
    history: ConnectionHistory,
    /// How long to wait for data, if that is limited.
    response_timeout: Option<ResponseTimeout>,
}

/// The number of connections that were opened.
static CONNECTIONS: AtomicU64 = AtomicU64::new(0);

/// The headers that tell responses from each other.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdHeaders<'a> {
    /// The header that carries the id of the request.
    pub(crate) id: &'a HeaderName,
    /// The header of responses to requests that were not run.
    pub(crate) not_run: &'a HeaderName,
}

/// How the response to a request is told from other responses on the same connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExpectedResponse<'a> {
    pub(crate) headers: IdHeaders<'a>,
    /// The id of the request, if it has one.
    pub(crate) id: Option<&'a HeaderValue>,
    /// Whether a response without an id is taken by its place, see [`Correlation::ByIdOrOrder`].
    pub(crate) may_be_unnamed: bool,
}

impl ExpectedResponse<'_> {
    fn correlation(&self) -> Correlation {
        match self.id.map(|id| ExchangeName::of(id.as_bytes())) {
            None => Correlation::ByOrder,
            Some(name) if self.may_be_unnamed => Correlation::ByIdOrOrder(name),
            Some(name) => Correlation::ById(name),
        }
    }
}

/// A complete response, with what it says about its connection.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    pub(crate) response: HttpResponse,
    /// Whether the connection may be used for another request.
    pub(crate) reusable: bool,
    /// The peer's keep-alive timeout, in seconds.
    pub(crate) keep_alive_secs: Option<u64>,
}

impl ClientConnection {
    /// Connects to `to` from the local address `source`.
    pub(crate) async fn connect(
        clock: Clock,
        source: IpAddr,
        to: SocketAddr,
        max_wait: Millis,
    ) -> Result<ClientConnection, CallError> {
        let connect = async {
            let socket = TcpSocket::new_v4()?;
            if !source.is_unspecified() {
                socket.bind(SocketAddr::new(source, 0))?;
            }
            let stream = socket.connect(to).await?;
            stream.set_nodelay(true)?;
            // If the socket option is not available, only the request timeout detects a broken
            // connection.
            let _ = set_tcp_user_timeout(&stream, UNACKNOWLEDGED_DATA_TIMEOUT.as_millis() as u32);
            Ok(stream)
        };
        match timeout(Duration::from(max_wait), connect).await {
            Ok(Ok(stream)) => {
                let (buf, now) = (BytesMut::new(), clock.now());
                let (opened_at, received_at) = (now, now);
                let number = CONNECTIONS.fetch_add(1, Ordering::Relaxed) + 1;
                let (requests, history) = (0, ConnectionHistory::default());
                Ok(ClientConnection {
                    stream,
                    buf,
                    clock,
                    opened_at,
                    received_at,
                    number,
                    requests,
                    history,
                    response_timeout: None,
                })
            }
            Ok(Err(error)) => Err(CallError::Connect(error)),
            Err(_) => Err(CallError::Connect(io::ErrorKind::TimedOut.into())),
        }
    }

    /// Returns whether the connection can carry a request.
    pub(crate) fn state(&self) -> ConnectionState {
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            _ if !self.buf.is_empty() => ConnectionState::HasUnexpectedInput,
            Ok(1..) => ConnectionState::HasUnexpectedInput,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => ConnectionState::Idle,
            Ok(0) | Err(_) => ConnectionState::Closed,
        }
    }

    /// Returns whether the response to a request with this id could be told from all others on the
    /// connection.
    pub(crate) fn admits(&self, id: &HeaderValue) -> bool {
        self.history.admits(ExchangeName::of(id.as_bytes()))
    }

    /// Returns whether a request was sent on the connection.
    pub(crate) fn was_used(&self) -> bool {
        self.requests > 0
    }

    /// Returns the number of the connection, which no other connection of the process has.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Returns when the connection was opened.
    pub(crate) fn opened_at(&self) -> Millis {
        self.opened_at
    }

    /// Returns when data was last received, or when the connection was opened.
    pub(crate) fn received_at(&self) -> Millis {
        self.received_at
    }

    /// Limits how long the next responses may take to begin, and how long no data of them may arrive.
    pub(crate) fn set_response_timeout(&mut self, response_timeout: ResponseTimeout) {
        self.response_timeout = Some(response_timeout);
    }

    /// Resets the connection, which discards data that has not been delivered yet.
    pub(crate) fn reset(self) {
        // If this fails, the connection is closed normally instead. No decision depends on the
        // difference.
        let _ = set_socket_linger(&self.stream, Some(Duration::ZERO));
    }

    /// Sends a request and reads the complete response. Without `expected`, that is the first complete
    /// response. With it, responses are skipped that belong to other exchanges, or may, and `progress`
    /// counts them. It also says that the request may have been sent, before the first byte may be.
    pub(crate) async fn send(
        &mut self,
        method: &Method,
        message: RequestMessage,
        max_body_bytes: u64,
        expected: Option<ExpectedResponse<'_>>,
        progress: &mut ExchangeProgress,
    ) -> Result<ReceivedResponse, CallError> {
        progress.connection = self.number;
        progress.earlier_requests = self.requests;
        progress.may_be_sent = true;
        self.requests += 1;
        let ClientConnection { stream, buf, clock, received_at, history, response_timeout, .. } =
            self;
        history.start(expected.map_or(Correlation::ByOrder, |expected| expected.correlation()));
        let (mut rx, mut tx) = stream.split();
        let mut remaining = message;
        let mut reader = ResponseReader {
            method,
            max_body_bytes,
            expected,
            history,
            progress,
            partial: None,
            received: 0,
            memory: BodyMemory::default(),
        };
        loop {
            if buf.capacity() - buf.len() < MIN_READ_CAPACITY {
                buf.reserve(MIN_READ_CAPACITY);
            }
            let max_silence = response_timeout.map(|timeout| match reader.received {
                0 => timeout.first_byte,
                _ => timeout.gap,
            });
            let read = tokio::select! {
                written = tx.write_buf(&mut remaining), if remaining.has_remaining() => {
                    written.map_err(CallError::Io)?;
                    continue;
                }
                read = rx.read_buf(buf) => read.map_err(CallError::Io)?,
                () = sleep(max_silence.unwrap_or_default().into()), if max_silence.is_some() => {
                    return Err(CallError::TimedOut);
                }
            };
            *received_at = clock.now();
            reader.received += read as u64;
            let complete = match read {
                0 => reader.on_eof()?,
                _ => reader.advance(buf)?,
            };
            if complete.is_none() {
                reader.check_length()?;
            }
            if let Some((head, body)) = complete {
                let body = std::mem::take(&mut reader.memory).attach_to(body);
                let still_open = read > 0;
                return Ok(ReceivedResponse {
                    reusable: still_open
                        && reader.history.is_reusable()
                        && head.is_keep_alive()
                        && !remaining.has_remaining()
                        && buf.is_empty(),
                    keep_alive_secs: head.idle_seconds(),
                    response: HttpResponse {
                        status: head.status.into(),
                        headers: head.headers,
                        body,
                    },
                });
            }
        }
    }
}
