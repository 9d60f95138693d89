//! Sending control messages, each in a task of its own that reports back to the actor.

use {
    crate::{
        control::{
            actor::Control,
            message::{AcceptAnswered, AssignmentStored, HeartbeatAnswered, OrderAnswered},
        },
        process::Shared,
    },
    kameo::actor::ActorRef,
    oriolehoist_ownership::ServerIndex,
    oriolehoist_platform::{Revision, StoreError, Swap},
    oriolehoist_protocol::{
        AcceptTermRequest, Assignment, Heartbeat, Order, OrderBody, Resignation, Version, Witness,
    },
    oriolehoist_time::Millis,
    std::{net::SocketAddr, sync::Arc},
};

/// The longest wait for an answer to a small message.
const ANSWER_TIMEOUT: Millis = Millis(300);
/// The longest wait for the answer to a revocation, which comes after the work in flight.
const REVOKE_TIMEOUT: Millis = Millis::from_secs(60);

/// Sends an order to a backend server.
pub(super) async fn order(
    cx: Arc<Shared>,
    me: ActorRef<Control>,
    server: ServerIndex,
    address: SocketAddr,
    order: Order,
) {
    let revoked = match &order.body {
        OrderBody::Revoke { grants } => Some(grants.clone()),
        OrderBody::Probe | OrderBody::Renew { .. } => None,
    };
    let probed = order.body == OrderBody::Probe;
    let sent = cx.clock.now();
    let timeout = match revoked {
        Some(_) => REVOKE_TIMEOUT,
        None => ANSWER_TIMEOUT,
    };
    let answer = cx.peers.ask(address, "/oriolehoist/order", &order, timeout).await;
    if let Ok(answer) = answer {
        let (service, term) = (order.service, order.term);
        let _ =
            me.tell(OrderAnswered { service, term, server, sent, probed, revoked, answer }).await;
    }
}

/// Sends a heartbeat to a daemon.
pub(super) async fn heartbeat(
    cx: Arc<Shared>,
    me: ActorRef<Control>,
    address: SocketAddr,
    to: oriolehoist_protocol::InstanceName,
    heartbeat: Arc<Heartbeat>,
) {
    let sent = cx.clock.now();
    let answer = cx.peers.ask(address, "/heartbeat", heartbeat.as_ref(), ANSWER_TIMEOUT).await;
    if let Ok(answer) = answer {
        let service = heartbeat.service.clone();
        let term = heartbeat.term;
        let _ = me.tell(HeartbeatAnswered { service, term, from: to, sent, answer }).await;
    }
}

/// Asks a witness of an earlier record to accept a term.
pub(super) async fn accept(
    cx: Arc<Shared>,
    me: ActorRef<Control>,
    from: Witness,
    request: AcceptTermRequest,
) {
    let answer = cx.peers.ask(from.address, "/accept", &request, ANSWER_TIMEOUT).await;
    if let Ok(answer) = answer {
        let (service, term) = (request.service, request.term);
        let _ = me.tell(AcceptAnswered { service, term, from, answer }).await;
    }
}

/// Tells a daemon that this one no longer uses a term.
pub(super) async fn resign(cx: Arc<Shared>, address: SocketAddr, message: Resignation) {
    // A daemon that does not hear it notices the silence instead.
    let _ = cx.peers.ask::<()>(address, "/resign", &message, ANSWER_TIMEOUT).await;
}

/// Writes an assignment to the store, unless the store has a newer one.
pub(super) async fn store_assignment(
    cx: Arc<Shared>,
    me: ActorRef<Control>,
    revision: Revision,
    assignment: Assignment,
) {
    let stored = write_assignment(&cx, revision, &assignment).await.ok().flatten();
    let (service, term) = (assignment.service, assignment.term);
    let _ = me.tell(AssignmentStored { service, term, stored }).await;
}

async fn write_assignment(
    cx: &Shared,
    revision: Revision,
    assignment: &Assignment,
) -> Result<Option<(Version, Revision)>, StoreError> {
    let key = super::election::assignment_key(&assignment.service);
    let text = serde_json::to_string(assignment).map_err(StoreError::Malformed)?;
    match cx.store.compare_and_swap(&key, revision, text).await? {
        Swap::Written(revision) => Ok(Some((assignment.version, revision))),
        Swap::Conflict(None) => Ok(Some((Version(0), Revision::ABSENT))),
        Swap::Conflict(Some(entry)) => {
            let held: Assignment =
                serde_json::from_str(&entry.value).map_err(StoreError::Malformed)?;
            let version = match held.term == assignment.term {
                true => held.version,
                false if held.term < assignment.term => Version(0),
                // A later assigner has written: this one has nothing more to store.
                false => Version(u64::MAX),
            };
            Ok(Some((version, entry.revision)))
        }
    }
}
