use {
    derive_more::Display,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// An inclusive range of keys, which are numbers from 0 to 65,535.
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
    /// The range of all keys.
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

/// A token by which a previous owner proves that it has handed its keys over. The next owner that
/// gets it with its grant needs no warm-up for these keys.
pub type Handover = SmolStr;

/// An order to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Grants the ownership of a key range for `hold`, counted from the arrival of the order.
    Grant {
        /// The keys.
        range: KeyRange,
        /// The fencing token of this ownership; higher than those of all previous owners.
        fence: u64,
        /// The duration of the grant.
        hold: Millis,
        /// The handover token of the previous owner.
        handover: Option<Handover>,
    },
    /// Ends the ownership of a key range. The server responds once the requests running on these
    /// keys have finished.
    Release {
        /// The keys.
        range: KeyRange,
        /// The fencing token of the ownership that ends.
        fence: u64,
    },
}

/// A backend server's response to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The order was carried out; the response to a release may carry a handover token.
    Done(Option<Handover>),
    /// The order was rejected because the server has seen a higher fencing token for one of the
    /// keys.
    HigherFence,
    /// The response had another status code, which is given here.
    Refused(u16),
}
