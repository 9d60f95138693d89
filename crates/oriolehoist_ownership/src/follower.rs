use {
    crate::Timing,
    oriolehoist_protocol::{
        AcceptTermRequest, AcceptTermResponse, Assignment, Heartbeat, HeartbeatResponse,
        Incarnation, ServiceName, Term, TermRecord, Version,
    },
    oriolehoist_time::Millis,
};

/// A daemon's position in the order in which daemons try to take over from a lost assigner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TakeoverRank(pub u32);

/// The additional delay per rank, so that daemons do not try to take over at the same time.
const TAKEOVER_DELAY_PER_RANK: Millis = Millis(60);

/// A daemon's state for one service: the assignment that it routes by, and the term that it has
/// accepted and the leases that it has granted as a witness.
#[derive(Clone, Debug)]
pub struct Follower {
    incarnation: Incarnation,
    timing: Timing,
    accepted: Term,
    /// When the lease granted to the assigner of the accepted term expires.
    lease_expiry: Millis,
    /// When the last lease granted to an assigner of a lower term expires.
    older_lease_expiry: Millis,
    /// When the assigner was last heard from or the takeover timeout was last restarted, or zero
    /// after a resignation.
    last_heard: Millis,
    record: Option<TermRecord>,
    assignment: Assignment,
}

impl Follower {
    /// Creates the follower of a daemon that starts at `now`.
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
            lease_expiry: Millis::ZERO,
            older_lease_expiry: Millis::ZERO,
            last_heard: now,
            record: None,
            assignment: Assignment::empty(service, shards),
        }
    }

    /// Returns the assignment to route by.
    pub fn assignment(&self) -> &Assignment {
        &self.assignment
    }

    /// Returns the latest record received in a heartbeat.
    pub fn record(&self) -> Option<&TermRecord> {
        self.record.as_ref()
    }

    /// Returns the highest term that this daemon has accepted.
    pub fn accepted(&self) -> Term {
        self.accepted
    }

    /// Handles a heartbeat. Heartbeats with a lower term than the accepted one change nothing.
    pub fn on_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) -> HeartbeatResponse {
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
        let lease_granted = current && self.is_witness_under(term);
        if lease_granted {
            self.lease_expiry = now + self.timing.witness_lease;
        }
        HeartbeatResponse {
            incarnation: self.incarnation,
            accepted: self.accepted,
            lease_granted,
            version: self.version_under(term),
            record: self.record.as_ref().map(|record| record.write_id.clone()).unwrap_or_default(),
            // Set by the caller before it responds to a peer: the follower does not know the
            // settings, nor the servers.
            settings: Version::default(),
            reach: None,
        }
    }

    /// Handles a new assigner's request to accept its term, as a witness of a previous record.
    pub fn on_accept_term(
        &mut self,
        now: Millis,
        request: &AcceptTermRequest,
    ) -> AcceptTermResponse {
        if request.term > self.accepted {
            self.accept(request.term);
            // The new assigner gets the same time before it is considered lost as one that has
            // just sent a heartbeat.
            self.last_heard = now;
        }
        AcceptTermResponse {
            incarnation: self.incarnation,
            accepted: self.accepted,
            lease_remaining: self.older_lease_expiry.since(now),
        }
    }

    /// Returns whether the assigner has not been heard from for so long that this daemon should try
    /// to take over.
    pub fn should_take_over(&self, now: Millis, rank: TakeoverRank) -> bool {
        let timeout = self.timing.lost_after + TAKEOVER_DELAY_PER_RANK * u64::from(rank.0);
        now.since(self.last_heard) > timeout
    }

    /// Returns the time since the assigner was last heard from, or since the takeover timeout was
    /// restarted.
    pub fn time_since_heartbeat(&self, now: Millis) -> Millis {
        now.since(self.last_heard)
    }

    /// Handles an assigner's announcement that it has given up `term`. This daemon may then try to
    /// take over immediately.
    pub fn on_resignation(&mut self, term: Term) {
        if term >= self.accepted {
            self.last_heard = Millis::ZERO;
        }
    }

    /// Restarts the timeout before this daemon tries to take over, after a failed attempt.
    pub fn postpone_takeover(&mut self, now: Millis) {
        self.last_heard = now;
    }

    /// Replaces the assignment by `assignment`, which another daemon or the store has kept, if that
    /// is newer and has the same number of shards. Returns whether it did.
    pub fn adopt_assignment(&mut self, assignment: Assignment) -> bool {
        let newer =
            (assignment.term, assignment.version) > (self.assignment.term, self.assignment.version);
        let same_shards = assignment.shards.len() == self.assignment.shards.len();
        if newer && same_shards {
            self.assignment = assignment;
        }
        newer && same_shards
    }

    fn accept(&mut self, term: Term) {
        if term > self.accepted {
            self.older_lease_expiry = self.older_lease_expiry.max(self.lease_expiry);
            self.lease_expiry = Millis::ZERO;
            self.accepted = term;
        }
    }

    /// Returns whether the record of `term` is known and lists this daemon's current incarnation as
    /// a witness.
    fn is_witness_under(&self, term: Term) -> bool {
        let record = self.record.as_ref().filter(|record| record.term == term);
        record.is_some_and(|record| {
            record.witnesses.iter().any(|witness| witness.incarnation == self.incarnation)
        })
    }

    /// Returns the version of the assignment if it belongs to `term`, or zero.
    fn version_under(&self, term: Term) -> Version {
        if self.assignment.term == term { self.assignment.version } else { Version::default() }
    }
}
