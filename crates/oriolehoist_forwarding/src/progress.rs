use {crate::refusal::MayHaveRun, oriolehoist_time::Millis};

/// What both interfaces keep of a request: whether it may have run, and may be sent again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    is_idempotent: bool,
    deadline: Millis,
    may_have_run: bool,
}

impl Progress {
    pub(crate) fn new(is_idempotent: bool, deadline: Millis) -> Progress {
        Progress { is_idempotent, deadline, may_have_run: false }
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records an attempt that ended without a response.
    pub(crate) fn on_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    pub(crate) fn is_before_deadline(&self, now: Millis) -> bool {
        now < self.deadline
    }

    /// Returns the time left until the deadline.
    pub(crate) fn remaining(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// Returns whether a request that may have run may be sent again.
    pub(crate) fn may_repeat(&self, now: Millis) -> bool {
        self.is_idempotent && self.is_before_deadline(now)
    }

    /// Returns a refusal in its final form. An earlier attempt may have run, regardless of why the last
    /// one was refused.
    pub(crate) fn finish<R: MayHaveRun>(&self, refusal: R) -> R {
        match self.may_have_run {
            true => refusal.into_outcome_unknown(),
            false => refusal,
        }
    }
}
