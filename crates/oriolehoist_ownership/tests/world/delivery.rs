//! What happens to messages: they are delivered, lost or repeated, and answered.

use {
    super::{
        World,
        message::{Message, index_of},
    },
    oriolehoist_ownership::{Event, ServerIndex},
    oriolehoist_protocol::{
        Heartbeat, HeartbeatAnswer, InstanceName, LoadReport, Order, OrderBody, Term,
    },
    oriolehoist_time::Millis,
};

impl World {
    pub(super) fn deliver(&mut self, pick: usize) {
        if self.bag.is_empty() {
            return;
        }
        // Half of the deliveries take a recent message, the others any.
        let at = match pick.is_multiple_of(2) {
            true => self.bag.len() - 1 - pick / 2 % self.bag.len().min(4),
            false => pick / 2 % self.bag.len(),
        };
        if self.is_cut(&self.bag[at]) {
            self.bag.remove(at);
        } else if !self.is_frozen(&self.bag[at]) {
            let message = self.bag.remove(at);
            self.receive(message);
        }
    }

    pub(super) fn drop_message(&mut self, pick: usize) {
        if !self.bag.is_empty() {
            let at = pick % self.bag.len();
            self.bag.remove(at);
        }
    }

    pub(super) fn repeat_message(&mut self, pick: usize) {
        if !self.bag.is_empty() {
            let message = self.bag[pick % self.bag.len()].clone();
            self.bag.push(message);
        }
    }

    pub(super) fn is_frozen(&self, message: &Message) -> bool {
        match message {
            Message::Order { to, .. } => self.servers[*to].frozen,
            Message::Answer { to, .. }
            | Message::Beat { to, .. }
            | Message::Beaten { to, .. }
            | Message::Accepted { to, .. } => self.daemons[*to].frozen,
            Message::Accept { witness, .. } => self.daemons[index_of(witness)].frozen,
        }
    }

    pub(super) fn receive(&mut self, message: Message) {
        match message {
            Message::Order { from, to, sent, order } => self.on_order(from, to, sent, order),
            Message::Answer { to, server, term, sent, probed, revoked, answer } => {
                let server = ServerIndex(server);
                let event = match revoked {
                    Some(grants) => Event::Revoked { server, grants, answer },
                    None => Event::ServerAnswered { server, sent, probed, answer },
                };
                self.step_under(to, term, event);
            }
            Message::Beat { from, to, sent, beat } => self.on_beat(from, to, sent, &beat),
            Message::Beaten { to, from, sent, term, answer } => {
                let from = InstanceName::from(format!("d{from}").as_str());
                self.step_under(to, term, Event::Heartbeat { from, sent, answer });
            }
            Message::Accept { from, witness, request } => {
                let daemon = &mut self.daemons[index_of(&witness)];
                let answer = daemon.follower.on_accept(daemon.drift.at(self.time), &request);
                let term = request.term;
                self.bag.push(Message::Accepted { to: from, term, witness, answer });
            }
            Message::Accepted { to, term, witness, answer } => {
                self.step_under(to, term, Event::TermAccepted { from: witness, answer });
            }
        }
    }

    fn step_under(&mut self, d: usize, term: Term, event: Event) {
        let assigner = self.daemons[d].assigner.as_ref();
        if assigner.is_some_and(|assigner| assigner.record().term == term) {
            self.step(d, event);
        }
    }

    fn on_order(&mut self, from: usize, to: usize, sent: Millis, order: Order) {
        let server = &mut self.servers[to];
        let now = server.drift.at(self.time);
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
            true => self.bag.push(Message::Answer {
                to: from,
                server: to,
                term,
                sent,
                probed,
                revoked,
                answer,
            }),
            // The order is taken again once work has ended; it changes nothing a second time.
            false => server.waiting.push(Message::Order { from, to, sent, order }),
        }
    }

    fn on_beat(&mut self, from: usize, to: usize, sent: Millis, beat: &Heartbeat) {
        let daemon = &mut self.daemons[to];
        let now = daemon.drift.at(self.time);
        let answer = daemon.follower.on_heartbeat(now, beat);
        let accepted = answer.accepted;
        let term = beat.term;
        self.bag.push(Message::Beaten { to: from, from: to, sent, term, answer: answer.clone() });
        let own = HeartbeatAnswer { vouched: false, accepted, ..answer };
        let from = InstanceName::from(format!("d{from}").as_str());
        self.step(to, Event::Heartbeat { from, sent, answer: own });
    }
}
