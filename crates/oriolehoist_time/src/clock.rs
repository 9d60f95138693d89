use {
    crate::Millis,
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// A monotonic clock that keeps counting while the instance is suspended, because leases and grants
/// expire during a suspension too.
///
/// The origin lies one minute before the clock was started, so that subtracting a timeout from an
/// early instant does not saturate at zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

/// The time that a clock shows when it is started.
const ORIGIN_OFFSET: Millis = Millis::from_secs(60);

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock { origin: since_boot() }
    }

    /// Returns the time since the origin, which never decreases.
    pub fn now(&self) -> Millis {
        ORIGIN_OFFSET + Millis::from(since_boot().saturating_sub(self.origin))
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch, for human-readable
    /// records.
    pub fn unix_time(&self) -> Millis {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(Millis::ZERO, Millis::from)
    }
}

/// Returns the time since the machine booted, including suspensions.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}
