use {
    crate::{
        Keeper, Life,
        keeper::ending,
        server::{ServerKey, Standing},
        slice::{Former, Step},
        timing::{ORDER_TIMEOUT, RELEASE_TIMEOUT, RENEWAL_INTERVAL, RETRY_PAUSE},
    },
    derive_more::Display,
    oriolehoist_port::{Handover, KeyRange, Order, OrderAnswer},
    oriolehoist_time::Millis,
    std::net::SocketAddr,
};

/// Identifies an order that was sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub struct Flight(u64);

/// An order that is due.
#[derive(Clone, Debug)]
pub struct OrderToSend {
    /// Identifies it when it has ended.
    pub flight: Flight,
    /// The server.
    pub server: Life,
    /// Where the server listens.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
    /// How long to wait for the answer; then the connection is to be reset.
    pub timeout: Millis,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The server answered.
    Answered(OrderAnswer),
    /// There was no answer, and the connection has been reset.
    Unanswered,
    /// Nothing was sent.
    Unsent,
}

#[derive(Debug)]
pub(crate) struct InFlight {
    server: ServerKey,
    range: KeyRange,
    fence: u64,
    /// How long a grant lasts; `None` for a release.
    hold: Option<Millis>,
}

impl Keeper {
    /// Returns the orders that are due. Grants last `hold`.
    ///
    /// The caller sends them at once, and only while it is the assigner.
    pub fn orders(&mut self, now: Millis, hold: Millis) -> Vec<OrderToSend> {
        let mut due = Vec::new();
        for index in 0..self.slices.len() {
            self.advance(now, index);
            due.extend(self.order_for_slice(now, index, hold));
        }
        for index in 0..self.servers.len() {
            due.extend(self.renewals(now, ServerKey(index as u32), hold));
        }
        due
    }

    /// Moves a slice on as far as it is proved that its earlier owner has ended.
    fn advance(&mut self, now: Millis, index: usize) {
        let slice = &self.slices[index];
        let next = match &slice.step {
            Step::Planned(former) if slice.version <= self.stored => match former {
                Some(former) => Some(ending(*former)),
                None => Some(granting(None)),
            },
            Step::Ending { former, until: None, asked, ask_at }
                if !self.has_grant_in_flight(former.server, slice.range) =>
            {
                let until = Some(self.server(former.server).holds_until);
                Some(Step::Ending { former: *former, until, asked: *asked, ask_at: *ask_at })
            }
            Step::Ending { former, until: Some(until), .. } => {
                let server = self.server(former.server);
                let lapsed = now >= *until;
                let restarted =
                    server.standing == Standing::Ended && now >= server.unanswered_until;
                (lapsed || restarted).then(|| granting(None))
            }
            Step::Released { until, handover, .. } if now >= *until => {
                Some(granting(handover.clone()))
            }
            _ => None,
        };
        if let Some(next) = next {
            self.slices[index].step = next;
        }
    }

    fn order_for_slice(&mut self, now: Millis, index: usize, hold: Millis) -> Option<OrderToSend> {
        let slice = &mut self.slices[index];
        let range = slice.range;
        match &mut slice.step {
            Step::Ending { former, until: Some(_), asked, ask_at } if !*asked && now >= *ask_at => {
                let Former { server, fence } = *former;
                *asked = true;
                let order = Order::Release { range, fence };
                let sent = self.send(server, range, fence, None, order);
                if sent.is_none() {
                    self.release_failed(now, index);
                }
                sent
            }
            Step::Granting { handover, in_flight, at } if *in_flight == 0 && now >= *at => {
                let (server, fence, handover) = (slice.owner, slice.fence, handover.clone());
                if self.server(server).standing == Standing::Ended {
                    return None;
                }
                let order = Order::Grant { range, fence, hold, handover };
                let sent = self.send(server, range, fence, Some(hold), order);
                if let (Some(_), Step::Granting { in_flight, .. }) =
                    (&sent, &mut self.slices[index].step)
                {
                    *in_flight += 1;
                }
                sent
            }
            _ => None,
        }
    }

    /// Returns the renewals for one server: neighbouring ranges under one fence go together.
    fn renewals(&mut self, now: Millis, key: ServerKey, hold: Millis) -> Vec<OrderToSend> {
        let server = self.server(key);
        let due = now >= server.next_renewal && server.grants_in_flight == 0;
        if !due || server.standing == Standing::Ended || server.is_silent(now) {
            return Vec::new();
        }
        let mut runs: Vec<(KeyRange, u64)> = Vec::new();
        for slice in &self.slices {
            let Some(former) = slice.renewed().filter(|renewed| renewed.server == key) else {
                continue;
            };
            match runs.last_mut() {
                Some((run, fence))
                    if *fence == former.fence
                        && u32::from(run.last) + 1 == u32::from(slice.range.first) =>
                {
                    run.last = slice.range.last;
                }
                _ => runs.push((slice.range, former.fence)),
            }
        }
        self.server_mut(key).next_renewal = now + RENEWAL_INTERVAL;
        let orders = runs.into_iter().filter_map(|(range, fence)| {
            let order = Order::Grant { range, fence, hold, handover: None };
            self.send(key, range, fence, Some(hold), order)
        });
        orders.collect()
    }

    fn send(
        &mut self,
        key: ServerKey,
        range: KeyRange,
        fence: u64,
        hold: Option<Millis>,
        order: Order,
    ) -> Option<OrderToSend> {
        let address = self.server(key).address?;
        self.last_flight += 1;
        let flight = self.last_flight;
        self.flights.insert(flight, InFlight { server: key, range, fence, hold });
        let server = self.server_mut(key);
        if hold.is_some() {
            server.grants_in_flight += 1;
        }
        Some(OrderToSend {
            flight: Flight(flight),
            server: server.life.clone(),
            address,
            order,
            timeout: if hold.is_some() { ORDER_TIMEOUT } else { RELEASE_TIMEOUT },
        })
    }

    /// Notes how an order ended.
    pub fn on_order_ended(&mut self, now: Millis, flight: Flight, end: &OrderEnd) {
        let Some(flight) = self.flights.remove(&flight.0) else { return };
        let server = self.server_mut(flight.server);
        match end {
            OrderEnd::Answered(_) => {
                server.failures = 0;
                server.last_answer = now;
            }
            OrderEnd::Unanswered | OrderEnd::Unsent => server.failures += 1,
        }
        match flight.hold {
            Some(hold) => self.grant_ended(now, &flight, hold, end),
            None => self.release_ended(now, &flight, end),
        }
    }

    fn grant_ended(&mut self, now: Millis, flight: &InFlight, hold: Millis, end: &OrderEnd) {
        let server = self.server_mut(flight.server);
        server.grants_in_flight -= 1;
        match end {
            OrderEnd::Answered(_) => server.on_grant_arrived(now, hold, true),
            OrderEnd::Unanswered => server.on_grant_arrived(now, hold, false),
            OrderEnd::Unsent => {}
        }
        let done = matches!(end, OrderEnd::Answered(OrderAnswer::Done(_)));
        if !done {
            server.next_renewal = server.next_renewal.min(now + RETRY_PAUSE);
        }
        for slice in &mut self.slices {
            let same = slice.owner == flight.server
                && slice.fence == flight.fence
                && flight.range.contains(slice.range.first);
            if !same {
                continue;
            }
            match &mut slice.step {
                Step::Granting { .. } if done => slice.step = Step::Held,
                Step::Granting { in_flight, at, .. } => {
                    *in_flight = in_flight.saturating_sub(1);
                    *at = now + RETRY_PAUSE;
                }
                _ => {}
            }
        }
    }

    fn release_ended(&mut self, now: Millis, flight: &InFlight, end: &OrderEnd) {
        let unanswered_until = self.server(flight.server).unanswered_until;
        let asked_of = Former { server: flight.server, fence: flight.fence };
        for index in 0..self.slices.len() {
            let slice = &mut self.slices[index];
            let same =
                flight.range.first <= slice.range.first && slice.range.last <= flight.range.last;
            match (&slice.step, end) {
                (Step::Ending { former, until: Some(until), .. }, _)
                    if same && *former == asked_of =>
                {
                    match end {
                        OrderEnd::Answered(OrderAnswer::Done(handover)) => {
                            slice.step = Step::Released {
                                former: *former,
                                until: unanswered_until.min(*until),
                                handover: handover.clone(),
                            };
                        }
                        _ => self.release_failed(now, index),
                    }
                }
                _ => {}
            }
        }
    }

    fn release_failed(&mut self, now: Millis, index: usize) {
        if let Step::Ending { asked, ask_at, .. } = &mut self.slices[index].step {
            *asked = false;
            *ask_at = now + RETRY_PAUSE;
        }
    }

    fn has_grant_in_flight(&self, server: ServerKey, range: KeyRange) -> bool {
        self.flights.values().any(|flight| {
            flight.server == server
                && flight.hold.is_some()
                && flight.range.first <= range.last
                && range.first <= flight.range.last
        })
    }
}

/// Starts to grant a range.
pub(crate) fn granting(handover: Option<Handover>) -> Step {
    Step::Granting { handover, in_flight: 0, at: Millis::ZERO }
}
