//! The log lines and counters of orders.

use {
    crate::{
        connection::ExchangeProgress,
        control::field::OrDash,
        process::{Shared, lock},
    },
    derive_more::Display,
    oriolehoist_keyspace::{OrderOutcome, OutgoingOrder, ServerIncarnation},
    oriolehoist_log::{Event, report},
    oriolehoist_port::{Order, OrderResponse, Revision},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{collections::HashMap, sync::Mutex},
};

/// The maximum number of lines per second on orders that were carried out.
const MAX_LINES_PER_SECOND: u32 = 200;
/// How long a server that does not respond is remembered.
const SERVER_RETENTION: Millis = Millis(60_000);

/// The connection that an order was sent on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum OrderConnection {
    #[display("new")]
    New,
    #[display("reused")]
    Reused,
    /// There was no connection.
    #[display("none")]
    None,
}

/// What is known of an order besides its outcome.
#[derive(Debug)]
pub(super) struct OrderTrace {
    /// The version of the table that was stored when the order was planned.
    pub(super) table_version: u64,
    pub(super) started_at: Millis,
    pub(super) connection: OrderConnection,
    pub(super) progress: ExchangeProgress,
    /// What the peer called itself in its response.
    pub(super) peer: Option<SmolStr>,
}

/// Logs the orders of one term. Successful renewals on reused connections are only counted.
pub(super) struct OrderLog {
    term: Revision,
    state: Mutex<LogState>,
}

#[derive(Default)]
struct LogState {
    /// When each server last responded.
    responded_at: HashMap<ServerIncarnation, Millis>,
    window_start: Millis,
    lines_in_window: u32,
    skipped: u64,
}

impl OrderLog {
    pub(super) fn new(term: Revision) -> OrderLog {
        OrderLog { term, state: Mutex::default() }
    }

    /// Counts an order that has ended, and logs it unless it is a plain renewal.
    pub(super) fn on_ended(
        &self,
        cx: &Shared,
        order: &OutgoingOrder,
        outcome: &OrderOutcome,
        trace: &OrderTrace,
    ) {
        let OrderTrace { table_version, started_at, connection, progress, peer } = trace;
        let now = cx.clock.now();
        let end = outcome_name(outcome);
        cx.metrics.on_order(end, &connection.to_string());

        let mut state = lock(&self.state);
        let since_response = state.responded_at.get(&order.server).map(|at| now.since(*at).0);
        state.record(now, order, outcome);
        let is_done = matches!(outcome, OrderOutcome::Answered(OrderResponse::Done(_)));
        let is_plain = is_done && order.is_renewal && *connection == OrderConnection::Reused;
        if is_plain || (is_done && !state.take_line(now)) {
            return;
        }
        let skipped = if is_done { std::mem::take(&mut state.skipped) } else { 0 };
        drop(state);

        let (range, fence, duration) = match &order.order {
            Order::Grant { range, fence, hold, .. } => (range, fence, hold.0),
            Order::Release { range, fence } => (range, fence, 0),
        };
        let (id, address, term, kind) = (order.id, order.address, self.term, kind(order));
        let ServerIncarnation { id: server, started_at: born } = &order.server;
        let (peer, since_response) = (OrDash(peer.as_ref()), OrDash(since_response));
        let (took, unexpected) = (now.since(*started_at).0, progress.skipped);
        let text = format_args!(
            "order={id} term={term} table={table_version} server={server} born={born} \
             address={address} kind={kind} keys={range} fence={fence} duration_ms={duration} \
             connection={connection} unexpected={unexpected} peer={peer} \
             since_response_ms={since_response} end={end} took_ms={took}"
        );
        match is_done {
            true if skipped > 0 => {
                report(Event::OrderEnded, format_args!("{text} skipped={skipped}"));
            }
            true => report(Event::OrderEnded, text),
            false => report(Event::OrderFailed, format_args!("{text} answer=\"{outcome:?}\"")),
        }
    }
}

impl LogState {
    /// Records whether the server responded to an order.
    fn record(&mut self, now: Millis, order: &OutgoingOrder, outcome: &OrderOutcome) {
        if !matches!(outcome, OrderOutcome::Answered(_)) {
            return;
        }
        if self.responded_at.insert(order.server.clone(), now).is_none() {
            self.responded_at.retain(|_, at| now.since(*at) < SERVER_RETENTION);
        }
    }

    /// Takes one of the lines allowed in this second. Returns whether there was one left.
    fn take_line(&mut self, now: Millis) -> bool {
        if now.since(self.window_start) >= Millis(1000) {
            (self.window_start, self.lines_in_window) = (now, 0);
        }
        let allowed = self.lines_in_window < MAX_LINES_PER_SECOND;
        match allowed {
            true => self.lines_in_window += 1,
            false => self.skipped += 1,
        }
        allowed
    }
}

fn kind(order: &OutgoingOrder) -> &'static str {
    match &order.order {
        Order::Grant { .. } if order.is_renewal => "renewal",
        Order::Grant { .. } => "grant",
        Order::Release { .. } => "release",
    }
}

fn outcome_name(outcome: &OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Answered(OrderResponse::Done(_)) => "done",
        OrderOutcome::Answered(OrderResponse::HigherFence) => "higher-fence",
        OrderOutcome::Answered(OrderResponse::Refused(_)) => "refused",
        OrderOutcome::Unanswered => "unanswered",
        OrderOutcome::Unsent => "unsent",
        OrderOutcome::Disconnected => "disconnected",
    }
}
