//! Sends orders to backend servers.

use {
    crate::{
        connection::{
            CallError, ClientConnection, ConnectionState, ExchangeProgress, ExpectedResponse,
            HttpClient, HttpClientOptions, IdHeaders, MAX_CONTROL_BODY_BYTES,
        },
        control::order_log::{OrderConnection, OrderLog, OrderTrace},
        process::{Shared, lock},
        request::{Absence, MISDIRECTED, observe_statements},
    },
    http::HeaderValue,
    oriolehoist_keyspace::{OrderOutcome, OutgoingOrder, SessionId},
    oriolehoist_port::{HttpResponse, Order, Revision},
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

/// The maximum time to establish a connection to a server.
const CONNECT_TIMEOUT: Millis = Millis(250);
/// How long an idle connection may be reused.
const IDLE_TIMEOUT: Millis = Millis(2500);

/// The maximum number of concurrent releases to one server. A server responds to a release only
/// after the work in flight has ended.
const MAX_CONCURRENT_RELEASES: usize = 3;

/// The queue of orders to one server. They are sent one at a time because a server accepts few
/// connections. Releases have a separate queue.
struct OrderQueue {
    permits: Semaphore,
    /// The number of orders that failed. Orders that were queued before a failure are dropped.
    failures: AtomicU64,
    /// The connection for grants. Only the holder of the permit uses it.
    session: Mutex<Session>,
}

/// The connection of a session.
#[derive(Default)]
struct Session {
    /// The last session for which a connection was opened.
    id: Option<SessionId>,
    /// `None` if the connection has ended or is in use.
    connection: Option<ClientConnection>,
}

/// Sends the orders of one term while the assigner's lease is valid. Permits are issued for as long.
pub(crate) struct OrderSender {
    cx: Arc<Shared>,
    /// The time until which this daemon is certain to be the assigner.
    lease_valid_until: AtomicU64,
    /// The queues by the server's address, and whether they are for releases.
    queues: Mutex<HashMap<(SocketAddr, bool), Arc<OrderQueue>>>,
    http: HttpClient,
    log: OrderLog,
}

impl OrderSender {
    pub(crate) fn new(cx: Arc<Shared>, term: Revision, lease_valid_until: Millis) -> OrderSender {
        let options = HttpClientOptions {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            content_type: Some("application/json"),
            max_body_bytes: MAX_CONTROL_BODY_BYTES,
        };
        cx.permits.set_valid_until(cx.clock.now(), lease_valid_until);
        OrderSender {
            lease_valid_until: AtomicU64::new(lease_valid_until.0),
            queues: Mutex::default(),
            http: HttpClient::new(cx.clock, cx.source_ip(), options),
            log: OrderLog::new(term),
            cx,
        }
    }

    pub(crate) fn lease_valid_until(&self) -> Millis {
        Millis(self.lease_valid_until.load(Ordering::Relaxed))
    }

    pub(crate) fn extend_lease(&self, until: Millis) {
        self.lease_valid_until.fetch_max(until.0, Ordering::Relaxed);
        self.cx.permits.set_valid_until(self.cx.clock.now(), self.lease_valid_until());
    }

    /// Stops sending orders and issuing permits until the lease is extended, and closes all idle connections.
    pub(crate) fn revoke(&self) {
        self.lease_valid_until.store(0, Ordering::Relaxed);
        self.cx.permits.set_valid_until(self.cx.clock.now(), Millis::ZERO);
        self.http.close_idle();
        for queue in lock(&self.queues).values() {
            lock(&queue.session).connection = None;
        }
    }

    fn may_send(&self) -> bool {
        self.cx.clock.now() < self.lease_valid_until()
    }

    /// Sends an order and waits for its outcome. `table_version` is the version of the table that
    /// was stored when the order was planned.
    pub(crate) async fn send(&self, order: &OutgoingOrder, table_version: u64) -> OrderOutcome {
        let mut trace = OrderTrace {
            table_version,
            started_at: self.cx.clock.now(),
            connection: OrderConnection::None,
            progress: ExchangeProgress::default(),
            peer: None,
        };
        let outcome = self.send_queued(order, &mut trace).await;
        self.log.on_ended(&self.cx, order, &outcome, &trace);
        outcome
    }

    /// Waits in the server's queue, then sends the order. An order is dropped if an earlier one
    /// failed while it was waiting.
    async fn send_queued(&self, order: &OutgoingOrder, trace: &mut OrderTrace) -> OrderOutcome {
        let is_release = matches!(order.order, Order::Release { .. });
        let queue = self.queue(order.address, is_release);
        let failures = queue.failures.load(Ordering::Relaxed);
        // The semaphore is never closed.
        let Ok(_permit) = queue.permits.acquire().await else { return OrderOutcome::Unsent };
        if queue.failures.load(Ordering::Relaxed) != failures {
            return OrderOutcome::Unsent;
        }
        let outcome = match order.session {
            Some(session) => self.send_in_session(&queue.session, session, order, trace).await,
            None => self.send_now(order, trace).await,
        };
        if !matches!(outcome, OrderOutcome::Answered(_)) {
            queue.failures.fetch_add(1, Ordering::Relaxed);
        }
        outcome
    }

    fn queue(&self, address: SocketAddr, is_release: bool) -> Arc<OrderQueue> {
        let permits = if is_release { MAX_CONCURRENT_RELEASES } else { 1 };
        let new = || OrderQueue {
            permits: Semaphore::new(permits),
            failures: AtomicU64::new(0),
            session: Mutex::default(),
        };
        let mut queues = lock(&self.queues);
        Arc::clone(queues.entry((address, is_release)).or_insert_with(|| Arc::new(new())))
    }

    /// Sends an order over the connection of its session, and opens that connection if the session
    /// is newer than the one at hand.
    async fn send_in_session(
        &self,
        current: &Mutex<Session>,
        session: SessionId,
        order: &OutgoingOrder,
        trace: &mut OrderTrace,
    ) -> OrderOutcome {
        let (is_new, connection) = match &mut *lock(current) {
            Session { id, .. } if *id > Some(session) => return OrderOutcome::Disconnected,
            Session { id, connection } => (*id < Some(session), connection.take()),
        };
        let is_idle = |connection: &ClientConnection| connection.state() == ConnectionState::Idle;
        let connection = match connection.filter(is_idle) {
            Some(connection) if !is_new => connection,
            _ if !is_new => return OrderOutcome::Disconnected,
            _ => match self.http.connect(order.address).await {
                Ok(connection) => connection,
                Err(error) => {
                    self.observe_path(order, trace.started_at, Some(&error));
                    return OrderOutcome::Unsent;
                }
            },
        };
        if !self.may_send() {
            return OrderOutcome::Unsent;
        }
        trace.connection = if is_new { OrderConnection::New } else { OrderConnection::Reused };
        lock(current).id = Some(session);
        // The server may not echo the ids of orders, and all grants of a session use one connection.
        match self.exchange(connection, order, true, trace).await {
            Ok((response, connection)) => {
                lock(current).connection = connection;
                trace.peer = self.cx.platform.decode_peer_name(&response.headers);
                self.observe_statements(order, trace.started_at, &response);
                OrderOutcome::Answered(self.cx.platform.decode_order_response(&response))
            }
            Err(error) => {
                self.observe_path(order, trace.started_at, Some(&error));
                OrderOutcome::Unanswered
            }
        }
    }

    /// Sends an order with an id of its own over a connection. `may_be_unnamed` is whether a response
    /// without an id is taken by its place.
    async fn exchange(
        &self,
        connection: ClientConnection,
        order: &OutgoingOrder,
        may_be_unnamed: bool,
        trace: &mut OrderTrace,
    ) -> Result<(HttpResponse, Option<ClientConnection>), CallError> {
        let names = self.cx.platform.header_names();
        let mut request = self.cx.platform.encode_order(&order.server.id, &order.order);
        let id = HeaderValue::from_str(&format!("{:016x}", fastrand::u64(..)));
        let id = id.unwrap_or_else(|error| unreachable!("digits are a valid header: {error}"));
        request.headers.insert(names.request_id.clone(), id.clone());
        let expected = ExpectedResponse {
            headers: IdHeaders { id: &names.request_id, not_run: &names.not_run },
            id: Some(&id),
            may_be_unnamed,
        };
        let (to, max_wait, progress) = (order.address, order.timeout, &mut trace.progress);
        let sending =
            self.http.exchange(connection, to, &request, max_wait, Some(expected), progress);
        let result = sending.await;
        if trace.progress.skipped > 0 {
            self.cx.metrics.on_unexpected_responses("order", trace.progress.skipped);
        }
        result
    }

    /// Records what the end of an order shows about the path to its server.
    fn observe_path(&self, order: &OutgoingOrder, started_at: Millis, error: Option<&CallError>) {
        let Some(view) = self.cx.view.load() else { return };
        let backend = view.backends.get(&order.server.id);
        let Some(backend) = backend.filter(|backend| backend.incarnation == order.server) else {
            return;
        };
        match error {
            None => self.cx.on_server_answered(backend),
            Some(error) => self.cx.on_server_call_failed(backend, started_at, error),
        }
    }

    /// Records what the server says about itself in its response.
    fn observe_statements(&self, order: &OutgoingOrder, sent_at: Millis, response: &HttpResponse) {
        // Another process may have the address.
        if response.status != MISDIRECTED {
            self.observe_path(order, sent_at, None);
        }
        let Some(view) = self.cx.view.load() else { return };
        match view.backends.get(&order.server.id) {
            Some(backend) if backend.incarnation == order.server && response.status == 200 => {
                let absence = Absence::SaysNothing;
                observe_statements(&self.cx, backend, sent_at, response, absence, "order");
            }
            _ => {}
        }
    }

    async fn send_now(&self, order: &OutgoingOrder, trace: &mut OrderTrace) -> OrderOutcome {
        let conn = match self.http.acquire(order.address).await {
            Ok(conn) => conn,
            Err(error) => {
                self.observe_path(order, trace.started_at, Some(&error));
                return OrderOutcome::Unsent;
            }
        };
        trace.connection =
            if conn.was_used() { OrderConnection::Reused } else { OrderConnection::New };
        // Time may have passed since the order was planned, for example while the instance was
        // suspended.
        if !self.may_send() {
            return OrderOutcome::Unsent;
        }
        match self.exchange(conn, order, false, trace).await {
            Ok((response, connection)) => {
                self.http.put(order.address, connection);
                trace.peer = self.cx.platform.decode_peer_name(&response.headers);
                self.observe_statements(order, trace.started_at, &response);
                OrderOutcome::Answered(self.cx.platform.decode_order_response(&response))
            }
            Err(error) => {
                self.observe_path(order, trace.started_at, Some(&error));
                OrderOutcome::Unanswered
            }
        }
    }
}
