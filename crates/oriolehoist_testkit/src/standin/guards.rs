//! Guards for what a request holds at a fake server while it runs.

use {
    crate::standin::{RunOutcome, backend::ServerState},
    oriolehoist_ownership::WorkToken,
    std::sync::{Arc, atomic::Ordering},
};

/// A run in the journal, which is recorded as abandoned if this is dropped before it commits.
pub(super) struct RunGuard {
    pub(super) run_index: usize,
    pub(super) state: Arc<ServerState>,
    pub(super) committed: bool,
}

impl RunGuard {
    pub(super) fn commit(mut self) {
        self.committed = true;
        self.state.journal.end_run(self.run_index, self.state.clock.now(), RunOutcome::Committed);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.committed {
            self.state.journal.end_run(
                self.run_index,
                self.state.clock.now(),
                RunOutcome::Abandoned,
            );
        }
    }
}

/// Work registered under a grant, which ends when this is dropped.
pub(super) struct WorkGuard {
    pub(super) state: Arc<ServerState>,
    pub(super) work: Option<WorkToken>,
}

impl WorkGuard {
    pub(super) fn may_commit(&self) -> bool {
        let now = self.state.clock.now();
        self.work.is_none_or(|work| self.state.table().may_commit(now, &work))
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        if let Some(work) = self.work {
            self.state.table().end_work(work);
            self.state.completed_work.send_modify(|count| *count += 1);
        }
    }
}

/// One of the server's slots, occupied by a run.
pub(super) struct SlotGuard {
    state: Arc<ServerState>,
}

impl SlotGuard {
    pub(super) fn acquire(state: &Arc<ServerState>) -> Option<SlotGuard> {
        let next_count = |count: u32| (count < state.options.slots).then_some(count + 1);
        state.in_flight.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next_count).ok()?;
        Some(SlotGuard { state: Arc::clone(state) })
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
