use {
    crate::{
        process::Shared,
        request::{CallerPresence, CallerResponse, Request, respond},
    },
    bytes::BytesMut,
    futures::{StreamExt, stream::FuturesOrdered},
    http::{HeaderMap, Method, header::RETRY_AFTER},
    oriolehoist_http1::{
        BodyPool, NextRequest, ReceivedRequest, RequestReader, encode_response, request_body_bytes,
    },
    oriolehoist_log::{Event, report},
    oriolehoist_time::Millis,
    std::{collections::VecDeque, io::ErrorKind, ops::RangeInclusive, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, Interest},
        net::{TcpListener, TcpStream, tcp::ReadHalf},
        sync::watch,
        task::JoinHandle,
        time::{Instant, sleep, sleep_until, timeout},
    },
};

/// The delay before accepting again after an accept error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The maximum number of requests in flight on one connection. Further ones are not read until a
/// response has been sent.
const MAX_PIPELINED_REQUESTS: usize = 32;
/// The minimum free buffer space before a read, in bytes.
const MIN_READ_CAPACITY: usize = 4 << 10;
/// How much longer than the configured idle timeout an idle connection is kept.
const IDLE_MARGIN: Millis = Millis(1000);
/// The idle timeout of connections while the daemon is shutting down.
const SHUTDOWN_IDLE_TIMEOUT: Millis = Millis(1200);
/// How long a connection that is closed while the daemon is shutting down still receives input. It
/// covers the round trip to the caller.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection whose input was rejected still receives it. Many callers read the response only when
/// they have sent the whole body.
const REJECTED_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a connection with input that is not read yet checks whether its caller has left.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How many bytes behind the last request of a connection are read and discarded to notice that the
/// caller has left. With more, its end may stay behind what the system holds for the connection.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// The size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;
/// How often an idle connection checks whether the daemon is shutting down.
const SHUTDOWN_POLL_INTERVAL: Millis = Millis(400);

/// How often a connection tries to get memory for a body.
const MEMORY_POLL_INTERVAL: Millis = Millis(20);
/// How long a body may wait for memory, in milliseconds. Callers may give up a request that is not read for a
/// second. The times differ, so that of bodies that wait for each other some can go on.
const MAX_MEMORY_WAIT_MS: RangeInclusive<u64> = 300..=800;
/// How soon a request comes back for which there was no memory, in seconds.
const MEMORY_RETRY_AFTER_SECS: u16 = 1;

/// The memory for the bodies of requests, from their arrival until they have been answered.
static REQUEST_BODIES: BodyPool = BodyPool::new(0);

/// Accepts connections from callers and serves them until `shutdown` is set.
pub(crate) async fn serve_callers(
    cx: Arc<Shared>,
    listener: TcpListener,
    mut shutdown: watch::Receiver<bool>,
) {
    REQUEST_BODIES.set_max(request_body_bytes(cx.bootstrap.memory_bytes));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = shutdown.wait_for(|shutdown| *shutdown) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                // Without `TCP_NODELAY` responses may be delayed, but they are still complete.
                let _ = stream.set_nodelay(true);
                tokio::spawn(CallerConnection::new(Arc::clone(&cx), stream).run());
            }
            // Most likely the process has run out of file descriptors. Open connections are still
            // served.
            Err(error) => {
                report(Event::ListenerLost, format_args!("listener=callers error=\"{error}\""));
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// A request in flight, with what is needed to write its response.
struct PendingResponse {
    method: Method,
    /// Whether to close the connection after the response, as the caller or the protocol requires.
    close_after: bool,
    task: JoinHandle<Option<CallerResponse>>,
}

/// A connection from a caller.
struct CallerConnection {
    cx: Arc<Shared>,
    stream: TcpStream,
    buf: BytesMut,
    reader: RequestReader,
    idle_since: Millis,
    /// Whether no further requests are read: the last one asked to close the connection, the input
    /// is rejected, or the daemon is about to exit.
    read_closed: bool,
    /// How many more bytes may be discarded.
    discardable: usize,
    /// The requests in flight in their order, which learn by this that their caller has left.
    callers: VecDeque<CallerPresence>,
}

/// What woke up a connection's loop.
enum Wakeup {
    Read(std::io::Result<usize>),
    /// The caller has closed the connection, or its sending direction.
    CallerLeft,
    Response(PendingResponse, CallerResponse),
    Timer,
}

impl CallerConnection {
    fn new(cx: Arc<Shared>, stream: TcpStream) -> CallerConnection {
        let idle_since = cx.clock.now();
        cx.on_connection_opened();
        CallerConnection {
            cx,
            stream,
            buf: BytesMut::new(),
            reader: RequestReader::new(&REQUEST_BODIES, Millis(fastrand::u64(MAX_MEMORY_WAIT_MS))),
            idle_since,
            read_closed: false,
            discardable: MAX_DISCARDED_BYTES,
            callers: VecDeque::new(),
        }
    }

    async fn run(mut self) {
        let mut in_flight = FuturesOrdered::new();
        loop {
            if self.buf.capacity() - self.buf.len() < MIN_READ_CAPACITY {
                self.buf.reserve(MIN_READ_CAPACITY);
            }
            let may_read = in_flight.len() < MAX_PIPELINED_REQUESTS
                && !self.read_closed
                && !self.reader.awaits_memory();
            let timer = sleep_until(self.next_wakeup(in_flight.is_empty()));
            let has_timer = in_flight.is_empty() || self.is_receiving();
            let (read_closed, discardable) = (self.read_closed, &mut self.discardable);
            let (stream, buf) = (&mut self.stream, &mut self.buf);
            let input = async move {
                if may_read {
                    return Wakeup::Read(stream.read_buf(buf).await);
                }
                // What is behind the last request is not served, but what is behind the maximum
                // number of requests is served later.
                let mut none = 0;
                let discardable = if read_closed { discardable } else { &mut none };
                caller_left(&stream.split().0, discardable).await;
                Wakeup::CallerLeft
            };
            let wakeup = tokio::select! {
                Some((pending, response)) = in_flight.next(), if !in_flight.is_empty() => {
                    Wakeup::Response(pending, response)
                }
                wakeup = input => wakeup,
                () = timer, if has_timer => Wakeup::Timer,
            };
            match wakeup {
                Wakeup::Read(Ok(read)) if read > 0 => {}
                Wakeup::Read(_) | Wakeup::CallerLeft => return,
                Wakeup::Response(pending, response) => {
                    self.callers.pop_front();
                    let stopping = self.cx.is_stopping();
                    let no_unread_input = self.buf.is_empty() && !self.is_receiving();
                    let close = pending.close_after
                        || (in_flight.is_empty()
                            && !self.reader.is_rejected()
                            && (self.read_closed || stopping && no_unread_input));
                    let bytes = encode_response(
                        &pending.method,
                        response.status,
                        &response.headers,
                        &response.body,
                        close,
                    );
                    if !self.write_response(&bytes).await {
                        return;
                    }
                    if close && pending.close_after {
                        return;
                    }
                    if close {
                        return self.discard_input(DISCARD_TIMEOUT).await;
                    }
                    self.idle_since = self.cx.clock.now();
                }
                Wakeup::Timer if self.is_idle_expired(in_flight.is_empty()) => return,
                Wakeup::Timer => {
                    let max_time = self.cx.caller_limits().head_timeout;
                    self.reader.check_time(self.cx.clock.now(), max_time);
                }
            }
            // A caller that always has requests in flight would otherwise still send some when the
            // process exits. Requests that are not read are sent again.
            self.read_closed |= self.cx.may_close_connections() && !in_flight.is_empty();
            while in_flight.len() < MAX_PIPELINED_REQUESTS && !self.read_closed {
                match self.next_request() {
                    NextRequest::Complete(request) => {
                        let pending = self.spawn_request(request);
                        in_flight.push_back(await_response(pending));
                    }
                    NextRequest::AwaitsContinue => {
                        if !self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await {
                            return;
                        }
                    }
                    NextRequest::Incomplete | NextRequest::AwaitsMemory => break,
                    NextRequest::Rejected => self.read_closed = true,
                }
            }
            match self.reader.due_rejection(in_flight.len()) {
                Some(status) => return self.reject(status).await,
                None if self.read_closed && in_flight.is_empty() => return,
                None => {}
            }
        }
    }

    fn next_request(&mut self) -> NextRequest {
        let limits = self.cx.caller_limits();
        let (now, max_head_bytes) = (self.cx.clock.now(), limits.max_head_bytes);
        self.reader.advance(&mut self.buf, now, max_head_bytes, limits.max_body_bytes)
    }

    fn spawn_request(&mut self, request: ReceivedRequest) -> PendingResponse {
        let ReceivedRequest { head, body } = request;
        let (method, close_after) = (head.method.clone(), !head.is_keep_alive());
        self.read_closed |= close_after;
        let request = Request { head, body, arrived: self.cx.clock.now() };
        let (caller, response_future) = respond(Arc::clone(&self.cx), request);
        let task = tokio::spawn(response_future);
        self.callers.push_back(caller);
        PendingResponse { method, close_after, task }
    }

    /// Gives up the requests in flight that nobody waits for any more.
    fn on_caller_left(&mut self) {
        for caller in self.callers.drain(..) {
            caller.leave();
        }
    }

    /// Returns whether a part of a request has been received whose rest is waited for.
    fn is_receiving(&self) -> bool {
        self.reader.is_receiving() && !self.read_closed
    }

    fn is_idle_expired(&self, no_requests: bool) -> bool {
        if !no_requests || self.is_receiving() {
            return false;
        }
        let idle = self.cx.clock.now().since(self.idle_since);
        match self.cx.is_stopping() {
            true => idle >= SHUTDOWN_IDLE_TIMEOUT && self.cx.may_close_connections(),
            false => idle >= self.cx.caller_limits().idle_timeout + IDLE_MARGIN,
        }
    }

    fn next_wakeup(&self, no_requests: bool) -> Instant {
        let limits = self.cx.caller_limits();
        let now = self.cx.clock.now();
        let wait = match self.reader.times_out_at(limits.head_timeout) {
            Some(_) if self.reader.awaits_memory() => MEMORY_POLL_INTERVAL,
            Some(at) => at.since(now),
            None if no_requests => SHUTDOWN_POLL_INTERVAL,
            None => limits.idle_timeout,
        };
        Instant::now() + Duration::from(wait + Millis(1))
    }

    /// Responds with an error status to input that is not a valid request or arrives too slowly,
    /// and closes the connection.
    async fn reject(mut self, status: u16) {
        self.cx.metrics.on_malformed_request(status);
        let mut headers = HeaderMap::new();
        if status == 503 {
            headers.insert(RETRY_AFTER, MEMORY_RETRY_AFTER_SECS.into());
        }
        let bytes = encode_response(&Method::GET, status, &headers, b"", true);
        if self.write(&bytes).await {
            let max_time = if self.cx.is_stopping() { DISCARD_TIMEOUT } else { REJECTED_TIMEOUT };
            self.discard_input(max_time).await;
        }
    }

    /// Ends the output, and reads until the caller has closed the connection or a time-out has
    /// passed. Closing it with unread input would reset it, which could destroy the last response.
    async fn discard_input(mut self, max_time: Duration) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let read = async {
            while matches!(self.stream.read_buf(&mut self.buf).await, Ok(read) if read > 0) {
                self.buf.clear();
            }
        };
        // After the time-out the response has been received, or the caller does not read.
        let _ = timeout(max_time, read).await;
    }

    /// Writes a response, and notices meanwhile if the caller leaves. Returns whether the connection
    /// is still in use.
    async fn write_response(&mut self, bytes: &[u8]) -> bool {
        let (input, mut output) = self.stream.split();
        let mut writing = std::pin::pin!(output.write_all(bytes));
        // The input may contain further requests.
        let mut discardable = 0;
        tokio::select! {
            biased;
            written = &mut writing => return written.is_ok(),
            () = caller_left(&input, &mut discardable) => {}
        }
        for caller in self.callers.drain(..) {
            caller.leave();
        }
        // A caller that only stops sending may still read the response.
        let _ = timeout(DISCARD_TIMEOUT, writing).await;
        false
    }

    /// Returns whether all bytes were written.
    async fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        // However the connection ends, nobody waits for the responses any more.
        self.on_caller_left();
        self.cx.on_connection_ended();
    }
}

/// Waits until the caller has closed the connection or its sending direction, or the connection is
/// broken. Reads and discards up to `discardable` bytes. Other input stays unread, and the end can be
/// seen behind it as long as the system holds all of it.
async fn caller_left(input: &ReadHalf<'_>, discardable: &mut usize) {
    let mut discarded = [0; DISCARD_BUFFER_BYTES];
    loop {
        match input.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => {}
            _ => return,
        }
        if *discardable == 0 {
            sleep(CLOSE_POLL_INTERVAL).await;
            continue;
        }
        match input.try_read(&mut discarded) {
            Ok(0) => return,
            Ok(read) => *discardable = discardable.saturating_sub(read),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

async fn await_response(mut pending: PendingResponse) -> (PendingResponse, CallerResponse) {
    let response = match (&mut pending.task).await {
        Ok(Some(response)) => response,
        // The task panicked, or nobody waits for the response. It is unknown whether the server ran
        // the request.
        Ok(None) | Err(_) => CallerResponse::with_status(502),
    };
    (pending, response)
}
