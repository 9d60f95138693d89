//! Sends orders to backend servers.

use {
    crate::{
        connection::{CallError, Link, Sent},
        process::Shared,
    },
    http::{HeaderMap, HeaderValue, header},
    oriolehoist_http1::encode_request,
    oriolehoist_keyspace::{OrderEnd, OrderToSend},
    oriolehoist_log::{Event, report},
    oriolehoist_port::OrderAnswer,
    oriolehoist_time::Millis,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::timeout,
};

/// The longest wait for a connection to a server.
const CONNECT_WAIT: Millis = Millis(250);
/// How long an idle connection is used again.
const IDLE_TIMEOUT: Millis = Millis(2500);

/// Sends the orders of one term, and stops when the permission ends.
pub(crate) struct OrderSender {
    cx: Arc<Shared>,
    /// Until when this daemon is certainly the assigner.
    permitted_until: AtomicU64,
    idle: Mutex<HashMap<SocketAddr, Vec<(Millis, Link)>>>,
}

impl OrderSender {
    pub(crate) fn new(cx: Arc<Shared>, permitted_until: Millis) -> OrderSender {
        let permitted_until = AtomicU64::new(permitted_until.0);
        OrderSender { cx, permitted_until, idle: Mutex::default() }
    }

    pub(crate) fn permitted_until(&self) -> Millis {
        Millis(self.permitted_until.load(Ordering::Relaxed))
    }

    pub(crate) fn permit(&self, until: Millis) {
        self.permitted_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Ends the permission for good.
    pub(crate) fn revoke(&self) {
        self.permitted_until.store(0, Ordering::Relaxed);
        self.lock_idle().clear();
    }

    fn is_permitted(&self) -> bool {
        self.cx.clock.now() < self.permitted_until()
    }

    /// Sends an order and waits for its end.
    pub(crate) async fn send(&self, to: &OrderToSend) -> OrderEnd {
        let end = self.exchange(to).await;
        let name = match &end {
            OrderEnd::Answered(OrderAnswer::Done(_)) => "done",
            OrderEnd::Answered(OrderAnswer::HigherFence) => "higher-fence",
            OrderEnd::Answered(OrderAnswer::Refused(_)) => "refused",
            OrderEnd::Unanswered => "unanswered",
            OrderEnd::Unsent => "unsent",
        };
        self.cx.metrics.on_order(name);
        if !matches!(end, OrderEnd::Answered(OrderAnswer::Done(_))) {
            let text = format_args!("server={} order=\"{:?}\" end={name}", to.server.id, to.order);
            report(Event::OrderFailed, text);
        }
        end
    }

    async fn exchange(&self, to: &OrderToSend) -> OrderEnd {
        let http = self.cx.platform.order(&to.order);
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::from_str(&to.address.to_string()) {
            headers.insert(header::HOST, host);
        }
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let message = encode_request(&http.method, &http.path, &headers, &http.body);
        let mut link = match self.take_idle(to.address) {
            Some(link) => link,
            None => match Link::open(self.cx.source(), to.address, CONNECT_WAIT).await {
                Ok(link) => link,
                Err(_) => return OrderEnd::Unsent,
            },
        };
        // Time may have passed since the order was decided, also by a suspension of the instance.
        if !self.is_permitted() {
            return OrderEnd::Unsent;
        }
        let mut sent = Sent::Nothing;
        let called = link.call(&http.method, message, None, &mut sent);
        let called = timeout(Duration::from(to.timeout), called).await;
        match called.unwrap_or(Err(CallError::TimedOut)) {
            Ok(answered) => {
                if answered.reusable && self.is_permitted() {
                    let kept = (self.cx.clock.now(), link);
                    self.lock_idle().entry(to.address).or_default().push(kept);
                }
                OrderEnd::Answered(self.cx.platform.order_answer(&answered.answer))
            }
            Err(_) => {
                link.reset();
                OrderEnd::Unanswered
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Link> {
        let now = self.cx.clock.now();
        let mut idle = self.lock_idle();
        let links = idle.get_mut(&address)?;
        links.retain(|(since, _)| now.since(*since) < IDLE_TIMEOUT);
        while let Some((_, link)) = links.pop() {
            if link.is_quiet() {
                return Some(link);
            }
        }
        None
    }

    fn lock_idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<(Millis, Link)>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
