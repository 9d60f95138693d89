//! Tasks that send control messages or write to the store, and pass any response to the actor.

use {
    crate::{
        connection::PeerError,
        control::{
            actor::Control,
            message::{
                AcceptTermResponseReceived, AssignmentWriteFinished, HeartbeatResponseReceived,
                OrderResponseReceived,
            },
        },
        process::DaemonContext,
    },
    kameo::actor::ActorRef,
    oriolehoist_ownership::ServerIndex,
    oriolehoist_platform::{CasOutcome, Revision, StoreError},
    oriolehoist_protocol::{
        AcceptTermRequest, Assignment, Heartbeat, Order, OrderBody, Resignation, Version, Witness,
    },
    oriolehoist_time::Millis,
    std::{net::SocketAddr, sync::Arc},
};

/// Timeout for the response to every message except a revocation.
const RESPONSE_TIMEOUT: Millis = Millis(300);
/// Timeout for the response to a revocation, which a server sends only after the requests in flight
/// have ended.
const REVOKE_TIMEOUT: Millis = Millis::from_secs(60);

/// Sends an order to a backend server.
pub(super) async fn order(
    cx: Arc<DaemonContext>,
    control: ActorRef<Control>,
    server: ServerIndex,
    address: SocketAddr,
    order: Order,
) {
    let revoked_grants = match &order.body {
        OrderBody::Revoke { grants } => Some(grants.clone()),
        OrderBody::Probe | OrderBody::Renew { .. } => None,
    };
    let is_probe = order.body == OrderBody::Probe;
    let sent = cx.clock.now();
    let timeout = match revoked_grants {
        Some(_) => REVOKE_TIMEOUT,
        None => RESPONSE_TIMEOUT,
    };
    let response = cx.peers.call(address, "/oriolehoist/order", &order, timeout).await;
    match &response {
        Ok(_) => cx.on_server_answered(address),
        Err(PeerError::NoResponse(error)) => cx.on_server_call_failed(address, sent, error),
        Err(_) => {}
    }
    if let Ok(response) = response {
        let (service, term) = (order.service, order.term);
        let _ = control
            .tell(OrderResponseReceived {
                service,
                term,
                server,
                sent,
                is_probe,
                revoked_grants,
                response,
            })
            .await;
    }
}

/// Sends a heartbeat to a daemon.
pub(super) async fn heartbeat(
    cx: Arc<DaemonContext>,
    control: ActorRef<Control>,
    address: SocketAddr,
    recipient: oriolehoist_protocol::InstanceName,
    heartbeat: Arc<Heartbeat>,
) {
    let sent = cx.clock.now();
    let response = cx.peers.call(address, "/heartbeat", heartbeat.as_ref(), RESPONSE_TIMEOUT).await;
    if let Ok(response) = response {
        let service = heartbeat.service.clone();
        let term = heartbeat.term;
        let _ = control
            .tell(HeartbeatResponseReceived { service, term, from: recipient, sent, response })
            .await;
    }
}

/// Asks a witness of a previous record to accept a term.
pub(super) async fn accept_term(
    cx: Arc<DaemonContext>,
    control: ActorRef<Control>,
    from: Witness,
    request: AcceptTermRequest,
) {
    let response = cx.peers.call(from.address, "/accept", &request, RESPONSE_TIMEOUT).await;
    if let Ok(response) = response {
        let (service, term) = (request.service, request.term);
        let _ = control.tell(AcceptTermResponseReceived { service, term, from, response }).await;
    }
}

/// Tells a daemon that this one has given up a term.
pub(super) async fn resign(cx: Arc<DaemonContext>, address: SocketAddr, message: Resignation) {
    // A daemon that misses this message takes over after the heartbeat timeout instead.
    let _ = cx.peers.call::<()>(address, "/resign", &message, RESPONSE_TIMEOUT).await;
}

/// Writes an assignment to the store, unless the stored one has changed since `revision`.
pub(super) async fn store_assignment(
    cx: Arc<DaemonContext>,
    control: ActorRef<Control>,
    revision: Revision,
    assignment: Assignment,
) {
    let stored = write_assignment(&cx, revision, &assignment).await.ok().flatten();
    let (service, term) = (assignment.service, assignment.term);
    let _ = control.tell(AssignmentWriteFinished { service, term, stored }).await;
}

async fn write_assignment(
    cx: &DaemonContext,
    revision: Revision,
    assignment: &Assignment,
) -> Result<Option<(Version, Revision)>, StoreError> {
    let key = super::election::assignment_key(&assignment.service);
    let text = serde_json::to_string(assignment).map_err(StoreError::Malformed)?;
    match cx.store.compare_and_swap(&key, revision, text).await? {
        CasOutcome::Written(revision) => Ok(Some((assignment.version, revision))),
        CasOutcome::Conflict(None) => Ok(Some((Version(0), Revision::ABSENT))),
        CasOutcome::Conflict(Some(entry)) => {
            let stored: Assignment =
                serde_json::from_str(&entry.value).map_err(StoreError::Malformed)?;
            let version = match stored.term == assignment.term {
                true => stored.version,
                false if stored.term < assignment.term => Version(0),
                // An assigner with a higher term has written: this one must not write any more.
                false => Version(u64::MAX),
            };
            Ok(Some((version, entry.revision)))
        }
    }
}
