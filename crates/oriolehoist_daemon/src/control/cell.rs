use {
    crate::control::message::ServiceStatus,
    oriolehoist_ownership::{Assigner, Follower, TakeoverRank, Timing},
    oriolehoist_placement::MoveBudget,
    oriolehoist_platform::Revision,
    oriolehoist_protocol::{InstanceName, RouteState, ServiceName, Term, Version},
    oriolehoist_settings::{Placement, TimingValues},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::collections::HashMap,
};

/// What control keeps for one service that is split by key.
#[derive(Debug)]
pub(crate) struct Cell {
    pub(crate) service: ServiceName,
    pub(crate) timing: Timing,
    pub(crate) budget: MoveBudget,
    pub(crate) follower: Follower,
    pub(crate) assigner: Option<Assigner>,
    /// Whether an attempt to write the record is under way.
    pub(crate) attempting: bool,
    /// The highest term that an attempt found in the store.
    pub(crate) found: Option<Term>,
    /// When the last attempt to replace this daemon's own record began.
    pub(crate) replaced: Millis,
    pub(crate) store: AssignmentStore,
    pub(crate) heartbeats: Heartbeats,
    pub(crate) was_vouched: bool,
    pub(crate) measured: Millis,
}

/// How far the store has the assignment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AssignmentStore {
    pub(crate) revision: Revision,
    pub(crate) version: Version,
    pub(crate) writing: bool,
    pub(crate) tried: Millis,
}

/// How far the peers have the assignment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Heartbeats {
    pub(crate) sent: Millis,
    pub(crate) sent_version: Version,
    pub(crate) held: HashMap<InstanceName, HeldByPeer>,
}

/// What a peer has said that it holds of an assigner's news.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct HeldByPeer {
    /// The version of the assignment under the present term.
    pub(crate) version: Version,
    /// The write id of the term's record.
    pub(crate) record: SmolStr,
}

impl Cell {
    pub(crate) fn new(
        now: Millis,
        incarnation: oriolehoist_protocol::Incarnation,
        service: ServiceName,
        shards: u32,
        timing: Timing,
        budget: MoveBudget,
    ) -> Cell {
        Cell {
            follower: Follower::new(now, incarnation, service.clone(), shards, timing),
            service,
            timing,
            budget,
            assigner: None,
            attempting: false,
            found: None,
            replaced: now,
            store: AssignmentStore::default(),
            heartbeats: Heartbeats::default(),
            was_vouched: true,
            measured: now,
        }
    }

    /// Returns the assigner, if it still works under `term`.
    pub(crate) fn assigner_of(&mut self, term: Term) -> Option<&mut Assigner> {
        self.assigner.as_mut().filter(|assigner| assigner.record().term == term)
    }

    /// Returns whether the holder of the term has been silent for long, whoever it is.
    pub(crate) fn misses_holder(&self, now: Millis) -> bool {
        self.assigner.is_none() && self.follower.should_take_over(now, TakeoverRank(0))
    }

    /// Returns whether a heartbeat is due: at intervals, and at once when the assignment changed.
    pub(crate) fn heartbeat_due(&self, now: Millis) -> bool {
        let changed =
            self.assigner.as_ref().is_some_and(|a| a.version() != self.heartbeats.sent_version);
        changed || now.since(self.heartbeats.sent) >= self.timing.heartbeat
    }

    /// Summarises the cell for operators.
    pub(crate) fn status(&self, now: Millis) -> ServiceStatus {
        let assignment = self.follower.assignment();
        let unserved = |state: RouteState| state != RouteState::Serving;
        ServiceStatus {
            service: self.service.clone(),
            term: assignment.term,
            version: assignment.version,
            assigner: self.follower.record().map(|record| record.holder.instance.clone()),
            heard_ago: self.follower.time_since_heartbeat(now),
            unserved_shards: assignment.shards.iter().filter(|r| unserved(r.state)).count(),
            assigning: self.assigner.as_ref().map(|assigner| assigner.status(now)),
        }
    }
}

/// Converts the settings' times.
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

/// Converts the settings' bounds on moves.
pub(crate) fn budget_of(placement: &Placement) -> MoveBudget {
    MoveBudget {
        max_moves: usize::try_from(placement.moves).unwrap_or(usize::MAX),
        max_imbalance_percent: placement.imbalance_percent,
    }
}
