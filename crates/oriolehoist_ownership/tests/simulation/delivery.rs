//! Delivers, loses and duplicates messages, and sends the responses to them.

use {
    super::{
        Simulation,
        message::{Message, index_of},
    },
    oriolehoist_ownership::{Event, ServerIndex},
    oriolehoist_protocol::{
        Heartbeat, HeartbeatAnswer, InstanceName, LoadReport, Order, OrderBody, Term,
    },
    oriolehoist_time::Millis,
};

impl Simulation {
    pub(super) fn deliver(&mut self, pick: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        // Half of the deliveries pick one of the latest messages, the others any message.
        let at = match pick.is_multiple_of(2) {
            true => self.in_flight.len() - 1 - pick / 2 % self.in_flight.len().min(4),
            false => pick / 2 % self.in_flight.len(),
        };
        if self.is_link_cut(&self.in_flight[at]) {
            self.in_flight.remove(at);
        } else if !self.is_receiver_frozen(&self.in_flight[at]) {
            let message = self.in_flight.remove(at);
            self.receive(message);
        }
    }

    pub(super) fn drop_message(&mut self, pick: usize) {
        if !self.in_flight.is_empty() {
            let at = pick % self.in_flight.len();
            self.in_flight.remove(at);
        }
    }

    pub(super) fn duplicate_message(&mut self, pick: usize) {
        if !self.in_flight.is_empty() {
            let message = self.in_flight[pick % self.in_flight.len()].clone();
            self.in_flight.push(message);
        }
    }

    pub(super) fn is_receiver_frozen(&self, message: &Message) -> bool {
        match message {
            Message::Order { to, .. } => self.servers[*to].frozen,
            Message::OrderResponse { to, .. }
            | Message::Heartbeat { to, .. }
            | Message::HeartbeatResponse { to, .. }
            | Message::AcceptTermResponse { to, .. } => self.daemons[*to].frozen,
            Message::AcceptTerm { witness, .. } => self.daemons[index_of(witness)].frozen,
        }
    }

    pub(super) fn receive(&mut self, message: Message) {
        match message {
            Message::Order { from, to, sent, order } => self.on_order(from, to, sent, order),
            Message::OrderResponse { to, server, term, sent, probed, revoked, answer } => {
                let server = ServerIndex(server);
                let event = match revoked {
                    Some(grants) => Event::Revoked { server, grants, answer },
                    None => Event::ServerAnswered { server, sent, probed, answer },
                };
                self.step_if_term(to, term, event);
            }
            Message::Heartbeat { from, to, sent, body } => self.on_heartbeat(from, to, sent, &body),
            Message::HeartbeatResponse { to, from, sent, term, answer } => {
                let from = InstanceName::from(format!("d{from}").as_str());
                self.step_if_term(to, term, Event::Heartbeat { from, sent, answer });
            }
            Message::AcceptTerm { from, witness, request } => {
                let daemon = &mut self.daemons[index_of(&witness)];
                let answer = daemon.follower.on_accept(daemon.clock.at(self.time), &request);
                let term = request.term;
                self.in_flight.push(Message::AcceptTermResponse {
                    to: from,
                    term,
                    witness,
                    answer,
                });
            }
            Message::AcceptTermResponse { to, term, witness, answer } => {
                self.step_if_term(to, term, Event::TermAccepted { from: witness, answer });
            }
        }
    }

    fn step_if_term(&mut self, d: usize, term: Term, event: Event) {
        let assigner = self.daemons[d].assigner.as_ref();
        if assigner.is_some_and(|assigner| assigner.record().term == term) {
            self.step(d, event);
        }
    }

    fn on_order(&mut self, from: usize, to: usize, sent: Millis, order: Order) {
        let server = &mut self.servers[to];
        let now = server.clock.at(self.time);
        let mut answer = server.table.take(now, &order, LoadReport::default());
        answer.time = now;
        let term = order.term;
        let probed = order.body == OrderBody::Probe;
        let revoked = match &order.body {
            OrderBody::Revoke { grants } => Some(grants.clone()),
            _ => None,
        };
        let idle = revoked.as_ref().is_none_or(|grants| server.table.is_idle(grants));
        match idle {
            true => self.in_flight.push(Message::OrderResponse {
                to: from,
                server: to,
                term,
                sent,
                probed,
                revoked,
                answer,
            }),
            // The order is handled again when work has ended. It changes nothing the second time.
            false => server.pending_revocations.push(Message::Order { from, to, sent, order }),
        }
    }

    fn on_heartbeat(&mut self, from: usize, to: usize, sent: Millis, heartbeat: &Heartbeat) {
        let daemon = &mut self.daemons[to];
        let now = daemon.clock.at(self.time);
        let answer = daemon.follower.on_heartbeat(now, heartbeat);
        let accepted = answer.accepted;
        let term = heartbeat.term;
        self.in_flight.push(Message::HeartbeatResponse {
            to: from,
            from: to,
            sent,
            term,
            answer: answer.clone(),
        });
        let own = HeartbeatAnswer { vouched: false, accepted, ..answer };
        let from = InstanceName::from(format!("d{from}").as_str());
        self.step(to, Event::Heartbeat { from, sent, answer: own });
    }
}
