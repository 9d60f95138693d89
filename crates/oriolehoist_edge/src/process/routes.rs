//! What this daemon knows of the configuration's routes: its age, and how long their requests run.

use {
    crate::process::{Shared, lock},
    oriolehoist_admission::RouteWork,
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// How long reading the configuration over a new connection may take, and putting it in force.
const CONFIG_READ_MARGIN: Millis = Millis(500);

impl Shared {
    /// Returns how long the requests of a route run at the servers of a service.
    pub(crate) fn route_work(&self, service: &SmolStr, route: &SmolStr) -> Arc<RouteWork> {
        lock(&self.route_works).get(service, route)
    }

    /// Sets the latest time at which the configuration is known to have been the store's.
    pub(crate) fn set_config_confirmed_at(&self, at: Millis) {
        self.config_confirmed_at.store(at.0, Ordering::Relaxed);
    }

    /// Returns the time since the configuration was last known to be the store's.
    pub(crate) fn config_age(&self) -> Millis {
        self.clock.now().since(Millis(self.config_confirmed_at.load(Ordering::Relaxed)))
    }

    /// Returns the age at which the configuration is stale and is read again, early enough that a
    /// change is in force in time.
    pub(crate) fn config_stale_after(&self) -> Millis {
        self.bootstrap.bounds.config_propagation.since(CONFIG_READ_MARGIN).max(CONFIG_READ_MARGIN)
    }

    /// Waits until the configuration is stale.
    pub(crate) async fn config_stale(&self) {
        loop {
            let remaining = self.config_stale_after().since(self.config_age());
            if remaining == Millis::ZERO {
                return;
            }
            sleep(Duration::from(remaining)).await;
        }
    }
}
