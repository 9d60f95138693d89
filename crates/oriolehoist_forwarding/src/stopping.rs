//! Which requests a stopping daemon takes.

use {
    crate::{
        platform::{MIN_RETRY_AFTER, PlatformRequest},
        refusal::Refusal,
    },
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
};

/// How long before the exit a request has to end, so that its caller still gets the response.
const RESPONSE_ALLOWANCE: Millis = Millis(100);
/// How many times its expected latency a request may take.
const LATENCY_FACTOR: u64 = 2;

/// The stop of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// From when on callers that connect again reach other daemons.
    pub callers_leave: Millis,
    /// When the process exits, and requests in flight are cut off.
    pub exits: Millis,
}

impl Stop {
    /// Checks that a request ends before the daemon exits. `expected_latency` is the time that it
    /// takes from now on, once its server has been selected.
    ///
    /// A caller that is refused before the others are reached comes back to this daemon. Until then
    /// an expected end is enough, from then on the deadline has to pass before the exit.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that may be cut off.
    pub fn check(
        self,
        now: Millis,
        deadline: Millis,
        expected_latency: Option<Millis>,
    ) -> Result<(), Refusal> {
        let end = self.exits.since(RESPONSE_ALLOWANCE);
        let expected_end = now + expected_latency.unwrap_or_default() * LATENCY_FACTOR;
        let comes_back = now < self.callers_leave;
        match deadline <= end || comes_back && expected_end <= end {
            true => Ok(()),
            false => {
                let reason = "the daemon stops before the request ends";
                let after = self.callers_leave.since(now).max(MIN_RETRY_AFTER);
                Err(Refusal::new(RefusalKind::Stopping, reason).with_retry_after(after))
            }
        }
    }
}

impl<S: Clone + PartialEq> PlatformRequest<S> {
    /// Sets whether the daemon is stopping, before each step.
    pub fn set_stop(&mut self, stop: Option<Stop>) {
        self.stop = stop;
    }

    /// Checks that the request ends before the daemon exits, if it is stopping.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that may be cut off.
    pub fn check_stop(&self, now: Millis, expected_latency: Option<Millis>) -> Result<(), Refusal> {
        let stop = match self.stop {
            None => return Ok(()),
            // The daemon that has handed it over asks another one at once.
            Some(stop) if self.terms.is_handed_over => Stop { callers_leave: now, ..stop },
            Some(stop) => stop,
        };
        let checked = stop.check(now, self.terms.deadline, expected_latency);
        checked.map_err(|refusal| self.finish(refusal))
    }
}
