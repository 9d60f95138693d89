use {
    crate::{
        platform::{ExpectedLoad, MIN_RETRY_AFTER, PlatformNext, PlatformRequest},
        refusal::Refusal,
    },
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
};

/// The minimum wait of a request that exceeds the headroom. Shorter ones would cost more load probes
/// than a server's queue changes in that time.
const MIN_HOLD: Millis = Millis(25);
/// The maximum wait before the next try, so that a server whose queue empties early does not idle.
const MAX_HOLD: Millis = Millis(200);
/// How long before the end of its slack a request stops waiting. Timers fire late, and the next load
/// probe takes up to 8 ms in nine of ten cases: without this, a request would be late by them and be
/// refused.
const HOLD_MARGIN: Millis = Millis(10);
/// Why a request is refused that has waited for the queue of its server, or would exceed the headroom.
const URGENT_REASON: &str = "urgent requests need the server's queue";

impl<S: Clone + PartialEq> PlatformRequest<S> {
    /// Sets the headroom that the request leaves and the wait that is reserved for it, as a new
    /// configuration may change them.
    pub fn set_headroom(&mut self, headroom: Option<Millis>, reserved_wait: Option<Millis>) {
        self.terms.headroom = headroom;
        self.terms.reserved_wait = reserved_wait;
    }

    /// Records that the daemon does not let the request wait any more. From now on, it is judged by its
    /// own objective alone.
    pub fn on_hold_denied(&mut self) {
        self.is_hold_denied = true;
    }

    /// Returns when a request that was told to wait has used up its slack. `None` if it was not.
    pub fn hold_ends(&self) -> Option<Millis> {
        self.hold_ends
    }

    /// Checks that the server can finish the request in time, and that its queue leaves room for more
    /// urgent requests.
    ///
    /// Many daemons share a server. A queue in which every request is late serves nobody better than a
    /// short one, and a caller that is refused immediately has time to retry. Retries from callers get
    /// no priority: when they were admitted into a long queue, both they and the requests behind them
    /// were late.
    pub(super) fn check_load(
        &mut self,
        now: Millis,
        load: ExpectedLoad,
    ) -> Result<(), PlatformNext> {
        let was_held = self.hold_ends.is_some();
        // A request that waits already goes on with the estimate: one in ten load probes gets no response,
        // and requests that were sent after it filled the queues in the simulation.
        let headroom = self.terms.headroom.filter(|_| load.is_current || was_held);
        let over_headroom = headroom.map_or(Millis::ZERO, |headroom| load.wait.since(headroom));
        let objective_left = match headroom {
            None if !was_held => self.terms.latency_objective,
            _ => self.terms.objective_ends.min(self.terms.deadline).since(now),
        };
        let (excess, slack) =
            (load.latency.since(objective_left), objective_left.since(load.latency));
        let refuse = |reason, after: Millis| {
            let refusal = Refusal::new(RefusalKind::Overloaded, reason)
                .with_expected_wait(load.wait)
                .with_retry_after(after.max(over_headroom).max(MIN_RETRY_AFTER));
            Err(self.refuse(refusal))
        };
        let reserved_wait = self.terms.reserved_wait.filter(|_| load.is_current);
        let may_wait = reserved_wait.unwrap_or_default();
        let exceeds_headroom = over_headroom > Millis::ZERO && !self.is_hold_denied;
        match () {
            () if !self.progress.is_before_deadline(now) => {
                refuse("the deadline has already passed", MIN_RETRY_AFTER)
            }
            () if now + load.wait > self.terms.deadline => {
                refuse("the expected wait exceeds the deadline", load.wait)
            }
            () if load.wait > may_wait && excess > Millis::ZERO && was_held => {
                refuse(URGENT_REASON, excess)
            }
            () if load.wait > may_wait && excess > Millis::ZERO => {
                refuse("the expected latency exceeds the objective", excess)
            }
            () if load.is_at_connection_limit => {
                refuse("this daemon's connection limit for the server is reached", load.wait)
            }
            () if exceeds_headroom && slack > HOLD_MARGIN => {
                let longest = slack.since(HOLD_MARGIN);
                self.hold_ends = Some(now + longest);
                let wait = over_headroom.clamp(MIN_HOLD, MAX_HOLD).min(longest);
                Err(PlatformNext::Hold { wait })
            }
            () if exceeds_headroom && !self.terms.may_exceed_headroom => {
                refuse(URGENT_REASON, over_headroom)
            }
            () => Ok(()),
        }
    }
}
