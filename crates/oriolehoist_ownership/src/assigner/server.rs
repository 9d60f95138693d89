use {
    crate::Timing,
    oriolehoist_protocol::{
        Incarnation, LoadReport, OrderOutcome, ServerAddress, ServerAnswer, ServerName,
    },
    oriolehoist_time::Millis,
    std::net::SocketAddr,
};

/// A time that a server gave, to be echoed in a renewal.
#[derive(Clone, Copy, Debug)]
pub(super) struct Echo {
    pub(super) time: Millis,
    pub(super) incarnation: Incarnation,
    received: Millis,
}

/// Which life of a server an answer comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Life {
    /// One that has ended since.
    Earlier,
    /// The one that was known.
    Same,
    /// A later one: the server has restarted.
    New,
}

/// What an assigner keeps for one backend server.
#[derive(Clone, Debug)]
pub(super) struct ServerEntry {
    name: ServerName,
    address: SocketAddr,
    echo: Option<Echo>,
    /// When the present life was first heard of, by the assigner's clock.
    life_known: Millis,
    /// When every grant that may have reached the server has lapsed, by the assigner's clock.
    bound: Millis,
    fenced: bool,
    leaving: bool,
    removed: bool,
    draining: bool,
    list: u64,
    list_held: u64,
    list_changed: bool,
    sent: Option<Millis>,
    revocation_sent: Option<Millis>,
    load: LoadReport,
}

impl ServerEntry {
    pub(super) fn new(server: &ServerAddress) -> ServerEntry {
        ServerEntry {
            name: server.name.clone(),
            address: server.address,
            echo: None,
            life_known: Millis::ZERO,
            bound: Millis::ZERO,
            fenced: false,
            leaving: false,
            removed: false,
            draining: false,
            list: 1,
            list_held: 0,
            list_changed: false,
            sent: None,
            revocation_sent: None,
            load: LoadReport::default(),
        }
    }

    pub(super) fn name(&self) -> &ServerName {
        &self.name
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn set_address(&mut self, address: SocketAddr) {
        self.address = address;
    }

    pub(super) fn load(&self) -> LoadReport {
        self.load
    }

    /// Takes the answer to an order that was sent at `sent`. Returns whose answer it is.
    pub(super) fn on_answer(&mut self, now: Millis, sent: Millis, answer: &ServerAnswer) -> Life {
        let life = match self.echo {
            None => Life::Same,
            Some(echo) if echo.incarnation == answer.incarnation => Life::Same,
            // Only an order that was sent after the present life was known can have been answered
            // by a later one.
            Some(_) if sent > self.life_known => Life::New,
            Some(_) => return Life::Earlier,
        };
        if life == Life::New || self.echo.is_none() {
            self.life_known = now;
            self.fenced = false;
            self.bound = Millis::ZERO;
        }
        // An answer that was overtaken by a later one must not bring an older time back.
        let newer = life == Life::New || self.echo.is_none_or(|e| answer.time >= e.time);
        if newer {
            self.echo =
                Some(Echo { time: answer.time, incarnation: answer.incarnation, received: now });
            self.list_held = match answer.outcome {
                OrderOutcome::UnknownList => 0,
                _ => answer.list,
            };
        }
        self.draining = answer.load.draining;
        self.load = answer.load;
        life
    }

    /// Notes that the server's present life has answered a probe of this assigner's term.
    pub(super) fn set_fenced(&mut self) {
        self.fenced = true;
    }

    /// Returns whether the server's present life has answered a probe of this assigner's term, so
    /// that what it holds is known and it takes no order of an earlier term.
    pub(super) fn is_fenced(&self) -> bool {
        self.fenced
    }

    pub(super) fn is_reachable(&self, now: Millis, timing: &Timing) -> bool {
        self.echo.is_some_and(|e| now.since(e.received) <= timing.lost_after)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving || self.draining || self.removed
    }

    pub(super) fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    pub(super) fn set_removed(&mut self, removed: bool) {
        self.removed = removed;
    }

    /// Returns the time to echo, unless a grant counted from it would already have lapsed.
    pub(super) fn echo(&self, now: Millis, timing: &Timing) -> Option<Echo> {
        self.echo.filter(|e| now < e.received + timing.grant)
    }

    pub(super) fn has_lapsed(&self, now: Millis) -> bool {
        now > self.bound
    }

    pub(super) fn extend_bound(&mut self, bound: Millis) {
        self.bound = self.bound.max(bound);
    }

    pub(super) fn list(&self) -> u64 {
        self.list
    }

    /// Starts a new list of grants, and returns its number.
    pub(super) fn change_list(&mut self) -> u64 {
        if !self.list_changed {
            self.list += 1;
            self.list_changed = true;
        }
        self.list
    }

    pub(super) fn needs_list(&self) -> bool {
        self.list_held != self.list
    }

    /// Returns whether an order is due: at intervals, and at once when `can_renew` and the list of
    /// grants has changed. A probe is never sent at once, since its answer would ask for another.
    pub(super) fn order_due(&self, now: Millis, timing: &Timing, can_renew: bool) -> bool {
        let every = match self.is_reachable(now, timing) {
            true => timing.renewal,
            false => timing.heartbeat,
        };
        (self.list_changed && can_renew) || self.sent.is_none_or(|sent| now.since(sent) >= every)
    }

    /// Notes that an order is on its way; a renewal prolongs what may be held at the server.
    pub(super) fn on_order_sent(&mut self, now: Millis, renews: bool, timing: &Timing) {
        self.sent = Some(now);
        match self.echo {
            Some(echo) if renews => {
                self.list_changed = false;
                self.extend_bound(echo.received + timing.at_most(timing.grant));
            }
            _ => {}
        }
    }

    pub(super) fn revocation_due(&mut self, now: Millis, timing: &Timing) -> bool {
        let due = self.revocation_sent.is_none_or(|sent| now.since(sent) >= timing.renewal);
        if due {
            self.revocation_sent = Some(now);
        }
        due
    }
}
