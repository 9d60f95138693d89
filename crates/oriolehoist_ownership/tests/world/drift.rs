use oriolehoist_time::Millis;

/// A clock that runs a little fast or slow, in thousandths.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drift {
    pub(super) per_mille: i64,
    pub(super) offset: u64,
}

impl Drift {
    pub(super) fn at(&self, time: u64) -> Millis {
        let skew = time as i64 * self.per_mille / 1000;
        Millis(self.offset + (time as i64 + skew) as u64)
    }
}
