//! What a request holds at a stand-in server while it runs.

use {
    crate::standin::{RunOutcome, backend::Living},
    oriolehoist_ownership::Work,
    std::sync::{Arc, atomic::Ordering},
};

/// A run that counts as abandoned unless it takes effect.
pub(super) struct OpenRun {
    pub(super) number: usize,
    pub(super) state: Arc<Living>,
    pub(super) ended: bool,
}

impl OpenRun {
    pub(super) fn take_effect(mut self) {
        self.ended = true;
        self.state.journal.end(self.number, self.state.clock.now(), RunOutcome::Effect);
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        if !self.ended {
            self.state.journal.end(self.number, self.state.clock.now(), RunOutcome::Abandoned);
        }
    }
}

/// Work under a grant, ended when it is dropped.
pub(super) struct HeldWork {
    pub(super) state: Arc<Living>,
    pub(super) work: Option<Work>,
}

impl HeldWork {
    pub(super) fn may_take_effect(&self) -> bool {
        let now = self.state.clock.now();
        self.work.is_none_or(|work| self.state.table().may_take_effect(now, &work))
    }
}

impl Drop for HeldWork {
    fn drop(&mut self) {
        if let Some(work) = self.work {
            self.state.table().end(work);
            self.state.ended.send_modify(|count| *count += 1);
        }
    }
}

/// One of the server's slots, held by a run.
pub(super) struct Slot {
    state: Arc<Living>,
}

impl Slot {
    pub(super) fn take(state: &Arc<Living>) -> Option<Slot> {
        let free = |running: u32| (running < state.options.slots).then_some(running + 1);
        state.running.fetch_update(Ordering::Relaxed, Ordering::Relaxed, free).ok()?;
        Some(Slot { state: Arc::clone(state) })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
    }
}
