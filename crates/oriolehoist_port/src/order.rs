use {
    derive_more::Display,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// A range of keys, both ends included.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{first}-{last}")]
pub struct KeyRange {
    /// The lowest key.
    pub first: u16,
    /// The highest key.
    pub last: u16,
}

impl KeyRange {
    /// Every key.
    pub const ALL: KeyRange = KeyRange { first: 0, last: u16::MAX };

    /// Returns whether `key` lies in the range.
    pub fn contains(self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Returns the number of keys.
    pub fn count(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }
}

/// Proof by the last owner that it handed its keys over; the next owner starts warm with it.
pub type Handover = SmolStr;

/// An order to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Hold these keys, for `hold` from the arrival of the order.
    Grant {
        /// The keys.
        range: KeyRange,
        /// Identifies this ownership; higher than that of every earlier owner.
        fence: u64,
        /// How long the grant lasts.
        hold: Millis,
        /// The last owner's handover.
        handover: Option<Handover>,
    },
    /// Give these keys up, and answer when the work on them has ended.
    Release {
        /// The keys.
        range: KeyRange,
        /// The ownership that ends.
        fence: u64,
    },
}

/// A backend server's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Done; a release may carry a handover.
    Done(Option<Handover>),
    /// The server has seen a higher fence on one of the keys.
    HigherFence,
    /// Any other answer.
    Refused(u16),
}
