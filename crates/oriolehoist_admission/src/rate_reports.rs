use {
    derive_more::Display,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// The rate of requests that a cold server gets from all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// Requests per second.
    pub per_second: f64,
    /// How many of them may come at once after a pause.
    pub burst: f64,
}

/// Requests for a server with a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Those that were sent.
    pub sent: u32,
    /// Those that asked whether they may be sent.
    pub asked: u32,
}

/// What a daemon tells the others about a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateReport {
    /// What the server said last.
    pub limit: Option<f64>,
    /// How long ago it said so.
    pub age: Millis,
    /// The daemon's requests since it first knew of a limit.
    pub counts: RequestCounts,
}

/// What several daemons together tell others about a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The newest statement of the server, and the sum of the requests.
    pub report: RateReport,
    /// The number of daemons that have reported lately.
    pub daemons: u32,
}

/// What a daemon's use of a server's limit is based on, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Display)]
#[display(
    "tokens={tokens:.2} demand={demand:.1} daemons={} reporting={reporting} \
     report_age_ms={} late_ms={}",
    daemons.unwrap_or_default(),
    report_age.0,
    lateness.0
)]
pub struct RateBasis {
    /// The tokens that are left.
    pub tokens: f64,
    /// Requests per second of all daemons.
    pub demand: f64,
    /// The number of daemons that share the limit, if it is known.
    pub daemons: Option<usize>,
    /// How many of them have reported lately, with this daemon.
    pub reporting: usize,
    /// The age of the oldest report of these.
    pub report_age: Millis,
    /// How much later than usual the reports arrive.
    pub lateness: Millis,
}
