use {
    crate::Millis,
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// A monotonic clock that counts from the moment it was started, also while the instance is
/// suspended: what was promised to others runs out meanwhile.
///
/// The origin lies one minute before the start, so that subtracting a timeout from an early
/// instant does not reach zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

const HEAD_START: Millis = Millis::from_secs(60);

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock { origin: since_boot() }
    }

    /// Returns the time since the origin. It never decreases.
    pub fn now(&self) -> Millis {
        HEAD_START + Millis::from(since_boot().saturating_sub(self.origin))
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch, for records that people read.
    pub fn unix(&self) -> Millis {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(Millis::ZERO, Millis::from)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}
