use {
    crate::{
        Keeper, Life,
        server::{ServerKey, Standing},
        slice::{Ending, Former, Step},
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

impl OrderEnd {
    fn is_answered(&self) -> bool {
        matches!(self, OrderEnd::Answered(_))
    }

    fn is_done(&self) -> bool {
        matches!(self, OrderEnd::Answered(OrderAnswer::Done(_)))
    }
}

#[derive(Debug)]
pub(crate) struct InFlight {
    server: ServerKey,
    range: KeyRange,
    fence: u64,
    kind: Kind,
}

/// What an order on its way does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// It grants for this long.
    Grant(Millis),
    /// It renews one key for this long, before the others are renewed.
    Probe(Millis),
    Release,
}

impl Keeper {
    /// Returns the orders that are due. Grants last `hold`.
    ///
    /// The caller sends them at once, and only while it is the assigner.
    pub fn orders(&mut self, now: Millis, hold: Millis) -> Vec<OrderToSend> {
        let mut due = Vec::new();
        for index in 0..self.slices.len() {
            while self.advance(now, index) {}
            due.extend(self.order_for_slice(now, index, hold));
        }
        for index in 0..self.servers.len() {
            due.extend(self.renewals(now, ServerKey(index as u32), hold));
        }
        due
    }

    /// Moves a slice one step on if it is proved that its earlier owners have ended. Returns whether
    /// it did.
    fn advance(&mut self, now: Millis, index: usize) -> bool {
        let slice = &self.slices[index];
        let range = slice.range;
        let next = match &slice.step {
            Step::Planned { .. } if slice.version <= self.stored && slice.refencing => {
                granting(None)
            }
            Step::Planned { formers, .. } if slice.version <= self.stored => {
                let endings = formers.iter().copied().map(Ending::new).collect();
                Step::Ending { endings, handover: None }
            }
            Step::Ending { endings, handover } => {
                let mut endings = endings.clone();
                endings.retain_mut(|ending| {
                    let server = self.server(ending.former.server);
                    if ending.until.is_none()
                        && !self.has_grant_in_flight(ending.former.server, range)
                    {
                        ending.until = Some(server.held_until(range));
                    }
                    ending.until.is_none_or(|until| now < until)
                });
                match endings.is_empty() {
                    true => granting(handover.clone()),
                    false => Step::Ending { endings, handover: handover.clone() },
                }
            }
            Step::Planned { .. } | Step::Granting { .. } | Step::Held => return false,
        };
        let changed = self.slices[index].step != next;
        self.slices[index].step = next;
        changed
    }

    fn order_for_slice(&mut self, now: Millis, index: usize, hold: Millis) -> Vec<OrderToSend> {
        let slice = &self.slices[index];
        let (range, owner, fence) = (slice.range, slice.owner, slice.fence);
        match slice.step.clone() {
            Step::Ending { endings, .. } => endings
                .iter()
                .enumerate()
                .filter(|(_, ending)| {
                    ending.until.is_some()
                        && !ending.released
                        && !ending.asked
                        && now >= ending.ask_at
                })
                .filter_map(|(position, ending)| {
                    let Former { server, fence, .. } = ending.former;
                    let order = Order::Release { range, fence };
                    let sent = self.send(server, Kind::Release, order)?;
                    if let Step::Ending { endings, .. } = &mut self.slices[index].step {
                        endings[position].asked = true;
                    }
                    Some(sent)
                })
                .collect(),
            Step::Granting { handover, in_flight: false, at }
                if now >= at
                    && self.server(owner).standing != Standing::Ended
                    && !self.server(owner).replaced =>
            {
                let order = Order::Grant { range, fence, hold, handover: handover.clone() };
                let sent = self.send(owner, Kind::Grant(hold), order);
                if sent.is_some() {
                    self.slices[index].granted = true;
                    self.slices[index].step = Step::Granting { handover, in_flight: true, at };
                }
                sent.into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Returns the renewals for one server: first that of one key, and when it is answered all.
    fn renewals(&mut self, now: Millis, key: ServerKey, hold: Millis) -> Vec<OrderToSend> {
        let server = self.server(key);
        let due = now >= server.next_renewal && server.grants_in_flight == 0;
        if !due || !server.takes_orders(now) {
            return Vec::new();
        }
        let runs = self.renewed_runs(key);
        let server = self.server_mut(key);
        server.next_renewal = now + RENEWAL_INTERVAL;
        let probed = std::mem::take(&mut server.probed);
        let probe = server.probe_key(runs.iter().map(|run| run.0));
        let probe = probe.or_else(|| runs.first().map(|run| run.0.first));
        let due = match probe.filter(|_| !probed) {
            Some(probe) => {
                let range = KeyRange { first: probe, last: probe };
                let run = runs.iter().find(|run| run.0.contains(probe));
                run.map(|run| (range, run.1)).into_iter().collect()
            }
            None => runs,
        };
        let kind = if probed { Kind::Grant(hold) } else { Kind::Probe(hold) };
        let orders = due.into_iter().filter_map(|(range, fence)| {
            self.send(key, kind, Order::Grant { range, fence, hold, handover: None })
        });
        orders.collect()
    }

    /// Returns what a server holds by orders of this assigner, with the fences: neighbouring ranges
    /// under one fence are one.
    fn renewed_runs(&self, key: ServerKey) -> Vec<(KeyRange, u64)> {
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
        runs
    }

    fn send(&mut self, key: ServerKey, kind: Kind, order: Order) -> Option<OrderToSend> {
        let address = self.server(key).address?;
        let (Order::Grant { range, fence, .. } | Order::Release { range, fence }) = order;
        self.last_flight += 1;
        let flight = self.last_flight;
        self.flights.insert(flight, InFlight { server: key, range, fence, kind });
        let server = self.server_mut(key);
        let timeout = match kind {
            Kind::Grant(_) | Kind::Probe(_) => {
                server.grants_in_flight += 1;
                ORDER_TIMEOUT
            }
            Kind::Release => RELEASE_TIMEOUT,
        };
        let server = server.life.clone();
        Some(OrderToSend { flight: Flight(flight), server, address, order, timeout })
    }

    /// Notes how an order ended.
    pub fn on_order_ended(&mut self, now: Millis, flight: Flight, end: &OrderEnd) {
        let Some(flight) = self.flights.remove(&flight.0) else { return };
        let server = self.server_mut(flight.server);
        match end {
            OrderEnd::Answered(OrderAnswer::Done(_) | OrderAnswer::HigherFence) => {
                server.failures = 0;
                server.last_answer = now;
            }
            OrderEnd::Answered(OrderAnswer::Refused(_)) => {
                server.failures += 1;
                server.replaced |= is_foreign(end);
            }
            OrderEnd::Unanswered | OrderEnd::Unsent => server.failures += 1,
        }
        match flight.kind {
            Kind::Grant(hold) => self.grant_ended(now, &flight, hold, end),
            Kind::Probe(hold) => self.probe_ended(now, &flight, hold, end),
            Kind::Release => self.release_ended(now, &flight, end),
        }
    }

    fn probe_ended(&mut self, now: Millis, flight: &InFlight, hold: Millis, end: &OrderEnd) {
        let server = self.server_mut(flight.server);
        server.grants_in_flight -= 1;
        if *end != OrderEnd::Unsent {
            server.on_probe_arrived(now, flight.range.first, hold, end.is_answered());
        }
        match end.is_done() {
            true => {
                server.probed = true;
                server.next_renewal = now;
            }
            false => server.retry_renewal(now),
        }
    }

    fn grant_ended(&mut self, now: Millis, flight: &InFlight, hold: Millis, end: &OrderEnd) {
        let server = self.server_mut(flight.server);
        server.grants_in_flight -= 1;
        if *end != OrderEnd::Unsent {
            server.on_grant_arrived(now, hold, end.is_answered());
        }
        let done = end.is_done();
        if !done {
            server.retry_renewal(now);
        }
        for slice in &mut self.slices {
            let same = slice.owner == flight.server
                && slice.fence == flight.fence
                && flight.range.contains(slice.range.first);
            match &mut slice.step {
                Step::Granting { .. } if same && done => {
                    slice.step = Step::Held;
                    slice.adopted = false;
                    slice.refencing = false;
                    self.outdated = true;
                }
                Step::Granting { in_flight, at, .. } if same => {
                    *in_flight = false;
                    *at = now + RETRY_PAUSE;
                }
                _ => {}
            }
        }
    }

    fn release_ended(&mut self, now: Millis, flight: &InFlight, end: &OrderEnd) {
        let server = &self.servers[flight.server.0 as usize];
        for slice in &mut self.slices {
            let covered =
                flight.range.first <= slice.range.first && slice.range.last <= flight.range.last;
            let Step::Ending { endings, handover } = &mut slice.step else { continue };
            let asked = endings.iter_mut().find(|ending| {
                ending.former.server == flight.server && ending.former.fence == flight.fence
            });
            let Some(ending) = asked.filter(|_| covered) else { continue };
            ending.asked = false;
            let late_until = server.late_until(slice.range, ending.former.adopted);
            match end {
                OrderEnd::Answered(OrderAnswer::Done(given)) => {
                    ending.released = true;
                    ending.until = ending.until.map(|until| until.min(late_until));
                    if given.is_some() {
                        handover.clone_from(given);
                    }
                }
                // An owner refuses no release: another server listens where it did.
                _ if is_foreign(end) => {
                    ending.released = true;
                    ending.until = ending.until.map(|until| until.min(late_until));
                }
                _ => ending.ask_at = now + RETRY_PAUSE,
            }
        }
    }

    fn has_grant_in_flight(&self, server: ServerKey, range: KeyRange) -> bool {
        self.flights.values().any(|flight| {
            flight.server == server
                && flight.kind != Kind::Release
                && flight.range.first <= range.last
                && range.first <= flight.range.last
        })
    }
}

/// Returns whether the answer is that of a server that the order was not meant for.
fn is_foreign(end: &OrderEnd) -> bool {
    matches!(end, OrderEnd::Answered(OrderAnswer::Refused(400..=499)))
}

/// Starts to grant a range.
pub(crate) fn granting(handover: Option<Handover>) -> Step {
    Step::Granting { handover, in_flight: false, at: Millis::ZERO }
}
