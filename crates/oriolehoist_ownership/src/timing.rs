use {
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// Intervals and timeouts of the ownership protocol.
///
/// After the loss of an owner, its keys are served again within `grant + lost_after` plus a few
/// message delays. If the assigner is lost as well, `lost_after + witness_lease + grant` plus the
/// drift allowance must stay below the guaranteed 2 s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// The interval between heartbeats from an assigner to the daemons.
    pub heartbeat: Millis,
    /// The interval between renewals of a server's grants.
    pub renewal: Millis,
    /// The duration of a grant, measured from the echoed server time.
    pub grant: Millis,
    /// The duration of the lease that a witness grants to an assigner.
    #[serde(rename = "voucher")]
    pub witness_lease: Millis,
    /// The time without messages after which an assigner or a server is considered lost.
    pub lost_after: Millis,
    /// The maximum difference in speed between two clocks, in thousandths.
    pub drift_per_mille: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat: Millis(100),
            renewal: Millis(150),
            grant: Millis(900),
            witness_lease: Millis(300),
            lost_after: Millis(400),
            drift_per_mille: 10,
        }
    }
}

impl Timing {
    /// Returns the longest time that can pass on this clock while `span` passes on another one.
    pub fn max_elapsed(&self, span: Millis) -> Millis {
        Millis(span.0 + (span.0 * self.drift_per_mille).div_ceil(1000) + 1)
    }

    /// Returns the shortest time that can pass on this clock while `span` passes on another one.
    pub fn min_elapsed(&self, span: Millis) -> Millis {
        span.since(Millis((span.0 * self.drift_per_mille).div_ceil(1000) + 1))
    }
}
