use {
    derive_more::Display,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// What keeps a daemon from sending a request to a server itself.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "kebab-case")]
pub enum Exclusion {
    /// Its availability zone is evacuated.
    #[display("in an evacuated zone")]
    EvacuatedZone,
    /// It is warming up and takes no further request for some time.
    #[display("cold, takes the next request in {wait_ms}")]
    Cold {
        /// The time until it takes one.
        wait_ms: Millis,
        /// The time until it counts as warm.
        left_ms: Millis,
    },
    /// It leaves, and others stay or its drain period has ended.
    #[display("leaving")]
    Leaving,
    /// It wants no requests for some time, as it said.
    #[display("paused for {left_ms}")]
    Paused {
        /// The time until it takes requests again.
        left_ms: Millis,
    },
    /// This daemon does not reach it. Another daemon may.
    #[display("path lost")]
    LostPath,
    /// No connection could be opened to it lately.
    #[display("refuses connections")]
    Down,
    /// With its load, the request would be refused.
    #[display("full: {why}")]
    Full {
        /// The check that does not hold.
        why: SmolStr,
    },
    /// Another process has answered at its address.
    #[display("another process has its address")]
    OtherProcess,
    /// This daemon may open no further connection to it.
    #[display("connection limit reached")]
    ConnectionLimit,
    /// Its limit on the request rate is reached.
    #[display("request rate limit reached, takes the next request in {wait_ms}")]
    RateLimit {
        /// The time until it takes a request.
        wait_ms: Millis,
    },
}
