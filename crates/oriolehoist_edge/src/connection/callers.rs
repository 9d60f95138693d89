use {
    crate::{
        process::Shared,
        request::{Reply, Request, respond},
    },
    bytes::{Bytes, BytesMut},
    futures::{StreamExt, stream::FuturesOrdered},
    http::{HeaderMap, Method},
    oriolehoist_http1::{
        BodyError, BodyReader, HeadError, RequestHead, encode_response, parse_request_head,
    },
    oriolehoist_log::{Event, report},
    oriolehoist_time::Millis,
    std::{sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        task::{AbortHandle, JoinHandle},
        time::{Instant, sleep, sleep_until},
    },
};

/// The pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How many requests of one connection are served at once; further ones are not read yet.
const MAX_PIPELINED: usize = 32;
/// How much is read at once, in bytes.
const READ_BYTES: usize = 4 << 10;
/// How much longer than callers expect an idle connection is kept.
const IDLE_MARGIN: Millis = Millis(1000);
/// How long a stopping daemon keeps a connection without requests.
const IDLE_WHILE_STOPPING: Millis = Millis(1200);
/// How often a connection without requests looks whether the daemon is stopping.
const STOP_CHECK: Millis = Millis(400);

/// Serves callers until `closed` is set.
pub(crate) async fn serve_callers(
    cx: Arc<Shared>,
    listener: TcpListener,
    mut closed: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closed.wait_for(|closed| *closed) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                // Without it answers may be delayed, but they are whole.
                let _ = stream.set_nodelay(true);
                tokio::spawn(Connection::new(Arc::clone(&cx), stream).run());
            }
            // Most likely too many are open; those go on.
            Err(error) => {
                report(Event::ListenerLost, format_args!("listener=callers error=\"{error}\""));
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// A request that is being served, with what its answer needs.
struct Served {
    method: Method,
    /// Whether the caller or the protocol wants the connection closed after the answer.
    last: bool,
    task: JoinHandle<Reply>,
}

/// One connection of a caller.
struct Connection {
    cx: Arc<Shared>,
    stream: TcpStream,
    buf: BytesMut,
    /// The request whose body is arriving.
    partial: Option<(RequestHead, BodyReader)>,
    /// When the first byte of the request came that is arriving.
    arriving_since: Option<Millis>,
    idle_since: Millis,
    /// Nothing more is read.
    ended: bool,
    /// Requests that may run more than once, to be given up when the caller leaves.
    abortable: Vec<AbortHandle>,
}

/// What a connection waits for.
enum Woken {
    Read(std::io::Result<usize>),
    Answered(Served, Reply),
    Time,
}

impl Connection {
    fn new(cx: Arc<Shared>, stream: TcpStream) -> Connection {
        let idle_since = cx.clock.now();
        cx.on_connection_opened();
        Connection {
            cx,
            stream,
            buf: BytesMut::new(),
            partial: None,
            arriving_since: None,
            idle_since,
            ended: false,
            abortable: Vec::new(),
        }
    }

    async fn run(mut self) {
        let mut serving = FuturesOrdered::new();
        loop {
            if self.buf.capacity() - self.buf.len() < READ_BYTES {
                self.buf.reserve(READ_BYTES);
            }
            let may_read = serving.len() < MAX_PIPELINED && !self.ended;
            let wake = sleep_until(self.wake_at(serving.is_empty()));
            let woken = tokio::select! {
                Some((served, reply)) = serving.next(), if !serving.is_empty() => {
                    Woken::Answered(served, reply)
                }
                read = self.stream.read_buf(&mut self.buf), if may_read => Woken::Read(read),
                () = wake, if serving.is_empty() || self.arriving_since.is_some() => Woken::Time,
            };
            match woken {
                Woken::Read(Ok(read)) if read > 0 => {}
                Woken::Read(_) => return self.abandon(),
                Woken::Answered(served, reply) => {
                    let stopping = self.cx.is_stopping();
                    let unread = self.buf.is_empty() && self.partial.is_none();
                    let close = served.last || (stopping && serving.is_empty() && unread);
                    let bytes = encode_response(
                        &served.method,
                        reply.status,
                        &reply.headers,
                        &reply.body,
                        close,
                    );
                    let written = self.write(&bytes).await;
                    if !written {
                        return self.abandon();
                    }
                    if close {
                        return;
                    }
                    self.idle_since = self.cx.clock.now();
                    if serving.is_empty() {
                        self.abortable.clear();
                    }
                }
                Woken::Time => match self.on_time() {
                    Some(status) => return self.refuse(status).await,
                    None if self.is_idle_too_long(serving.is_empty()) => return,
                    None => {}
                },
            }
            while serving.len() < MAX_PIPELINED && !self.ended {
                match self.next_request().await {
                    Ok(Some(served)) => serving.push_back(join(served)),
                    Ok(None) => break,
                    Err(status) if serving.is_empty() => return self.refuse(status).await,
                    Err(_) => self.ended = true,
                }
            }
            if self.ended && serving.is_empty() {
                return;
            }
        }
    }

    /// Takes the next request from what has arrived, and starts to serve it.
    async fn next_request(&mut self) -> Result<Option<Served>, u16> {
        let now = self.cx.clock.now();
        let limits = self.cx.caller_limits();
        if self.partial.is_none() {
            let head = match parse_request_head(&mut self.buf, limits.max_head_bytes) {
                Ok(Some(head)) => head,
                Ok(None) => {
                    if self.buf.is_empty() {
                        self.arriving_since = None;
                    } else {
                        self.arriving_since.get_or_insert(now);
                    }
                    return Ok(None);
                }
                Err(HeadError::TooLarge) => return Err(431),
                Err(HeadError::Malformed) => return Err(400),
            };
            let length = head.body_length().map_err(|_| 400_u16)?;
            let reader = BodyReader::new(length, limits.max_body_bytes).map_err(|_| 413_u16)?;
            if head.expects_continue() && !self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await {
                return Err(400);
            }
            self.arriving_since.get_or_insert(now);
            self.partial = Some((head, reader));
        }
        let Some((head, mut reader)) = self.partial.take() else { return Ok(None) };
        match reader.advance(&mut self.buf) {
            Ok(true) => {}
            Ok(false) => {
                self.partial = Some((head, reader));
                return Ok(None);
            }
            Err(BodyError::TooLarge) => return Err(413),
            Err(BodyError::Malformed) => return Err(400),
        }
        self.arriving_since = None;
        let last = !head.is_keep_alive();
        self.ended |= last;
        Ok(Some(self.start(head, reader.into_bytes(), last)))
    }

    fn start(&mut self, head: RequestHead, body: Bytes, last: bool) -> Served {
        let method = head.method.clone();
        let request = Request { head, body, arrived: self.cx.clock.now() };
        let (repeatable, serve) = respond(Arc::clone(&self.cx), request);
        let task = tokio::spawn(serve);
        if repeatable {
            self.abortable.push(task.abort_handle());
        }
        Served { method, last, task }
    }

    /// The caller has left: what may be repeated is given up, also at the servers.
    fn abandon(self) {
        for task in &self.abortable {
            task.abort();
        }
    }

    /// Returns the status with which a request is refused that arrives too slowly.
    fn on_time(&self) -> Option<u16> {
        let limits = self.cx.caller_limits();
        let since = self.arriving_since?;
        (self.cx.clock.now().since(since) >= limits.head_timeout).then_some(408)
    }

    fn is_idle_too_long(&self, nothing_served: bool) -> bool {
        if !nothing_served || self.arriving_since.is_some() {
            return false;
        }
        let idle = self.cx.clock.now().since(self.idle_since);
        match self.cx.is_stopping() {
            true => idle >= IDLE_WHILE_STOPPING && self.cx.may_close_idle(),
            false => idle >= self.cx.caller_limits().idle_timeout + IDLE_MARGIN,
        }
    }

    fn wake_at(&self, nothing_served: bool) -> Instant {
        let limits = self.cx.caller_limits();
        let now = self.cx.clock.now();
        let wait = match self.arriving_since {
            Some(since) => (since + limits.head_timeout).since(now),
            None if nothing_served => STOP_CHECK,
            None => limits.idle_timeout,
        };
        Instant::now() + Duration::from(wait + Millis(1))
    }

    /// Answers what can't be read as a request, and closes the connection.
    async fn refuse(mut self, status: u16) {
        self.cx.metrics.on_unreadable(status);
        let bytes = encode_response(&Method::GET, status, &HeaderMap::new(), b"", true);
        self.write(&bytes).await;
    }

    /// Returns whether the bytes were written.
    async fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.cx.on_connection_ended();
    }
}

async fn join(mut served: Served) -> (Served, Reply) {
    let reply = match (&mut served.task).await {
        Ok(reply) => reply,
        // The task failed by a fault of this program; whether the request ran is not known.
        Err(_) => Reply::failure(502),
    };
    (served, reply)
}
