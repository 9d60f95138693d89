use {
    crate::fault::{Fault, network::Shared},
    oriolehoist_time::Millis,
    std::{
        net::{IpAddr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
};

/// How a compare-and-swap begins.
const WRITE_REQUEST: &[u8] = b"POST /v1/cas ";
/// How many bytes are read at once.
const CHUNK: usize = 16 << 10;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Answers,
}

/// What happens to a chunk of bytes.
enum Verdict {
    Pass(usize, Millis),
    Swallow,
    Close,
}

/// Carries one connection until either end closes it or a fault does.
pub(super) async fn run_connection(
    shared: Arc<Shared>,
    client: TcpStream,
    from: IpAddr,
    to: Arc<str>,
    target: SocketAddr,
) {
    let opened = shared.clock.now();
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let cx = Edge { shared, from, to, opened, writing: AtomicBool::new(false) };
    tokio::select! {
        () = pump(&cx, Direction::Requests, client_rx, server_tx) => {}
        () = pump(&cx, Direction::Answers, server_rx, client_tx) => {}
    }
}

struct Edge {
    shared: Arc<Shared>,
    from: IpAddr,
    to: Arc<str>,
    opened: Millis,
    /// Whether the last request was a compare-and-swap.
    writing: AtomicBool,
}

impl Edge {
    fn is_writing(&self) -> bool {
        self.writing.load(Ordering::Relaxed)
    }

    fn note_request(&self, bytes: &[u8]) {
        let line = bytes.split(|&byte| byte == b'\r').next().unwrap_or_default();
        if line.ends_with(b" HTTP/1.1") {
            self.writing.store(line.starts_with(WRITE_REQUEST), Ordering::Relaxed);
        }
    }

    fn judge(&self, direction: Direction, passed: u64, length: usize) -> Verdict {
        let answers = direction == Direction::Answers;
        let mut delay = Millis::ZERO;
        for fault in self.shared.faults(self.from, &self.to, self.opened) {
            match fault {
                Fault::Cut | Fault::SilenceOpen => return Verdict::Swallow,
                Fault::SwallowRequests if !answers => return Verdict::Swallow,
                Fault::SwallowAnswers if answers => return Verdict::Swallow,
                Fault::LoseAnswers if answers => return Verdict::Close,
                Fault::LoseWriteAnswers if answers && self.is_writing() => return Verdict::Close,
                Fault::CutAnswersAfter(most) if answers && passed >= most => {
                    return Verdict::Close;
                }
                Fault::CutAnswersAfter(most) if answers => {
                    let left = usize::try_from(most - passed).unwrap_or(usize::MAX);
                    return Verdict::Pass(length.min(left), delay);
                }
                Fault::Delay(by) => delay = delay.max(by),
                _ => {}
            }
        }
        Verdict::Pass(length, delay)
    }
}

async fn pump(
    cx: &Edge,
    direction: Direction,
    mut rx: impl AsyncRead + Unpin,
    mut tx: impl AsyncWrite + Unpin,
) {
    let mut buf = vec![0; CHUNK];
    let mut passed = 0;
    loop {
        let length = match rx.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        if direction == Direction::Requests {
            cx.note_request(&buf[..length]);
        }
        match cx.judge(direction, passed, length) {
            Verdict::Close => return,
            Verdict::Swallow => {}
            Verdict::Pass(length, delay) => {
                if delay > Millis::ZERO {
                    sleep(Duration::from(delay)).await;
                }
                if tx.write_all(&buf[..length]).await.is_err() {
                    return;
                }
                passed += length as u64;
                cx.shared.bytes_forwarded.fetch_add(length as u64, Ordering::Relaxed);
            }
        }
    }
}
