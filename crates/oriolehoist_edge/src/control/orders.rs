//! Sends orders to backend servers.

use {
    crate::{
        connection::{Caller, CallerOptions},
        process::{Shared, lock},
    },
    oriolehoist_keyspace::{OrderOutcome, OutgoingOrder},
    oriolehoist_log::{Event, report},
    oriolehoist_port::{Order, OrderResponse},
    oriolehoist_time::Millis,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::sync::Semaphore,
};

/// The longest wait for a connection to a server.
const CONNECT_WAIT: Millis = Millis(250);
/// How long an idle connection is used again.
const IDLE_TIMEOUT: Millis = Millis(2500);

/// How many releases to one server may be on their way: they answer after the work that runs.
const RELEASES_AT_ONCE: usize = 3;

/// Orders to one server go one after the other, since it takes few connections.
struct Lane {
    turns: Semaphore,
    failures: AtomicU64,
}

/// Sends the orders of one term, and stops when the permission ends.
pub(crate) struct OrderSender {
    cx: Arc<Shared>,
    /// Until when this daemon is certainly the assigner.
    permitted_until: AtomicU64,
    lanes: Mutex<HashMap<(SocketAddr, bool), Arc<Lane>>>,
    caller: Caller,
}

impl OrderSender {
    pub(crate) fn new(cx: Arc<Shared>, permitted_until: Millis) -> OrderSender {
        let options = CallerOptions {
            connect_wait: CONNECT_WAIT,
            idle_timeout: IDLE_TIMEOUT,
            content_type: Some("application/json"),
        };
        OrderSender {
            permitted_until: AtomicU64::new(permitted_until.0),
            lanes: Mutex::default(),
            caller: Caller::new(cx.clock, cx.source(), options),
            cx,
        }
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
        self.caller.close_idle();
    }

    fn is_permitted(&self) -> bool {
        self.cx.clock.now() < self.permitted_until()
    }

    /// Sends an order and waits for its end.
    pub(crate) async fn send(&self, to: &OutgoingOrder) -> OrderOutcome {
        let end = self.send_in_turn(to).await;
        let name = match &end {
            OrderOutcome::Answered(OrderResponse::Done(_)) => "done",
            OrderOutcome::Answered(OrderResponse::HigherFence) => "higher-fence",
            OrderOutcome::Answered(OrderResponse::Refused(_)) => "refused",
            OrderOutcome::Unanswered => "unanswered",
            OrderOutcome::Unsent => "unsent",
        };
        self.cx.metrics.on_order(name);
        if !matches!(end, OrderOutcome::Answered(OrderResponse::Done(_))) {
            let (id, order) = (&to.server.id, &to.order);
            let text =
                format_args!("server={id} order=\"{order:?}\" end={name} answer=\"{end:?}\"");
            report(Event::OrderFailed, text);
        }
        end
    }

    /// Waits for the order's turn. What waited while an earlier order failed is not sent.
    async fn send_in_turn(&self, to: &OutgoingOrder) -> OrderOutcome {
        let is_release = matches!(to.order, Order::Release { .. });
        let lane = self.lane(to.address, is_release);
        let failures = lane.failures.load(Ordering::Relaxed);
        // The semaphore is never closed.
        let Ok(_turn) = lane.turns.acquire().await else { return OrderOutcome::Unsent };
        if lane.failures.load(Ordering::Relaxed) != failures {
            return OrderOutcome::Unsent;
        }
        let end = self.exchange(to).await;
        if !matches!(end, OrderOutcome::Answered(_)) {
            lane.failures.fetch_add(1, Ordering::Relaxed);
        }
        end
    }

    fn lane(&self, address: SocketAddr, is_release: bool) -> Arc<Lane> {
        let turns = if is_release { RELEASES_AT_ONCE } else { 1 };
        let new = || Lane { turns: Semaphore::new(turns), failures: AtomicU64::new(0) };
        let mut lanes = lock(&self.lanes);
        Arc::clone(lanes.entry((address, is_release)).or_insert_with(|| Arc::new(new())))
    }

    async fn exchange(&self, to: &OutgoingOrder) -> OrderOutcome {
        let http = self.cx.platform.encode_order(&to.order);
        let Ok(link) = self.caller.link(to.address).await else { return OrderOutcome::Unsent };
        // Time may have passed since the order was decided, also by a suspension of the instance.
        if !self.is_permitted() {
            return OrderOutcome::Unsent;
        }
        match self.caller.call(link, to.address, &http, to.timeout).await {
            Ok(answer) => OrderOutcome::Answered(self.cx.platform.decode_order_response(&answer)),
            Err(_) => OrderOutcome::Unanswered,
        }
    }
}
