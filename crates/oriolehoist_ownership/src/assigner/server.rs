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

/// What an assigner keeps for one backend server.
#[derive(Debug)]
pub(super) struct ServerEntry {
    name: ServerName,
    address: SocketAddr,
    echo: Option<Echo>,
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

    /// Takes an answer. Returns whether the server has restarted since the last one.
    pub(super) fn on_answer(&mut self, now: Millis, fenced: bool, answer: &ServerAnswer) -> bool {
        let restarted = self.echo.is_some_and(|e| e.incarnation != answer.incarnation);
        // An answer that was overtaken by a later one must not bring an older time back.
        let newer = restarted || self.echo.is_none_or(|e| answer.time >= e.time);
        if newer {
            self.echo =
                Some(Echo { time: answer.time, incarnation: answer.incarnation, received: now });
            self.list_held = match answer.outcome {
                OrderOutcome::UnknownList => 0,
                _ => answer.list,
            };
        }
        if restarted {
            self.bound = Millis::ZERO;
        }
        self.fenced |= fenced;
        self.draining = answer.load.draining;
        self.load = answer.load;
        restarted
    }

    /// Returns whether the server has answered under this assigner's term, so that it takes no
    /// order of an earlier one.
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

    pub(super) fn order_due(&self, now: Millis, timing: &Timing) -> bool {
        let every = match self.is_reachable(now, timing) {
            true => timing.renewal,
            false => timing.heartbeat,
        };
        self.list_changed || self.sent.is_none_or(|sent| now.since(sent) >= every)
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
