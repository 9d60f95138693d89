use oriolehoist_time::Millis;

/// A clock with an offset that runs fast or slow by some thousandths.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    pub(super) per_mille: i64,
    pub(super) offset: u64,
}

impl Clock {
    /// Returns what the clock shows at the simulation time `time`.
    pub(super) fn at(&self, time: u64) -> Millis {
        let drift = time as i64 * self.per_mille / 1000;
        Millis(self.offset + (time as i64 + drift) as u64)
    }
}
