use {
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error},
    http::{HeaderName, HeaderValue, Method},
    oriolehoist_http1::{BodyReader, ResponseHead, parse_response_head},
    oriolehoist_port::HttpResponse,
    oriolehoist_time::Millis,
    rustix::net::sockopt::{set_socket_linger, set_tcp_user_timeout},
    std::{
        io,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        time::timeout,
    },
};

/// The largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The largest body of an answer, in bytes; it is held in memory whole.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// How much is read at once, in bytes.
const READ_BYTES: usize = 8 << 10;
/// How long sent bytes may go unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED: Duration = Duration::from_millis(700);

/// Whether any byte of a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sent {
    Nothing,
    Something,
}

/// Why a call got no whole answer.
#[derive(Debug, Display, Error)]
pub(crate) enum CallError {
    /// No connection could be opened.
    #[display("no connection: {_0}")]
    Connect(io::Error),
    /// The connection broke, or what came is no answer.
    #[display("no answer: {_0}")]
    Broken(#[error(not(source))] &'static str),
    /// The connection failed.
    #[display("no answer: {_0}")]
    Io(io::Error),
    /// The time ran out.
    #[display("timed out")]
    TimedOut,
}

/// A connection to another process, for one call at a time.
#[derive(Debug)]
pub(crate) struct Link {
    stream: TcpStream,
    buf: BytesMut,
}

/// A whole answer, with what it says about its connection.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) answer: HttpResponse,
    /// Whether the connection may be used again.
    pub(crate) reusable: bool,
    /// How long the other side keeps the connection open while it is idle, in seconds.
    pub(crate) idle_seconds: Option<u64>,
}

impl Link {
    /// Opens a connection from `source`.
    pub(crate) async fn open(
        source: IpAddr,
        to: SocketAddr,
        wait: Millis,
    ) -> Result<Link, CallError> {
        let connect = async {
            let socket = TcpSocket::new_v4()?;
            if !source.is_unspecified() {
                socket.bind(SocketAddr::new(source, 0))?;
            }
            let stream = socket.connect(to).await?;
            stream.set_nodelay(true)?;
            // Where the option is not available, the timeout of the call is what remains.
            let _ = set_tcp_user_timeout(&stream, UNACKNOWLEDGED.as_millis() as u32);
            Ok(stream)
        };
        match timeout(Duration::from(wait), connect).await {
            Ok(Ok(stream)) => Ok(Link { stream, buf: BytesMut::new() }),
            Ok(Err(error)) => Err(CallError::Connect(error)),
            Err(_) => Err(CallError::Connect(io::ErrorKind::TimedOut.into())),
        }
    }

    /// Returns whether nothing has come since the last answer, not even the connection's end.
    pub(crate) fn is_quiet(&self) -> bool {
        let mut byte = [0];
        let waiting = self.stream.try_read(&mut byte);
        let nothing = matches!(&waiting, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.buf.is_empty() && nothing
    }

    /// Ends the connection so that bytes that are held up on the way are lost.
    pub(crate) fn reset(self) {
        // If it fails, the other side sees an orderly end instead, which changes no decision.
        let _ = set_socket_linger(&self.stream, Some(Duration::ZERO));
    }

    /// Sends a request and reads its whole answer. Answers that carry another value of the header
    /// `id` belong to no request and are skipped. `sent` is set as soon as a byte may have left.
    pub(crate) async fn call(
        &mut self,
        method: &Method,
        message: Bytes,
        id: Option<(&HeaderName, &HeaderValue)>,
        sent: &mut Sent,
    ) -> Result<Answered, CallError> {
        let Link { stream, buf } = self;
        let (mut rx, mut tx) = stream.split();
        let mut unsent = message;
        let mut exchange = Exchange { method, id, head: None };
        *sent = Sent::Something;
        loop {
            if buf.capacity() - buf.len() < READ_BYTES {
                buf.reserve(READ_BYTES);
            }
            let read = tokio::select! {
                written = tx.write_buf(&mut unsent), if !unsent.is_empty() => {
                    written.map_err(CallError::Io)?;
                    continue;
                }
                read = rx.read_buf(buf) => read.map_err(CallError::Io)?,
            };
            let whole = match read {
                0 => exchange.end()?,
                _ => exchange.advance(buf)?,
            };
            if let Some((head, body)) = whole {
                let framed = read > 0;
                return Ok(Answered {
                    reusable: framed && head.is_keep_alive() && unsent.is_empty() && buf.is_empty(),
                    idle_seconds: head.idle_seconds(),
                    answer: HttpResponse { status: head.status, headers: head.headers, body },
                });
            }
        }
    }
}

/// An answer that is being read.
struct Exchange<'a> {
    method: &'a Method,
    id: Option<(&'a HeaderName, &'a HeaderValue)>,
    head: Option<(ResponseHead, BodyReader)>,
}

type Whole = Option<(ResponseHead, Bytes)>;

impl Exchange<'_> {
    fn advance(&mut self, buf: &mut BytesMut) -> Result<Whole, CallError> {
        loop {
            match self.head.take() {
                None => match parse_response_head(buf, MAX_HEAD_BYTES) {
                    Ok(Some(head)) if head.status < 200 => {}
                    Ok(Some(head)) => {
                        let length = head
                            .body_length(self.method)
                            .map_err(|_| CallError::Broken("the framing is ambiguous"))?;
                        let reader = BodyReader::new(length, MAX_BODY_BYTES)
                            .map_err(|_| CallError::Broken("the body is too large"))?;
                        self.head = Some((head, reader));
                    }
                    Ok(None) => return Ok(None),
                    Err(_) => return Err(CallError::Broken("the bytes are no answer")),
                },
                Some((head, mut reader)) => match reader.advance(buf) {
                    Ok(true) if self.is_foreign(&head) => {}
                    Ok(true) => return Ok(Some((head, reader.into_bytes()))),
                    Ok(false) => {
                        self.head = Some((head, reader));
                        return Ok(None);
                    }
                    Err(_) => return Err(CallError::Broken("the body is malformed")),
                },
            }
        }
    }

    /// The connection has ended in order.
    fn end(&mut self) -> Result<Whole, CallError> {
        match self.head.take() {
            Some((head, reader)) if reader.is_complete_at_eof() && !self.is_foreign(&head) => {
                Ok(Some((head, reader.into_bytes())))
            }
            Some(_) => Err(CallError::Broken("the answer was cut short")),
            None => Err(CallError::Broken("the connection ended without an answer")),
        }
    }

    fn is_foreign(&self, head: &ResponseHead) -> bool {
        let Some((name, value)) = self.id else { return false };
        head.headers.get(name).is_some_and(|echoed| echoed != value)
    }
}
