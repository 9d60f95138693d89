//! How many daemons there are, as far as this daemon knows.

use {crate::control::cluster_state::ClusterState, oriolehoist_time::Millis};

impl ClusterState {
    /// Records the number of registered daemons. Returns whether that changes the size that shared limits
    /// are divided by.
    pub(super) fn observe_fleet(&mut self, now: Millis, daemons: usize) -> bool {
        let before = self.fleet.get(now);
        self.fleet.observe(now, daemons);
        before != self.fleet.get(now)
    }

    /// Returns the number of daemons, if it is known, for the other ones.
    pub(super) fn fleet_size(&self, now: Millis) -> Option<u32> {
        self.fleet.get(now).and_then(|size| u32::try_from(size).ok())
    }
}
