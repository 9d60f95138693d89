use {
    crate::fault::{
        Fault,
        network::{Shared, reset},
    },
    oriolehoist_time::Millis,
    std::{
        io,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        time::sleep,
    },
};

/// The start of a compare-and-swap request.
const CAS_REQUEST: &[u8] = b"POST /v1/cas ";
/// How often a connection checks whether it is to be reset.
const RESET_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The size of the read buffer, in bytes.
const READ_BUFFER_SIZE: usize = 16 << 10;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Responses,
}

/// What is done with a chunk of bytes.
enum Action {
    /// Forwards this many bytes from the start of the chunk, after this delay.
    Forward(usize, Millis),
    /// Discards the chunk and keeps the connection open.
    Drop,
    /// Closes the connection without forwarding the chunk.
    Close,
}

/// Forwards one connection until either side or a fault closes it.
pub(super) async fn run_connection(
    shared: Arc<Shared>,
    client: TcpStream,
    from: IpAddr,
    edge_name: Arc<str>,
    target: SocketAddr,
) {
    let opened_at = shared.clock.now();
    let Ok(server) = connect(from, target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let resetting = Arc::clone(&shared);
    let name = Arc::clone(&edge_name);
    let cx = Connection {
        shared,
        from,
        edge_name,
        opened_at,
        last_request_is_cas: AtomicBool::new(false),
    };
    let (mut client, mut server) = (client, server);
    let must_reset = {
        let (client_rx, client_tx) = client.split();
        let (server_rx, server_tx) = server.split();
        tokio::select! {
            () = pump(&cx, Direction::Requests, client_rx, server_tx) => false,
            () = pump(&cx, Direction::Responses, server_rx, client_tx) => false,
            () = until_reset(&resetting, from, &name) => true,
        }
    };
    if must_reset {
        reset(&client);
        reset(&server);
    }
}

/// Waits until the open connections from an address are to be reset.
async fn until_reset(shared: &Shared, from: IpAddr, edge_name: &str) {
    while !shared.has_fault(from, edge_name, &[Fault::Reset]) {
        sleep(RESET_POLL_INTERVAL).await;
    }
}

/// Connects to `target` from the caller's own address, which the target may look at.
async fn connect(from: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(from, 0))?;
    socket.connect(target).await
}

struct Connection {
    shared: Arc<Shared>,
    from: IpAddr,
    edge_name: Arc<str>,
    opened_at: Millis,
    /// Whether the last request was a compare-and-swap.
    last_request_is_cas: AtomicBool,
}

impl Connection {
    fn is_cas(&self) -> bool {
        self.last_request_is_cas.load(Ordering::Relaxed)
    }

    /// Updates `last_request_is_cas` if the bytes start with the first line of a request.
    fn record_request(&self, bytes: &[u8]) {
        let line = bytes.split(|&byte| byte == b'\r').next().unwrap_or_default();
        if line.ends_with(b" HTTP/1.1") {
            self.last_request_is_cas.store(line.starts_with(CAS_REQUEST), Ordering::Relaxed);
        }
    }

    /// Decides what to do with a chunk of `length` bytes, after `forwarded` bytes have been
    /// forwarded in the same direction.
    fn decide(&self, direction: Direction, forwarded: u64, length: usize) -> Action {
        let is_response = direction == Direction::Responses;
        let mut delay = Millis::ZERO;
        for fault in self.shared.faults(self.from, &self.edge_name, self.opened_at) {
            match fault {
                Fault::DropAll | Fault::StallOpenConnections => return Action::Drop,
                Fault::DropRequests if !is_response => return Action::Drop,
                Fault::DropResponses if is_response => return Action::Drop,
                Fault::CloseOnResponse if is_response => return Action::Close,
                Fault::CloseOnCasResponse if is_response && self.is_cas() => return Action::Close,
                Fault::TruncateResponses(limit) if is_response && forwarded >= limit => {
                    return Action::Close;
                }
                Fault::TruncateResponses(limit) if is_response => {
                    let remaining = usize::try_from(limit - forwarded).unwrap_or(usize::MAX);
                    return Action::Forward(length.min(remaining), delay);
                }
                Fault::Delay(time) => delay = delay.max(time),
                _ => {}
            }
        }
        Action::Forward(length, delay)
    }
}

async fn pump(
    cx: &Connection,
    direction: Direction,
    mut rx: impl AsyncRead + Unpin,
    mut tx: impl AsyncWrite + Unpin,
) {
    let mut buf = vec![0; READ_BUFFER_SIZE];
    let mut forwarded = 0;
    loop {
        let length = match rx.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        if direction == Direction::Requests {
            cx.record_request(&buf[..length]);
        }
        match cx.decide(direction, forwarded, length) {
            Action::Close => return,
            Action::Drop => {}
            Action::Forward(length, delay) => {
                if delay > Millis::ZERO {
                    sleep(Duration::from(delay)).await;
                }
                if tx.write_all(&buf[..length]).await.is_err() {
                    return;
                }
                forwarded += length as u64;
                cx.shared.bytes_forwarded.fetch_add(length as u64, Ordering::Relaxed);
            }
        }
    }
}
