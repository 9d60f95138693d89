use {
    crate::{
        Life,
        timing::{LOST_AFTER, LOST_FAILURES, RETRY_PAUSE, hold_end},
    },
    oriolehoist_port::KeyRange,
    oriolehoist_time::Millis,
    std::net::SocketAddr,
};

/// Identifies one life of a server within a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServerKey(pub(crate) u32);

/// How many answers keep a measurement at half of its weight.
const WORK_HALVED_BY: f32 = 60.0;
/// How many answers the usual work weighs against a server's own.
const USUAL_WEIGHT: f32 = 4.0;

/// How long a server takes for requests, as daemons measured it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Work {
    millis: f32,
    answers: f32,
}

impl Work {
    /// Adds a measurement; earlier ones count less the more follow.
    pub(crate) fn add(&mut self, millis: u32, answers: u32) {
        let kept = 0.5_f32.powf(answers as f32 / WORK_HALVED_BY);
        self.millis = self.millis * kept + millis as f32;
        self.answers = self.answers * kept + answers as f32;
    }

    /// Returns the mean of several servers' work, in milliseconds, or `otherwise` if none is known.
    pub(crate) fn mean(all: impl Iterator<Item = Work>, otherwise: f32) -> f32 {
        let total = all.fold(Work::default(), |sum, work| Work {
            millis: sum.millis + work.millis,
            answers: sum.answers + work.answers,
        });
        if total.answers > 0.0 { total.millis / total.answers } else { otherwise }
    }

    /// Returns the expected work in milliseconds; with few answers it is near the `usual` one.
    pub(crate) fn expected(self, usual: f32) -> f32 {
        (usual * USUAL_WEIGHT + self.millis) / (USUAL_WEIGHT + self.answers)
    }
}

/// What the registrations say of a server's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It takes keys.
    Ready,
    /// It is leaving, or it is no longer registered; it may live on.
    Leaving,
    /// It has started again: this life has ended.
    Ended,
}

/// Until when the grants that a server got may be in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GrantBounds {
    /// All of them.
    held_until: Millis,
    /// Those that got no answer, and may still be carried out.
    unanswered_until: Millis,
}

impl GrantBounds {
    fn on_arrived(&mut self, now: Millis, hold: Millis, answered: bool) {
        let end = hold_end(now, hold);
        self.held_until = self.held_until.max(end);
        if !answered {
            self.unanswered_until = self.unanswered_until.max(end);
        }
    }

    fn join(&mut self, other: GrantBounds) {
        self.held_until = self.held_until.max(other.held_until);
        self.unanswered_until = self.unanswered_until.max(other.unanswered_until);
    }
}

/// The renewal of one key that goes before the others.
///
/// Answers the loss of a server: a renewal that it leaves unanswered may be in force for a whole
/// hold more, and is then one of this key alone.
#[derive(Clone, Copy, Debug)]
struct Probe {
    key: u16,
    grants: GrantBounds,
}

/// One life of a server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) life: Life,
    /// Unknown for one that only the stored table names.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) slots: u32,
    pub(crate) standing: Standing,
    /// The grants of this assigner, except for probes.
    grants: GrantBounds,
    /// When every grant of earlier assigners has lapsed.
    adopted_until: Millis,
    probe: Option<Probe>,
    /// The next renewals are those of all keys: a probe was answered, or they are urgent.
    pub(crate) probed: bool,
    /// Grants that are on their way.
    pub(crate) grants_in_flight: u32,
    pub(crate) next_renewal: Millis,
    pub(crate) failures: u32,
    /// Another server answers at its address: this life has ended.
    pub(crate) replaced: bool,
    pub(crate) last_answer: Millis,
    pub(crate) work: Work,
}

impl Server {
    pub(crate) fn new(now: Millis, life: Life, held_until: Millis) -> Server {
        Server {
            life,
            address: None,
            slots: 1,
            standing: Standing::Leaving,
            grants: GrantBounds::default(),
            adopted_until: held_until,
            probe: None,
            // What an earlier assigner granted may be about to lapse.
            probed: held_until > Millis::ZERO,
            grants_in_flight: 0,
            next_renewal: now,
            failures: 0,
            replaced: false,
            last_answer: now,
            work: Work::default(),
        }
    }

    /// Returns whether keys may be given to it.
    pub(crate) fn is_usable(&self, now: Millis) -> bool {
        self.standing == Standing::Ready && !self.replaced && !self.is_silent(now)
    }

    /// Returns whether orders can be sent to it and may well be carried out.
    pub(crate) fn takes_orders(&self, now: Millis) -> bool {
        let ended = self.standing == Standing::Ended || self.replaced;
        self.address.is_some() && !ended && !self.is_silent(now)
    }

    /// Returns whether orders to it have been without an answer for long.
    pub(crate) fn is_silent(&self, now: Millis) -> bool {
        self.failures >= LOST_FAILURES && now.since(self.last_answer) >= LOST_AFTER
    }

    /// Returns when every grant of a range that it may ever have got has lapsed.
    pub(crate) fn held_until(&self, range: KeyRange) -> Millis {
        self.bounds(range).held_until.max(self.adopted_until)
    }

    /// Returns until when a grant of a range without an answer may be in force, after a release of
    /// an ownership that an earlier assigner granted, or this one.
    pub(crate) fn late_until(&self, range: KeyRange, adopted: bool) -> Millis {
        let own = self.bounds(range).unanswered_until;
        if adopted { own.max(self.adopted_until) } else { own }
    }

    fn bounds(&self, range: KeyRange) -> GrantBounds {
        let mut bounds = self.grants;
        if let Some(probe) = self.probe.filter(|probe| range.contains(probe.key)) {
            bounds.join(probe.grants);
        }
        bounds
    }

    /// Returns the key that the next probe is for, if it is among `ranges`, which are renewed.
    pub(crate) fn probe_key(&self, mut ranges: impl Iterator<Item = KeyRange>) -> Option<u16> {
        let key = self.probe?.key;
        ranges.any(|range| range.contains(key)).then_some(key)
    }

    /// Returns the key that may be held for longer than all others.
    pub(crate) fn key_held_longer(&self) -> Option<u16> {
        let longer = |probe: &Probe| probe.grants.held_until > self.grants.held_until;
        self.probe.filter(longer).map(|probe| probe.key)
    }

    /// Lets the next renewal follow soon after one that failed.
    pub(crate) fn retry_renewal(&mut self, now: Millis) {
        self.next_renewal = self.next_renewal.min(now + RETRY_PAUSE);
    }

    /// Notes that a grant arrived at `now` at the latest.
    pub(crate) fn on_grant_arrived(&mut self, now: Millis, hold: Millis, answered: bool) {
        self.grants.on_arrived(now, hold, answered);
    }

    /// Notes that the probe of a key arrived at `now` at the latest.
    pub(crate) fn on_probe_arrived(&mut self, now: Millis, key: u16, hold: Millis, answered: bool) {
        let mut probe = Probe { key, grants: GrantBounds::default() };
        match self.probe {
            Some(earlier) if earlier.key == key => probe = earlier,
            // Only one key is followed apart from the others.
            Some(earlier) => self.grants.join(earlier.grants),
            None => {}
        }
        probe.grants.on_arrived(now, hold, answered);
        self.probe = Some(probe);
    }
}
