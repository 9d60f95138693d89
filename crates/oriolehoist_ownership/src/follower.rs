use {
    crate::Timing,
    oriolehoist_protocol::{
        AcceptAnswer, AcceptTerm, Assignment, Heartbeat, HeartbeatAnswer, Incarnation, ServiceName,
        Term, TermRecord, Version,
    },
    oriolehoist_time::Millis,
};

/// A daemon's place in the order in which daemons try to take over a lost assigner's term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub u32);

/// How much longer each further rank waits, so that takeovers do not collide.
const RANK_STEP: Millis = Millis(60);

/// What every daemon keeps for a service: the assignment it routes by, and its duty as a witness.
#[derive(Clone, Debug)]
pub struct Follower {
    incarnation: Incarnation,
    timing: Timing,
    accepted: Term,
    voucher: Millis,
    older_voucher: Millis,
    last_heard: Millis,
    record: Option<TermRecord>,
    assignment: Assignment,
}

impl Follower {
    /// Creates the follower of a daemon that has just started, at `now`.
    pub fn new(
        now: Millis,
        incarnation: Incarnation,
        service: ServiceName,
        shards: u32,
        timing: Timing,
    ) -> Follower {
        Follower {
            incarnation,
            timing,
            accepted: Term(0),
            voucher: Millis::ZERO,
            older_voucher: Millis::ZERO,
            last_heard: now,
            record: None,
            assignment: Assignment::empty(service, shards),
        }
    }

    /// Returns the assignment to route by.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Returns the latest record that a heartbeat carried.
    pub fn record(&self) -> Option<&TermRecord> {
        self.record.as_ref()
    }

    /// Returns the highest term that this daemon has accepted.
    pub fn accepted(&self) -> Term {
        self.accepted
    }

    /// Takes a heartbeat. A heartbeat of a lower term than the accepted one changes nothing.
    pub fn on_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) -> HeartbeatAnswer {
        let term = heartbeat.term;
        let current = term >= self.accepted;
        if current {
            self.accept(term);
            self.last_heard = now;
        }
        match &heartbeat.record {
            Some(record) if current && record.term == term => self.record = Some(record.clone()),
            _ => {}
        }
        if let (true, Some(delta)) = (current, &heartbeat.delta) {
            self.assignment.apply(term, delta);
        }
        let vouched = current && self.is_witness_under(term);
        if vouched {
            self.voucher = now + self.timing.voucher;
        }
        HeartbeatAnswer {
            incarnation: self.incarnation,
            accepted: self.accepted,
            vouched,
            version: self.version_under(term),
            record: self.record.as_ref().map(|record| record.write_id.clone()).unwrap_or_default(),
            settings: Version::default(),
        }
    }

    /// Takes a new assigner's term, as a witness of an earlier one.
    pub fn on_accept(&mut self, now: Millis, request: &AcceptTerm) -> AcceptAnswer {
        if request.term > self.accepted {
            self.accept(request.term);
            // The new assigner is given the same patience as one that has sent a heartbeat.
            self.last_heard = now;
        }
        AcceptAnswer {
            incarnation: self.incarnation,
            accepted: self.accepted,
            voucher_left: self.older_voucher.since(now),
        }
    }

    /// Returns whether the assigner has been silent for so long that this daemon should try to
    /// take the term over.
    pub fn should_take_over(&self, now: Millis, rank: Rank) -> bool {
        let patience = self.timing.lost_after + RANK_STEP * u64::from(rank.0);
        now.since(self.last_heard) > patience
    }

    /// Returns how long ago the assigner was heard.
    pub fn heard_ago(&self, now: Millis) -> Millis {
        now.since(self.last_heard)
    }

    /// Takes an assigner's word that it no longer uses its term.
    pub fn on_resignation(&mut self, term: Term) {
        if term >= self.accepted {
            self.last_heard = Millis::ZERO;
        }
    }

    /// Puts the next attempt to take over off, after an attempt that failed.
    pub fn postpone_take_over(&mut self, now: Millis) {
        self.last_heard = now;
    }

    /// Uses `assignment`, as another daemon or the store kept it, if it is newer.
    pub fn adopt(&mut self, assignment: Assignment) -> bool {
        let newer =
            (assignment.term, assignment.version) > (self.assignment.term, self.assignment.version);
        let fits = assignment.shards.len() == self.assignment.shards.len();
        if newer && fits {
            self.assignment = assignment;
        }
        newer && fits
    }

    fn accept(&mut self, term: Term) {
        if term > self.accepted {
            self.older_voucher = self.older_voucher.max(self.voucher);
            self.voucher = Millis::ZERO;
            self.accepted = term;
        }
    }

    /// Returns whether the record of `term` is held here and names this daemon's present life.
    fn is_witness_under(&self, term: Term) -> bool {
        let record = self.record.as_ref().filter(|record| record.term == term);
        record.is_some_and(|record| {
            record.witnesses.iter().any(|witness| witness.incarnation == self.incarnation)
        })
    }

    fn version_under(&self, term: Term) -> Version {
        if self.assignment.term == term { self.assignment.version } else { Version::default() }
    }
}
