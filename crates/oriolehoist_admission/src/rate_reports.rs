use {
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

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
