use {
    crate::Millis,
    std::time::{Instant, SystemTime, UNIX_EPOCH},
};

/// A monotonic clock that counts from the moment it was started.
///
/// The origin lies one minute before the start, so that subtracting a timeout from an early
/// instant does not reach zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

const HEAD_START: Millis = Millis::from_secs(60);

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock { origin: Instant::now() }
    }

    /// Returns the time since the origin. It never decreases.
    pub fn now(&self) -> Millis {
        HEAD_START + Millis::from(self.origin.elapsed())
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch, for records that people read.
    pub fn unix(&self) -> Millis {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(Millis::ZERO, Millis::from)
    }
}
