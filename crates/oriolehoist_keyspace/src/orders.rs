use {
    crate::{
        FenceCounter, RangeAssigner, ServerIncarnation, SessionId,
        segment::{Ownership, Phase, Revocation},
        server::ServerIndex,
        timing::{GRANT_TIMEOUT, RELEASE_TIMEOUT, RENEWAL_INTERVAL},
    },
    derive_more::Display,
    oriolehoist_port::{Handover, KeyRange, Order, OrderResponse},
    oriolehoist_time::Millis,
    std::net::SocketAddr,
};

/// Identifies an order that was returned for sending.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub struct OrderId(pub(crate) u64);

/// An order that is due.
#[derive(Clone, Debug)]
pub struct OutgoingOrder {
    /// Identifies the order when its outcome is reported.
    pub id: OrderId,
    /// The server that the order is for.
    pub server: ServerIncarnation,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// For a grant, the session that it belongs to. It must be sent over the connection that was
    /// opened for this session, or over a new one if the connection at hand is of an earlier session.
    pub session: Option<SessionId>,
    /// The order.
    pub order: Order,
    /// Whether it renews a grant that the server already has.
    pub is_renewal: bool,
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
    /// The order was not sent, because the connection of its session has ended.
    Disconnected,
}

impl OrderOutcome {
    pub(crate) fn is_answered(&self) -> bool {
        matches!(self, OrderOutcome::Answered(_))
    }

    /// Returns whether the order may have arrived.
    pub(crate) fn was_sent(&self) -> bool {
        !matches!(self, OrderOutcome::Unsent | OrderOutcome::Disconnected)
    }

    pub(crate) fn is_done(&self) -> bool {
        matches!(self, OrderOutcome::Answered(OrderResponse::Done(_)))
    }
}

#[derive(Debug)]
pub(crate) struct OrderInFlight {
    pub(crate) server: ServerIndex,
    pub(crate) range: KeyRange,
    pub(crate) fence: u64,
    pub(crate) session: Option<SessionId>,
    pub(crate) kind: OrderKind,
}

/// The purpose of an order in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderKind {
    /// Grants a range to a new owner for this duration.
    Grant(Millis),
    /// Renews the grants of ranges for this duration.
    Renewal(Millis),
    /// Renews the probe key for this duration, before the other keys are renewed.
    Probe(Millis),
    Release,
}

impl RangeAssigner {
    /// Returns the orders that are due. Grants last for `grant_duration`.
    ///
    /// The caller must send them immediately, and only while it is the assigner.
    pub fn due_orders(
        &mut self,
        now: Millis,
        grant_duration: Millis,
        fences: &mut FenceCounter,
    ) -> Vec<OutgoingOrder> {
        self.update_doubts(now);
        let mut due = Vec::new();
        // Segments that start being granted at the same time share a token, so that adjacent ones
        // can be merged.
        let mut fresh_fence = None;
        for index in 0..self.segments.len() {
            while self.advance(now, index, &mut || {
                fresh_fence = fresh_fence.or_else(|| fences.issue_reserved());
                fresh_fence
            }) {}
            due.extend(self.orders_for_segment(now, index, grant_duration, fences));
        }
        for index in 0..self.servers.len() {
            due.extend(self.renewals(now, ServerIndex(index as u32), grant_duration, fences));
        }
        due
    }

    /// Advances a segment to its next phase if the conditions for it are met: its plan is stored,
    /// or its previous ownerships have provably ended. Returns whether anything changed.
    ///
    /// `fresh_fence` returns a token that is higher than all others, if one is reserved.
    fn advance(
        &mut self,
        now: Millis,
        index: usize,
        fresh_fence: &mut impl FnMut() -> Option<u64>,
    ) -> bool {
        let segment = &self.segments[index];
        let (range, mut fence) = (segment.range, segment.fence);
        let next = match &segment.phase {
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
                    !server.is_replaced && revocation.expires_at.is_none_or(|at| now < at)
                });
                // A previous owner may have had the range under a higher token than the planned one,
                // because it got a new session since.
                let outdated = self.servers.iter().any(|s| fence <= s.highest_session_fence);
                match revocations.is_empty() {
                    true if outdated => match fresh_fence() {
                        Some(fresh) => {
                            fence = fresh;
                            start_granting(handover.clone())
                        }
                        None => return false,
                    },
                    true => start_granting(handover.clone()),
                    false => Phase::Revoking { revocations, handover: handover.clone() },
                }
            }
            Phase::Planned { .. } | Phase::Granting { .. } | Phase::Held => return false,
        };
        let segment = &mut self.segments[index];
        let changed = segment.phase != next;
        segment.phase = next;
        segment.fence = fence;
        changed
    }

    /// Returns the releases or the grant that are due for a segment.
    fn orders_for_segment(
        &mut self,
        now: Millis,
        index: usize,
        grant_duration: Millis,
        fences: &mut FenceCounter,
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
                    let outgoing = self.prepare_order(server, OrderKind::Release, order, None)?;
                    if let Phase::Revoking { revocations, .. } = &mut self.segments[index].phase {
                        revocations[revocation_index].release_in_flight = true;
                    }
                    Some(outgoing)
                })
                .collect(),
            Phase::Granting { handover, in_flight: false, next_grant_at }
                if now >= next_grant_at && !self.server(owner).has_ended() =>
            {
                let order =
                    Order::Grant { range, fence, hold: grant_duration, handover: handover.clone() };
                let outgoing =
                    self.server_mut(owner).get_or_start_session(fences).and_then(|session| {
                        let kind = OrderKind::Grant(grant_duration);
                        self.prepare_order(owner, kind, order, Some(session))
                    });
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
        fences: &mut FenceCounter,
    ) -> Vec<OutgoingOrder> {
        let server = self.server(index);
        let due = now >= server.next_renewal && server.grants_in_flight == 0;
        if !due || !self.accepts_orders(now, index) {
            return Vec::new();
        }
        if !self.segments.iter().any(|segment| segment.renews(index)) {
            self.server_mut(index).next_renewal = now + RENEWAL_INTERVAL;
            return Vec::new();
        }
        // Without a reserved token, the renewal stays due.
        let Some(session) = self.server_mut(index).get_or_start_session(fences) else {
            return Vec::new();
        };
        self.server_mut(index).next_renewal = now + RENEWAL_INTERVAL;
        let mut ranges = self.ranges_to_renew(index);
        let server = self.server_mut(index);
        let renew_all = std::mem::take(&mut server.renew_all);
        let renew_from = std::mem::take(&mut server.renew_from);
        let probe = server.probe_key(ranges.iter().map(|entry| entry.0));
        let probe = probe.or_else(|| ranges.first().map(|entry| entry.0.first));
        let due = match probe.filter(|_| !renew_all) {
            Some(probe) => {
                let range = KeyRange { first: probe, last: probe };
                let entry = ranges.iter().find(|entry| entry.0.contains(probe));
                entry.map(|entry| (range, entry.1)).into_iter().collect()
            }
            None => {
                ranges.retain(|entry| entry.0.last >= renew_from);
                ranges
            }
        };
        let kind = if renew_all {
            OrderKind::Renewal(grant_duration)
        } else {
            OrderKind::Probe(grant_duration)
        };
        let orders = due.into_iter().filter_map(|(range, fence)| {
            self.prepare_order(
                index,
                kind,
                Order::Grant { range, fence, hold: grant_duration, handover: None },
                Some(session),
            )
        });
        orders.collect()
    }

    /// Returns the ranges of a server whose grants are to be renewed, with their fencing tokens.
    /// Adjacent ranges with the same token are merged.
    fn ranges_to_renew(&self, server: ServerIndex) -> Vec<(KeyRange, u64)> {
        let token_of = |ownership: Ownership| self.server(server).token(ownership.fence);
        let mut ranges: Vec<(KeyRange, u64)> = Vec::new();
        for segment in &self.segments {
            let Some(ownership) =
                segment.ownership_to_renew().filter(|ownership| ownership.server == server)
            else {
                continue;
            };
            match ranges.last_mut() {
                Some((range, fence))
                    if *fence == token_of(ownership)
                        && u32::from(range.last) + 1 == u32::from(segment.range.first) =>
                {
                    range.last = segment.range.last;
                }
                _ => ranges.push((segment.range, token_of(ownership))),
            }
        }
        ranges
    }

    /// Records an order as in flight, and raises its fencing token to that of the server's session.
    /// Returns it for sending, unless the server's address is unknown.
    fn prepare_order(
        &mut self,
        server_index: ServerIndex,
        kind: OrderKind,
        mut order: Order,
        session: Option<SessionId>,
    ) -> Option<OutgoingOrder> {
        let server = self.server(server_index);
        let address = server.address?;
        let (Order::Grant { range, fence: token, .. } | Order::Release { range, fence: token }) =
            &mut order;
        let (range, fence) = (*range, *token);
        *token = server.token(fence);
        self.last_order_id += 1;
        let id = self.last_order_id;
        self.orders_in_flight
            .insert(id, OrderInFlight { server: server_index, range, fence, session, kind });
        let server = self.server_mut(server_index);
        let timeout = match kind {
            OrderKind::Grant(_) | OrderKind::Renewal(_) | OrderKind::Probe(_) => {
                server.grants_in_flight += 1;
                GRANT_TIMEOUT
            }
            OrderKind::Release => RELEASE_TIMEOUT,
        };
        let server = server.incarnation.clone();
        let is_renewal = matches!(kind, OrderKind::Renewal(_) | OrderKind::Probe(_));
        Some(OutgoingOrder {
            id: OrderId(id),
            server,
            address,
            session,
            order,
            is_renewal,
            timeout,
        })
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

/// Returns the phase in which a range starts being granted.
pub(crate) fn start_granting(handover: Option<Handover>) -> Phase {
    Phase::Granting { handover, in_flight: false, next_grant_at: Millis::ZERO }
}
