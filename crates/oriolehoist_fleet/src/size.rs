use {oriolehoist_time::Millis, std::collections::VecDeque};

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
    /// Observed numbers, each with when it was last observed: the largest first, and no earlier one
    /// that is smaller than a later one.
    observed: VecDeque<(Millis, usize)>,
}

impl FleetSize {
    /// Records an observed number of daemons. An observation of none says nothing.
    pub fn observe(&mut self, now: Millis, daemons: usize) {
        if daemons == 0 {
            return;
        }
        while self.observed.back().is_some_and(|(_, known)| *known <= daemons) {
            self.observed.pop_back();
        }
        self.observed.push_back((now, daemons));
        while self.observed.len() > 1
            && !self.observed.front().is_some_and(|seen| is_kept(now, seen))
        {
            self.observed.pop_front();
        }
    }

    /// Returns the largest number that was observed lately, or else the last one. Returns `None` if there
    /// was no observation.
    pub fn get(&self, now: Millis) -> Option<usize> {
        let kept = self.observed.iter().find(|seen| is_kept(now, seen));
        kept.or(self.observed.back()).map(|(_, daemons)| *daemons)
    }
}

fn is_kept(now: Millis, (observed_at, _): &(Millis, usize)) -> bool {
    now.since(*observed_at) < RETENTION
}
