use {
    derive_more::{Display, From, Into},
    serde::{Deserialize, Serialize},
    std::{
        ops::{Add, AddAssign, Mul},
        time::Duration,
    },
};

/// A duration, or an instant relative to a clock's origin, in milliseconds.
///
/// Instants can only be compared if they come from the same [`Clock`](crate::Clock).
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[display("{_0} ms")]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The zero duration, or a clock's origin.
    pub const ZERO: Millis = Millis(0);

    /// Creates a duration from whole seconds. Saturates, because a server may announce any time.
    pub const fn from_secs(secs: u64) -> Millis {
        Millis(secs.saturating_mul(1000))
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

/// Saturates, because a message of another daemon may contain any duration.
impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, other: Millis) {
        *self = *self + other;
    }
}

impl Mul<u64> for Millis {
    type Output = Millis;

    fn mul(self, factor: u64) -> Millis {
        Millis(self.0.saturating_mul(factor))
    }
}

impl From<Millis> for Duration {
    fn from(millis: Millis) -> Duration {
        Duration::from_millis(millis.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Millis {
        Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}
