use oriolehoist_time::Millis;

/// The part of the smallest more urgent objective that a server's queue may take, as one of this many.
///
/// A half and a quarter leave urgent requests fewer queues that are short enough, as many daemons send
/// at once: in the simulated burst 12 and 54 instead of 73 of 100 were within their objective, with the
/// same part of the slots used.
const HEADROOM_DIVISOR: u64 = 8;
/// The part of its objective that an urgent request may wait, as one of this many. The rest is for its
/// work.
const RESERVED_DIVISOR: u64 = 2;

/// What a route asks of the servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteNeed {
    /// The priority of the route's requests; 0 is the most urgent.
    pub priority: u32,
    /// The route's latency objective; zero if it has none.
    pub latency_objective: Millis,
}

/// How long the queues of a service's servers may be for requests of each priority, so that they leave
/// the more urgent routes of the service within their objectives.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headrooms {
    /// The priorities of the service's routes, the most urgent first. Each comes with the smallest
    /// objective of its routes and of those that are more urgent.
    smallest_objectives: Vec<(u32, Millis)>,
}

impl FromIterator<RouteNeed> for Headrooms {
    /// Collects the needs of all routes to one service.
    fn from_iter<I: IntoIterator<Item = RouteNeed>>(routes: I) -> Headrooms {
        let has_objective = |route: &RouteNeed| route.latency_objective > Millis::ZERO;
        let routes = routes.into_iter().filter(has_objective);
        let mut smallest_objectives: Vec<(u32, Millis)> =
            routes.map(|route| (route.priority, route.latency_objective)).collect();
        smallest_objectives.sort_unstable();
        // Of one priority, the first one has the smallest objective.
        smallest_objectives.dedup_by_key(|(priority, _)| *priority);
        let mut smallest = Millis(u64::MAX);
        for (_, objective) in &mut smallest_objectives {
            smallest = smallest.min(*objective);
            *objective = smallest;
        }
        Headrooms { smallest_objectives }
    }
}

impl Headrooms {
    /// Returns the longest wait at a server that leaves the routes which are more urgent than `priority`
    /// within their objectives, or `None` if there are no such routes.
    pub fn get(&self, priority: u32) -> Option<Millis> {
        let more_urgent = self.smallest_objectives.partition_point(|entry| entry.0 < priority);
        let (_, objective) = self.smallest_objectives.get(more_urgent.checked_sub(1)?)?;
        Some(Millis(objective.0 / HEADROOM_DIVISOR))
    }

    /// Returns the wait that the routes which are less urgent than `need` leave to it, or `None` if there
    /// are no such routes.
    pub fn reserved_wait(&self, need: RouteNeed) -> Option<Millis> {
        let (lowest, _) = self.smallest_objectives.last()?;
        (*lowest > need.priority).then_some(Millis(need.latency_objective.0 / RESERVED_DIVISOR))
    }
}
