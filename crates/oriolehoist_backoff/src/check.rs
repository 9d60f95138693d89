//! When a daemon calls a store of which only one other daemon says that it fails.

use oriolehoist_time::Millis;

/// Within which time the daemons that check a suspected store make their calls.
const CHECK_SPREAD: Millis = Millis(300);
/// The minimum time between two checks of a daemon, and between two decisions whether it checks.
const CHECK_INTERVAL: Millis = Millis(2000);
/// How long after the first failure a suspected store may be unchecked before daemons call it without
/// a result: until one other daemon's call has timed out (600 ms) and this is known (200 ms), a check
/// has started (300 ms) and timed out (600 ms), and that is known (200 ms).
pub(crate) const CHECK_WAIT: Millis = Millis(1900);
/// How long an answer during a suspicion shows that the store refuses single daemons only. Checks
/// renew it.
pub(crate) const CHECK_TTL: Millis = Millis(3000);

/// When a daemon checks the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct Check {
    /// When the check that is due begins.
    at: Option<Millis>,
    /// When it was last decided whether this daemon checks.
    decided_at: Option<Millis>,
}

impl Check {
    /// Returns whether a suspected store is to be checked now. `share` is the share of the daemons
    /// that check, and `chance` is from 0 to 1.
    pub(crate) fn is_due(&mut self, now: Millis, share: f64, chance: f64) -> bool {
        let is_decided = self.decided_at.is_some_and(|at| now.since(at) < CHECK_INTERVAL);
        match self.at {
            Some(at) if at <= now => {
                self.at = None;
                true
            }
            None if !is_decided => {
                self.decided_at = Some(now);
                let delay = || Millis((CHECK_SPREAD.0 as f64 * chance / share) as u64);
                self.at = (chance < share).then(|| now + delay());
                false
            }
            _ => false,
        }
    }

    /// Cancels a check that is not needed any more.
    pub(crate) fn cancel(&mut self) {
        self.at = None;
    }
}
