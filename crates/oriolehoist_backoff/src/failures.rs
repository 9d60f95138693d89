//! Which daemons the store has failed to answer.

use {
    crate::{CallFailure, StoreNews},
    oriolehoist_time::Millis,
};

/// How many daemons' calls have to fail for the store to count as away.
const MIN_FAILING_DAEMONS: usize = 2;

/// The latest failures of up to two daemons. Failures that daemons pass on several times count once,
/// because each has the daemon's number.
#[derive(Clone, Debug, Default)]
pub(crate) struct Failures {
    /// By the daemon's number, the latest failure first.
    named: Vec<(u64, Millis)>,
    /// The latest failure that an old build reported, which does not tell whose it was.
    unnamed_at: Option<Millis>,
}

impl Failures {
    /// Records that a call of a daemon failed at `at`.
    pub(crate) fn observe(&mut self, daemon: u64, at: Millis) {
        match self.named.iter_mut().find(|(known, _)| *known == daemon) {
            Some((_, known_at)) => *known_at = at.max(*known_at),
            None => self.named.push((daemon, at)),
        }
        self.named.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
        self.named.truncate(MIN_FAILING_DAEMONS);
    }

    /// Applies what another daemon knows. `local` is this daemon, which knows its own calls better.
    pub(crate) fn apply(&mut self, now: Millis, local: u64, news: &StoreNews) {
        for failure in news.failures.iter().filter(|failure| failure.daemon != local) {
            self.observe(failure.daemon, now.since(failure.age));
        }
        if news.failures.is_empty() {
            let at = news.failed_age.map(|age| now.since(age));
            self.unnamed_at = self.unnamed_at.max(at);
        }
    }

    /// Returns how many daemons the store has failed to answer after `since`, two at most, and
    /// whether one of them is not `local`. A failure without a name counts for one daemon other than
    /// `local`, unless another one is known by name, since it may be the same failure.
    pub(crate) fn after(&self, since: Option<Millis>, local: u64) -> (usize, bool) {
        let is_later = |at: Millis| since.is_none_or(|since| since < at);
        let later = self.named.iter().filter(|(_, at)| is_later(*at));
        let (own, named): (Vec<u64>, Vec<u64>) =
            later.map(|(daemon, _)| *daemon).partition(|daemon| *daemon == local);
        let unnamed = usize::from(self.unnamed_at.is_some_and(is_later));
        let others = named.len().max(unnamed);
        (own.len() + others, others > 0)
    }

    /// Returns whether all failures after `since` are known to be those of one daemon other than
    /// `local`.
    pub(crate) fn are_of_one_other(&self, since: Option<Millis>, local: u64) -> bool {
        let is_later = |at: Millis| since.is_none_or(|since| since < at);
        !self.unnamed_at.is_some_and(is_later) && self.after(since, local) == (1, true)
    }

    /// Returns whether calls of enough daemons have failed.
    pub(crate) fn are_enough(daemons: usize) -> bool {
        daemons >= MIN_FAILING_DAEMONS
    }

    /// Returns when the latest call failed.
    pub(crate) fn latest_at(&self) -> Option<Millis> {
        self.named.first().map(|(_, at)| *at).max(self.unnamed_at)
    }

    /// Returns the failures, for other daemons.
    pub(crate) fn news(&self, now: Millis) -> Vec<CallFailure> {
        let named = self.named.iter();
        named.map(|(daemon, at)| CallFailure { daemon: *daemon, age: now.since(*at) }).collect()
    }
}
