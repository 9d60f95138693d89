use {
    crate::{
        RangeAssigner,
        orders::{OrderId, OrderInFlight, OrderKind, OrderOutcome},
        segment::Phase,
        timing::RETRY_DELAY,
    },
    oriolehoist_port::OrderResponse,
    oriolehoist_time::Millis,
};

impl RangeAssigner {
    /// Records the outcome of an order.
    pub fn on_order_ended(&mut self, now: Millis, id: OrderId, outcome: &OrderOutcome) {
        let Some(order) = self.orders_in_flight.remove(&id.0) else { return };
        let server = self.server_mut(order.server);
        match outcome {
            OrderOutcome::Answered(OrderResponse::Done(_) | OrderResponse::HigherFence) => {
                server.consecutive_failures = 0;
                server.last_response = now;
            }
            // The next order shows whether the server still responds.
            OrderOutcome::Disconnected => {}
            OrderOutcome::Answered(OrderResponse::Refused(_)) => {
                server.last_failure = now;
                server.consecutive_failures += 1;
                let was_known = server.answered_by_other || server.address_superseded;
                server.is_replaced |= was_known && is_misdirected(outcome);
                server.answered_by_other |= is_from_other_server(outcome);
            }
            OrderOutcome::Unanswered | OrderOutcome::Unsent => {
                server.last_failure = now;
                server.consecutive_failures += 1;
            }
        }
        let session_ended = match outcome {
            // The server has seen a higher token, so the session's is of no more use.
            OrderOutcome::Answered(OrderResponse::HigherFence) => true,
            OrderOutcome::Unanswered | OrderOutcome::Disconnected => true,
            OrderOutcome::Answered(_) | OrderOutcome::Unsent => false,
        };
        if let Some(session) = order.session.filter(|_| session_ended) {
            server.on_session_ended(session);
        }
        match order.kind {
            OrderKind::Grant(duration) | OrderKind::Renewal(duration) => {
                self.on_grant_ended(now, &order, duration, outcome);
            }
            OrderKind::Probe(duration) => self.on_probe_ended(now, &order, duration, outcome),
            OrderKind::Release => self.on_release_ended(now, &order, outcome),
        }
    }

    fn on_probe_ended(
        &mut self,
        now: Millis,
        order: &OrderInFlight,
        grant_duration: Millis,
        outcome: &OrderOutcome,
    ) {
        let server = self.server_mut(order.server);
        server.grants_in_flight -= 1;
        if outcome.was_sent() {
            server.on_probe_arrived(now, order.range.first, grant_duration, outcome.is_answered());
        }
        match outcome {
            OrderOutcome::Answered(OrderResponse::Done(_)) => {
                server.renew_all = true;
                server.next_renewal = now;
                self.on_granted(order);
            }
            OrderOutcome::Disconnected => server.next_renewal = now,
            _ => server.retry_renewal(now),
        }
    }

    /// Records that a server has accepted a grant.
    fn on_granted(&mut self, order: &OrderInFlight) {
        let covered = self.segments.iter_mut().filter(|segment| {
            order.range.first <= segment.range.first && segment.range.last <= order.range.last
        });
        covered.for_each(|segment| segment.on_granted_to(order.server));
    }

    fn on_grant_ended(
        &mut self,
        now: Millis,
        order: &OrderInFlight,
        grant_duration: Millis,
        outcome: &OrderOutcome,
    ) {
        let server = self.server_mut(order.server);
        server.grants_in_flight -= 1;
        if outcome.was_sent() {
            server.on_grant_arrived(now, grant_duration, outcome.is_answered());
        }
        let done = outcome.is_done();
        match outcome {
            OrderOutcome::Answered(OrderResponse::Done(_)) => self.on_granted(order),
            // The server responded until then, so no probe is needed. Only the remaining ranges are
            // renewed: a server that closes each connection after a response needs a new one for
            // each range, and gets no more than that.
            OrderOutcome::Disconnected if matches!(order.kind, OrderKind::Renewal(_)) => {
                server.continue_renewal_from(order.range.first);
                server.renew_all = true;
                server.next_renewal = now;
            }
            OrderOutcome::Disconnected => {}
            _ => {
                if server.renew_all {
                    server.continue_renewal_from(order.range.first);
                }
                server.retry_renewal(now);
            }
        }
        let retry_at = if *outcome == OrderOutcome::Disconnected { now } else { now + RETRY_DELAY };
        for segment in &mut self.segments {
            let matches = segment.owner == order.server
                && segment.fence == order.fence
                && order.range.contains(segment.range.first);
            match &mut segment.phase {
                Phase::Granting { .. } if matches && done => {
                    segment.phase = Phase::Held;
                    segment.adopted = false;
                    self.stored_table_stale = true;
                }
                Phase::Granting { in_flight, next_grant_at, .. } if matches => {
                    *in_flight = false;
                    *next_grant_at = retry_at;
                }
                _ => {}
            }
        }
    }

    fn on_release_ended(&mut self, now: Millis, order: &OrderInFlight, outcome: &OrderOutcome) {
        let server = &self.servers[order.server.0 as usize];
        for segment in &mut self.segments {
            let covered =
                order.range.first <= segment.range.first && segment.range.last <= order.range.last;
            let Phase::Revoking { revocations, handover } = &mut segment.phase else { continue };
            let matching = revocations.iter_mut().find(|revocation| {
                revocation.ownership.server == order.server
                    && revocation.ownership.fence == order.fence
            });
            let Some(revocation) = matching.filter(|_| covered) else { continue };
            revocation.release_in_flight = false;
            let delayed_grant_expiry =
                server.delayed_grant_expiry(segment.range, revocation.ownership.adopted);
            match outcome {
                OrderOutcome::Answered(OrderResponse::Done(token)) => {
                    revocation.released = true;
                    revocation.expires_at =
                        revocation.expires_at.map(|at| at.min(delayed_grant_expiry));
                    if token.is_some() {
                        handover.clone_from(token);
                    }
                }
                // Another release confirms that the server has been replaced.
                _ if is_misdirected(outcome) => {
                    revocation.next_release_at = now + RETRY_DELAY;
                    revocation.expires_at =
                        revocation.expires_at.map(|at| at.min(delayed_grant_expiry));
                }
                // An owner never refuses a release, so another server now listens at its address.
                _ if is_from_other_server(outcome) => {
                    revocation.released = true;
                    revocation.expires_at =
                        revocation.expires_at.map(|at| at.min(delayed_grant_expiry));
                }
                _ => revocation.next_release_at = now + RETRY_DELAY,
            }
        }
    }
}

/// Returns whether the response came from a server that is not the one that the order names.
fn is_misdirected(outcome: &OrderOutcome) -> bool {
    matches!(outcome, OrderOutcome::Answered(OrderResponse::Refused(421)))
}

/// Returns whether the status code shows that the response came from another server than the one
/// that the order was for: from one that does not know orders, or is not the one that the order
/// names. Other codes may come from the server itself, for example if it is too busy.
fn is_from_other_server(outcome: &OrderOutcome) -> bool {
    matches!(outcome, OrderOutcome::Answered(OrderResponse::Refused(400 | 404 | 405 | 421)))
}
