//! How many daemons there are, as far as this daemon knows.

use {crate::control::cluster_state::ClusterState, oriolehoist_time::Millis};

impl ClusterState {
    /// Returns whether the last view has another size of the fleet than is known now.
    pub(super) fn is_fleet_size_outdated(&self, now: Millis) -> bool {
        self.config.is_some() && self.published_fleet_size != self.fleet.get(now)
    }
}
