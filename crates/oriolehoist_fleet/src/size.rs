use {
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// How long a larger fleet is still assumed after a smaller one was observed. Daemons that were lost or cut
/// off may return within this time, and go on meanwhile with what they know.
const RETENTION: Millis = Millis::from_secs(30);

/// The number of daemons of a fleet, as one daemon has observed it.
///
/// Limits that all daemons share are divided by it, so it must not be too low: that the others are not
/// heard of says nothing about whether they send requests.
///
/// ```
/// use {oriolehoist_fleet::FleetSize, oriolehoist_time::Millis};
///
/// let mut size = FleetSize::default();
/// assert_eq!(size.get(Millis(0)), None);
/// size.observe(Millis(0), 82);
/// size.observe(Millis(500), 3);
/// assert_eq!(size.get(Millis(1_000)), Some(82));
/// assert_eq!(size.get(Millis(60_000)), Some(3));
/// ```
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    /// Observed numbers, each with when it was last observed, the earliest first. None is followed by one
    /// that is at least as large.
    observed: Vec<(Millis, usize)>,
}

/// What a daemon tells others of the size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetNews {
    /// The largest number of daemons that was observed lately, with those that don't respond.
    pub daemons: u32,
    /// How long ago it was observed.
    pub age: Millis,
}

impl FleetSize {
    /// Records that there were so many daemons at a time, which may be earlier than that of the last call.
    /// An observation of none says nothing.
    pub fn observe(&mut self, at: Millis, daemons: usize) {
        let is_known =
            self.observed.iter().any(|(seen_at, known)| *seen_at >= at && *known >= daemons);
        if daemons == 0 || is_known {
            return;
        }
        self.observed.retain(|(seen_at, known)| *seen_at > at || *known > daemons);
        let index = self.observed.partition_point(|(seen_at, _)| *seen_at < at);
        self.observed.insert(index, (at, daemons));
        let last = self.observed.last().map_or(at, |(seen_at, _)| *seen_at);
        self.observed.retain(|(seen_at, _)| is_kept(last, *seen_at));
    }

    /// Records what another daemon has observed.
    pub fn on_news(&mut self, now: Millis, news: FleetNews) {
        self.observe(now.since(news.age), news.daemons as usize);
    }

    /// Returns the largest number that was observed lately, or else the last one. Returns `None` if there
    /// was no observation.
    pub fn get(&self, now: Millis) -> Option<usize> {
        self.current(now).map(|(_, daemons)| daemons)
    }

    /// Returns the same for other daemons, which forget it at the same time as this one.
    pub fn news(&self, now: Millis) -> Option<FleetNews> {
        let (seen_at, daemons) = self.current(now)?;
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
        Some(FleetNews { daemons, age: now.since(seen_at) })
    }

    fn current(&self, now: Millis) -> Option<(Millis, usize)> {
        let kept = self.observed.iter().find(|(seen_at, _)| is_kept(now, *seen_at));
        kept.or(self.observed.last()).copied()
    }
}

fn is_kept(now: Millis, seen_at: Millis) -> bool {
    now.since(seen_at) < RETENTION
}
