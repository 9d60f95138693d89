use {
    crate::connection::{CallError, IdleLinks, Link, Sent},
    http::{HeaderMap, HeaderValue, header},
    oriolehoist_http1::encode_request,
    oriolehoist_port::{HttpRequest, HttpResponse},
    oriolehoist_time::{Clock, Millis},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::time::timeout,
};

/// How calls to one kind of process are made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerOptions {
    /// The longest wait for a connection.
    pub(crate) connect_wait: Millis,
    /// How long an idle connection is used again.
    pub(crate) idle_timeout: Millis,
    /// What the bodies are, if the other side has to be told.
    pub(crate) content_type: Option<&'static str>,
}

/// Makes calls to other processes, and keeps its connections for the next ones.
#[derive(Debug)]
pub(crate) struct Caller {
    clock: Clock,
    source: IpAddr,
    idle: IdleLinks,
    options: CallerOptions,
}

impl Caller {
    pub(crate) fn new(clock: Clock, source: IpAddr, options: CallerOptions) -> Caller {
        Caller { clock, source, idle: IdleLinks::default(), options }
    }

    /// Takes a kept connection, or opens one.
    pub(crate) async fn link(&self, to: SocketAddr) -> Result<Link, CallError> {
        match self.idle.take(self.clock.now(), to) {
            Some(link) => Ok(link),
            None => Link::open(self.source, to, self.options.connect_wait).await,
        }
    }

    /// Makes a call. A connection without a whole answer is reset: what is held up on the way to
    /// the other side is then lost.
    pub(crate) async fn call(
        &self,
        mut link: Link,
        to: SocketAddr,
        call: &HttpRequest,
        wait: Millis,
    ) -> Result<HttpResponse, CallError> {
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::from_str(&to.to_string()) {
            headers.insert(header::HOST, host);
        }
        if let Some(content_type) = self.options.content_type {
            headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        }
        let message = encode_request(&call.method, &call.path, &headers, &call.body);
        let mut sent = Sent::Nothing;
        let answered = link.call(&call.method, message, None, &mut sent);
        let answered = timeout(Duration::from(wait), answered).await;
        match answered.unwrap_or(Err(CallError::TimedOut)) {
            Ok(answered) => {
                if answered.reusable {
                    self.idle.keep(self.clock.now() + self.options.idle_timeout, to, link);
                }
                Ok(answered.answer)
            }
            Err(error) => {
                link.reset();
                Err(error)
            }
        }
    }

    /// Closes the connections that are kept.
    pub(crate) fn close_idle(&self) {
        self.idle.clear();
    }
}
