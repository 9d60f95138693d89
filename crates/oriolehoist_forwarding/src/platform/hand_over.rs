use {
    crate::{
        hand_over::{DaemonEnd, DaemonTries, HandOverNext, NoFurtherTry},
        platform::{PlatformNext, PlatformRequest, attempts_used_up, budget_spent},
        refusal::Refusal,
    },
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
};

/// How many servers are tried that no daemon reaches.
const MAX_UNREACHABLE: u32 = 3;
/// When a request may come back if no daemon reaches its server. Paths are probed more often.
const NO_PATH_RETRY: Millis = Millis(500);

impl<S: Clone + PartialEq> PlatformRequest<S> {
    /// Starts to hand the request over to a daemon that reaches the selected server.
    pub fn start_hand_over(&mut self, now: Millis) -> HandOverNext {
        self.daemon_tries = DaemonTries::default();
        self.is_hand_over_paid = false;
        self.next_daemon(now)
    }

    fn next_daemon(&self, now: Millis) -> HandOverNext {
        if let Err(refusal) = self.check_stop(now, None) {
            return HandOverNext::Refuse(refusal);
        }
        match self.daemon_tries.check(self.progress.remaining(now)) {
            Ok(()) => HandOverNext::ChooseDaemon,
            Err(NoFurtherTry::Exhausted) => HandOverNext::NoPath,
            Err(NoFurtherTry::NoTime) => {
                let refusal = Refusal::new(RefusalKind::Overloaded, "the deadline is too close");
                HandOverNext::Refuse(self.finish(refusal))
            }
        }
    }

    /// Decides whether the chosen daemon is asked, and returns how many attempts it may make.
    /// `try_spend_retry` spends a retry of the service's budget, and returns whether there was one.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that has no attempt or retry left.
    pub fn ask_daemon(&mut self, try_spend_retry: impl FnOnce() -> bool) -> Result<u32, Refusal> {
        let left = self.terms.max_attempts.saturating_sub(self.attempts);
        if left == 0 {
            return Err(self.finish(attempts_used_up()));
        }
        if self.attempts > 0 && !self.is_hand_over_paid && !try_spend_retry() {
            return Err(self.finish(budget_spent()));
        }
        self.is_hand_over_paid = true;
        self.daemon_tries.on_asked();
        // One attempt is kept for the case that this daemon is lost.
        self.given_attempts = left.saturating_sub(1).max(1);
        Ok(self.given_attempts)
    }

    /// Records that a daemon has returned a server's response.
    pub fn on_daemon_response(&mut self) {
        self.attempts += 1;
    }

    /// Decides on the step after a daemon was asked that has returned neither a response nor a
    /// refusal.
    pub fn on_daemon_ended(&mut self, now: Millis, end: DaemonEnd) -> HandOverNext {
        let refuse = |reason| Refusal::new(RefusalKind::OutcomeUnknown, reason);
        match end {
            DaemonEnd::NotRun => self.next_daemon(now),
            DaemonEnd::Malformed => {
                HandOverNext::Refuse(refuse("another daemon's reply is malformed"))
            }
            DaemonEnd::Lost => {
                self.attempts += self.given_attempts;
                if !self.progress.may_repeat(now) {
                    return HandOverNext::Refuse(refuse("another daemon did not respond"));
                }
                self.progress.on_may_have_run();
                self.is_hand_over_paid = false;
                self.next_daemon(now)
            }
        }
    }

    /// Decides on the step if no other daemon reaches the selected server.
    pub fn on_no_path(&mut self) -> PlatformNext {
        // Another server may be reached by some daemon.
        if !self.terms.is_keyed && !self.may_have_run() && self.unreachable < MAX_UNREACHABLE {
            self.unreachable += 1;
            self.saturated.extend(self.server.clone());
            return PlatformNext::Select;
        }
        self.refuse(no_path_refusal())
    }
}

/// Returns the refusal of a request whose server no daemon reaches.
pub(super) fn no_path_refusal() -> Refusal {
    Refusal::new(RefusalKind::Unreachable, "no daemon is known to reach the server")
        .with_retry_after(NO_PATH_RETRY)
}
