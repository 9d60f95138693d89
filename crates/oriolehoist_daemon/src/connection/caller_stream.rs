//! Connections from callers whose end is noticed while a request is served.
//!
//! The HTTP library looks for the end of a connection only while it has no unread input, so it would
//! not see that a caller with further requests on the way has left.

use {
    axum::{
        extract::connect_info::Connected,
        serve::{IncomingStream, Listener},
    },
    rustix::net::{Shutdown, shutdown},
    std::{
        io::{self, ErrorKind, IoSlice},
        net::SocketAddr,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// How often a connection with unread input is checked for its end.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A listener for callers.
pub(crate) struct CallerListener(pub(crate) TcpListener);

/// A connection from a caller, as the HTTP library uses it.
pub(crate) struct CallerStream(Arc<TcpStream>);

/// A connection from a caller, as the requests on it see it.
#[derive(Clone)]
pub(crate) struct CallerSocket(Arc<TcpStream>);

impl CallerSocket {
    /// Waits until the caller has closed the connection or its sending direction, or the connection
    /// is broken.
    pub(crate) async fn closed(&self) {
        loop {
            match self.0.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => sleep(CLOSE_POLL_INTERVAL).await,
                _ => return,
            }
        }
    }
}

impl Listener for CallerListener {
    type Io = CallerStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (CallerStream, SocketAddr) {
        let (stream, address) = Listener::accept(&mut self.0).await;
        (CallerStream(Arc::new(stream)), address)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

impl Connected<IncomingStream<'_, CallerListener>> for CallerSocket {
    fn connect_info(stream: IncomingStream<'_, CallerListener>) -> CallerSocket {
        CallerSocket(Arc::clone(&stream.io().0))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(bytes) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(&*self.0, Shutdown::Write).map_err(io::Error::from))
    }
}
