use {
    crate::control::message::ServiceStatus,
    oriolehoist_ownership::{Assigner, Follower, TakeoverRank, Timing},
    oriolehoist_placement::MoveBudget,
    oriolehoist_platform::Revision,
    oriolehoist_protocol::{InstanceName, RouteState, ServiceName, Term, Version},
    oriolehoist_reach::ReachSummary,
    oriolehoist_settings::{Placement, TimingValues},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::collections::HashMap,
};

/// The control state of one keyed service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) service: ServiceName,
    pub(crate) timing: Timing,
    pub(crate) budget: MoveBudget,
    pub(crate) follower: Follower,
    /// Present while this daemon holds the service's term.
    pub(crate) assigner: Option<Assigner>,
    /// Whether a write of the term record is in progress.
    pub(crate) writing_record: bool,
    /// The highest term that a write of the term record has found in the store.
    pub(crate) highest_found_term: Option<Term>,
    /// When the last attempt to replace this daemon's own term record began.
    pub(crate) replace_attempted_at: Millis,
    pub(crate) store: AssignmentStoreState,
    pub(crate) heartbeats: HeartbeatState,
    /// Whether the assigner had a quorum of witness leases at the last update of the metrics.
    pub(crate) had_quorum: bool,
    /// When the metrics were last updated.
    pub(crate) metrics_updated_at: Millis,
    /// Since when this daemon reaches few of the servers that it has tried, while it has the term.
    pub(crate) lost_since: Option<Millis>,
}

/// Which version of the assignment the store holds, and the state of writes to it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AssignmentStoreState {
    pub(crate) revision: Revision,
    pub(crate) version: Version,
    /// Whether a write is in progress.
    pub(crate) writing: bool,
    /// When the last write began.
    pub(crate) attempted_at: Millis,
}

/// When the last heartbeat was sent, and what each peer has acknowledged.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeartbeatState {
    pub(crate) sent_at: Millis,
    /// The version of the assignment at that time.
    pub(crate) sent_version: Version,
    pub(crate) acks: HashMap<InstanceName, PeerAck>,
    /// How many servers each peer reaches, and when it said so.
    pub(crate) reach: HashMap<InstanceName, (Millis, ReachSummary)>,
}

/// The assignment version and term record that a peer has last reported to hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct PeerAck {
    /// The version of the assignment under the current term.
    pub(crate) version: Version,
    /// The write id of the term's record.
    pub(crate) record_write_id: SmolStr,
}

impl ServiceState {
    pub(crate) fn new(
        now: Millis,
        incarnation: oriolehoist_protocol::Incarnation,
        service: ServiceName,
        shards: u32,
        timing: Timing,
        budget: MoveBudget,
    ) -> ServiceState {
        ServiceState {
            follower: Follower::new(now, incarnation, service.clone(), shards, timing),
            service,
            timing,
            budget,
            assigner: None,
            writing_record: false,
            highest_found_term: None,
            replace_attempted_at: now,
            store: AssignmentStoreState::default(),
            heartbeats: HeartbeatState::default(),
            had_quorum: true,
            metrics_updated_at: now,
            lost_since: None,
        }
    }

    /// Returns the assigner if its term is still `term`.
    pub(crate) fn assigner_of(&mut self, term: Term) -> Option<&mut Assigner> {
        self.assigner.as_mut().filter(|assigner| assigner.record().term == term)
    }

    /// Returns whether this daemon has lost contact with the holder of the term. Never true while
    /// this daemon is the holder.
    pub(crate) fn has_lost_holder(&self, now: Millis) -> bool {
        self.assigner.is_none() && self.follower.should_take_over(now, TakeoverRank(0))
    }

    /// Returns whether a heartbeat is due: at regular intervals, and immediately after a change of
    /// the assignment.
    pub(crate) fn heartbeat_due(&self, now: Millis) -> bool {
        let changed =
            self.assigner.as_ref().is_some_and(|a| a.version() != self.heartbeats.sent_version);
        changed || now.since(self.heartbeats.sent_at) >= self.timing.heartbeat
    }

    /// Returns a summary for operators.
    pub(crate) fn status(&self, now: Millis) -> ServiceStatus {
        let assignment = self.follower.assignment();
        let is_unserved = |state: RouteState| state != RouteState::Serving;
        ServiceStatus {
            service: self.service.clone(),
            term: assignment.term,
            version: assignment.version,
            assigner: self.follower.record().map(|record| record.holder.instance.clone()),
            heard_ago: self.follower.time_since_heartbeat(now),
            unserved_shards: assignment.shards.iter().filter(|r| is_unserved(r.state)).count(),
            assigning: self.assigner.as_ref().map(|assigner| assigner.status(now)),
        }
    }
}

/// Converts the times from the settings.
pub(crate) fn timing_of(values: &TimingValues) -> Timing {
    Timing {
        heartbeat: Millis(values.heartbeat_ms),
        renewal: Millis(values.renewal_ms),
        grant: Millis(values.grant_ms),
        witness_lease: Millis(values.voucher_ms),
        lost_after: Millis(values.lost_after_ms),
        drift_per_mille: values.drift_per_mille,
    }
}

/// Converts the bounds on shard moves from the settings.
pub(crate) fn budget_of(placement: &Placement) -> MoveBudget {
    MoveBudget {
        max_moves: usize::try_from(placement.moves).unwrap_or(usize::MAX),
        max_imbalance_percent: placement.imbalance_percent,
    }
}
