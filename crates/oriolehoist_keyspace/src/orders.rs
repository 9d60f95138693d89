use {
    crate::{
        RangeAssigner, ServerIncarnation,
        segment::{Ownership, Phase, Revocation},
        server::{ServerIndex, Status},
        timing::{GRANT_TIMEOUT, RELEASE_TIMEOUT, RENEWAL_INTERVAL, RETRY_DELAY},
    },
    derive_more::Display,
    oriolehoist_port::{Handover, KeyRange, Order, OrderResponse},
    oriolehoist_time::Millis,
    std::net::SocketAddr,
};

/// Identifies an order that was returned for sending.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub struct OrderId(u64);

/// An order that is due.
#[derive(Clone, Debug)]
pub struct OutgoingOrder {
    /// Identifies the order when its outcome is reported.
    pub id: OrderId,
    /// The server that the order is for.
    pub server: ServerIncarnation,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
    /// The maximum wait for the response, after which the connection must be reset.
    pub timeout: Millis,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server responded.
    Answered(OrderResponse),
    /// There was no response, and the connection has been reset.
    Unanswered,
    /// The order was not sent.
    Unsent,
}

impl OrderOutcome {
    fn is_answered(&self) -> bool {
        matches!(self, OrderOutcome::Answered(_))
    }

    fn is_done(&self) -> bool {
        matches!(self, OrderOutcome::Answered(OrderResponse::Done(_)))
    }
}

#[derive(Debug)]
pub(crate) struct OrderInFlight {
    server: ServerIndex,
    range: KeyRange,
    fence: u64,
    kind: OrderKind,
}

/// The purpose of an order in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderKind {
    /// Grants or renews ranges for this duration.
    Grant(Millis),
    /// Renews the probe key for this duration, before the other keys are renewed.
    Probe(Millis),
    Release,
}

impl RangeAssigner {
    /// Returns the orders that are due. Grants last for `grant_duration`.
    ///
    /// The caller must send them immediately, and only while it is the assigner.
    pub fn due_orders(&mut self, now: Millis, grant_duration: Millis) -> Vec<OutgoingOrder> {
        let mut due = Vec::new();
        for index in 0..self.segments.len() {
            while self.advance(now, index) {}
            due.extend(self.orders_for_segment(now, index, grant_duration));
        }
        for index in 0..self.servers.len() {
            due.extend(self.renewals(now, ServerIndex(index as u32), grant_duration));
        }
        due
    }

    /// Advances a segment to its next phase if the conditions for it are met: its plan is stored,
    /// or its previous ownerships have provably ended. Returns whether anything changed.
    fn advance(&mut self, now: Millis, index: usize) -> bool {
        let segment = &self.segments[index];
        let range = segment.range;
        let next = match &segment.phase {
            Phase::Planned { .. }
                if segment.version <= self.stored_version && segment.refencing =>
            {
                start_granting(None)
            }
            Phase::Planned { previous_owners, .. } if segment.version <= self.stored_version => {
                let revocations = previous_owners.iter().copied().map(Revocation::new).collect();
                Phase::Revoking { revocations, handover: None }
            }
            Phase::Revoking { revocations, handover } => {
                let mut revocations = revocations.clone();
                revocations.retain_mut(|revocation| {
                    let server = self.server(revocation.ownership.server);
                    if revocation.expires_at.is_none()
                        && !self.has_grant_in_flight(revocation.ownership.server, range)
                    {
                        revocation.expires_at = Some(server.last_grant_expiry(range));
                    }
                    revocation.expires_at.is_none_or(|at| now < at)
                });
                match revocations.is_empty() {
                    true => start_granting(handover.clone()),
                    false => Phase::Revoking { revocations, handover: handover.clone() },
                }
            }
            Phase::Planned { .. } | Phase::Granting { .. } | Phase::Held => return false,
        };
        let changed = self.segments[index].phase != next;
        self.segments[index].phase = next;
        changed
    }

    /// Returns the releases or the grant that are due for a segment.
    fn orders_for_segment(
        &mut self,
        now: Millis,
        index: usize,
        grant_duration: Millis,
    ) -> Vec<OutgoingOrder> {
        let segment = &self.segments[index];
        let (range, owner, fence) = (segment.range, segment.owner, segment.fence);
        match segment.phase.clone() {
            Phase::Revoking { revocations, .. } => revocations
                .iter()
                .enumerate()
                .filter(|(_, revocation)| {
                    revocation.expires_at.is_some()
                        && !revocation.released
                        && !revocation.release_in_flight
                        && now >= revocation.next_release_at
                })
                .filter_map(|(revocation_index, revocation)| {
                    let Ownership { server, fence, .. } = revocation.ownership;
                    let order = Order::Release { range, fence };
                    let outgoing = self.prepare_order(server, OrderKind::Release, order)?;
                    if let Phase::Revoking { revocations, .. } = &mut self.segments[index].phase {
                        revocations[revocation_index].release_in_flight = true;
                    }
                    Some(outgoing)
                })
                .collect(),
            Phase::Granting { handover, in_flight: false, next_grant_at }
                if now >= next_grant_at
                    && self.server(owner).status != Status::Superseded
                    && !self.server(owner).address_reused =>
            {
                let order =
                    Order::Grant { range, fence, hold: grant_duration, handover: handover.clone() };
                let outgoing = self.prepare_order(owner, OrderKind::Grant(grant_duration), order);
                if outgoing.is_some() {
                    self.segments[index].granted = true;
                    self.segments[index].phase =
                        Phase::Granting { handover, in_flight: true, next_grant_at };
                }
                outgoing.into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Returns the renewals due for a server: a probe of one key first and, once that has
    /// succeeded, the renewals of all keys.
    fn renewals(
        &mut self,
        now: Millis,
        index: ServerIndex,
        grant_duration: Millis,
    ) -> Vec<OutgoingOrder> {
        let server = self.server(index);
        let due = now >= server.next_renewal && server.grants_in_flight == 0;
        if !due || !server.accepts_orders(now) {
            return Vec::new();
        }
        let ranges = self.ranges_to_renew(index);
        let server = self.server_mut(index);
        server.next_renewal = now + RENEWAL_INTERVAL;
        let renew_all = std::mem::take(&mut server.renew_all);
        let probe = server.probe_key(ranges.iter().map(|entry| entry.0));
        let probe = probe.or_else(|| ranges.first().map(|entry| entry.0.first));
        let due = match probe.filter(|_| !renew_all) {
            Some(probe) => {
                let range = KeyRange { first: probe, last: probe };
                let entry = ranges.iter().find(|entry| entry.0.contains(probe));
                entry.map(|entry| (range, entry.1)).into_iter().collect()
            }
            None => ranges,
        };
        let kind = if renew_all {
            OrderKind::Grant(grant_duration)
        } else {
            OrderKind::Probe(grant_duration)
        };
        let orders = due.into_iter().filter_map(|(range, fence)| {
            self.prepare_order(
                index,
                kind,
                Order::Grant { range, fence, hold: grant_duration, handover: None },
            )
        });
        orders.collect()
    }

    /// Returns the ranges of a server whose grants are to be renewed, with their fencing tokens.
    /// Adjacent ranges with the same token are merged.
    fn ranges_to_renew(&self, server: ServerIndex) -> Vec<(KeyRange, u64)> {
        let mut ranges: Vec<(KeyRange, u64)> = Vec::new();
        for segment in &self.segments {
            let Some(ownership) =
                segment.ownership_to_renew().filter(|ownership| ownership.server == server)
            else {
                continue;
            };
            match ranges.last_mut() {
                Some((range, fence))
                    if *fence == ownership.fence
                        && u32::from(range.last) + 1 == u32::from(segment.range.first) =>
                {
                    range.last = segment.range.last;
                }
                _ => ranges.push((segment.range, ownership.fence)),
            }
        }
        ranges
    }

    /// Records an order as in flight. Returns it for sending, unless the server's address is
    /// unknown.
    fn prepare_order(
        &mut self,
        server_index: ServerIndex,
        kind: OrderKind,
        order: Order,
    ) -> Option<OutgoingOrder> {
        let address = self.server(server_index).address?;
        let (Order::Grant { range, fence, .. } | Order::Release { range, fence }) = order;
        self.last_order_id += 1;
        let id = self.last_order_id;
        self.orders_in_flight
            .insert(id, OrderInFlight { server: server_index, range, fence, kind });
        let server = self.server_mut(server_index);
        let timeout = match kind {
            OrderKind::Grant(_) | OrderKind::Probe(_) => {
                server.grants_in_flight += 1;
                GRANT_TIMEOUT
            }
            OrderKind::Release => RELEASE_TIMEOUT,
        };
        let server = server.incarnation.clone();
        Some(OutgoingOrder { id: OrderId(id), server, address, order, timeout })
    }

    /// Records the outcome of an order.
    pub fn on_order_ended(&mut self, now: Millis, id: OrderId, outcome: &OrderOutcome) {
        let Some(order) = self.orders_in_flight.remove(&id.0) else { return };
        let server = self.server_mut(order.server);
        match outcome {
            OrderOutcome::Answered(OrderResponse::Done(_) | OrderResponse::HigherFence) => {
                server.consecutive_failures = 0;
                server.last_response = now;
            }
            OrderOutcome::Answered(OrderResponse::Refused(_)) => {
                server.consecutive_failures += 1;
                server.address_reused |= is_from_other_server(outcome);
            }
            OrderOutcome::Unanswered | OrderOutcome::Unsent => server.consecutive_failures += 1,
        }
        match order.kind {
            OrderKind::Grant(duration) => self.on_grant_ended(now, &order, duration, outcome),
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
        if *outcome != OrderOutcome::Unsent {
            server.on_probe_arrived(now, order.range.first, grant_duration, outcome.is_answered());
        }
        match outcome.is_done() {
            true => {
                server.renew_all = true;
                server.next_renewal = now;
            }
            false => server.retry_renewal(now),
        }
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
        if *outcome != OrderOutcome::Unsent {
            server.on_grant_arrived(now, grant_duration, outcome.is_answered());
        }
        let done = outcome.is_done();
        if !done {
            server.retry_renewal(now);
        }
        for segment in &mut self.segments {
            let matches = segment.owner == order.server
                && segment.fence == order.fence
                && order.range.contains(segment.range.first);
            match &mut segment.phase {
                Phase::Granting { .. } if matches && done => {
                    segment.phase = Phase::Held;
                    segment.adopted = false;
                    segment.refencing = false;
                    self.stored_table_stale = true;
                }
                Phase::Granting { in_flight, next_grant_at, .. } if matches => {
                    *in_flight = false;
                    *next_grant_at = now + RETRY_DELAY;
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

    fn has_grant_in_flight(&self, server: ServerIndex, range: KeyRange) -> bool {
        self.orders_in_flight.values().any(|order| {
            order.server == server
                && order.kind != OrderKind::Release
                && order.range.first <= range.last
                && range.first <= order.range.last
        })
    }
}

/// Returns whether the status code shows that the response came from another server than the one
/// that the order was for.
fn is_from_other_server(outcome: &OrderOutcome) -> bool {
    matches!(outcome, OrderOutcome::Answered(OrderResponse::Refused(400..=499)))
}

/// Returns the phase in which a range starts being granted.
pub(crate) fn start_granting(handover: Option<Handover>) -> Phase {
    Phase::Granting { handover, in_flight: false, next_grant_at: Millis::ZERO }
}
