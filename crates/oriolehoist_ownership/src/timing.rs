use {
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// The times that ownership rests on.
///
/// A key is served again after a lost owner within `grant + lost_after` and a few messages. With
/// the assigner lost as well, `lost_after + voucher + grant` and the drift allowance must stay
/// below the promised 2 s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Time between heartbeats of an assigner to the daemons.
    pub heartbeat: Millis,
    /// Time between renewals of a server's grants.
    pub renewal: Millis,
    /// How long a grant lasts, counted from the echoed server time.
    pub grant: Millis,
    /// How long a witness's voucher lasts.
    pub voucher: Millis,
    /// Silence after which an assigner or a server is taken to be lost.
    pub lost_after: Millis,
    /// The greatest difference in speed between two clocks, in thousandths.
    pub drift_per_mille: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat: Millis(100),
            renewal: Millis(150),
            grant: Millis(900),
            voucher: Millis(300),
            lost_after: Millis(400),
            drift_per_mille: 10,
        }
    }
}

impl Timing {
    /// Returns the longest time that `span` on another clock can take on this one.
    pub fn at_most(&self, span: Millis) -> Millis {
        Millis(span.0 + (span.0 * self.drift_per_mille).div_ceil(1000) + 1)
    }

    /// Returns the shortest time that `span` on another clock can take on this one.
    pub fn at_least(&self, span: Millis) -> Millis {
        span.since(Millis((span.0 * self.drift_per_mille).div_ceil(1000) + 1))
    }
}
