//! How current this daemon's knowledge of evacuated zones is.

use {
    crate::process::Shared,
    oriolehoist_evacuation::EvacuationTiming,
    oriolehoist_time::Millis,
    std::{sync::atomic::Ordering, time::Duration},
    tokio::time::sleep,
};

impl Shared {
    /// Returns the times that follow from the bound on evacuated zones, if zones are evacuated.
    pub(crate) fn evacuation_timing(&self) -> Option<EvacuationTiming> {
        self.bootstrap.bounds.evacuation.map(EvacuationTiming::new)
    }

    /// Sets the latest time at which the evacuated zones are known to have been the store's.
    pub(crate) fn set_evacuations_confirmed_at(&self, at: Millis) {
        self.evacuations_confirmed_at.store(at.0, Ordering::Relaxed);
    }

    /// Returns the time since the evacuated zones were last known to be the store's, if they ever were.
    pub(crate) fn evacuations_age(&self) -> Option<Millis> {
        let confirmed_at = Millis(self.evacuations_confirmed_at.load(Ordering::Relaxed));
        (confirmed_at > Millis::ZERO).then(|| self.clock.now().since(confirmed_at))
    }

    /// Returns whether the evacuated zones have been stale for `delay`, or are not known.
    pub(crate) fn are_evacuations_stale(&self, delay: Millis) -> bool {
        let Some(timing) = self.evacuation_timing() else { return false };
        self.evacuations_age().is_none_or(|age| age >= timing.stale_after() + delay)
    }

    /// Waits until the evacuated zones have been stale for `delay`, or are not known.
    pub(crate) async fn evacuations_stale(&self, delay: Millis) {
        let Some(timing) = self.evacuation_timing() else { return std::future::pending().await };
        loop {
            let Some(age) = self.evacuations_age() else { return };
            let remaining = (timing.stale_after() + delay).since(age);
            if remaining == Millis::ZERO {
                return;
            }
            sleep(Duration::from(remaining)).await;
        }
    }
}
