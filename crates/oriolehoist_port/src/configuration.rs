use {
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// One version of what the operators configured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Rises with every change.
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// The services, by name.
    pub services: BTreeMap<SmolStr, ServiceSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// Where requests with one host and one prefix of the path go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: SmolStr,
    /// The host that it belongs to.
    pub host: SmolStr,
    /// The beginning of the path; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// The longest time that a caller is kept waiting.
    pub timeout: Millis,
    /// The time within which an answer has its full value.
    pub objective: Millis,
    /// The greatest number of servers that one request may be sent to.
    pub attempts: u32,
    /// The rank of the requests; 0 is the most urgent.
    pub rank: u32,
    /// The services that share the requests, each with its weight; never empty.
    pub shares: Vec<(SmolStr, u32)>,
}

/// What is configured for a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// How many connections a server of it accepts from all callers together.
    pub max_connections: u32,
    /// Whether each key has one owner among its servers.
    pub split_by_key: bool,
    /// How long keys are slow that arrive without a handover.
    pub warm_up: Millis,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: u64,
    /// The longest time that a request may take to arrive.
    pub head_timeout: Millis,
    /// The longest time that a connection may lie idle.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
            head_timeout: Millis::from_secs(3),
            idle_timeout: Millis::from_secs(15),
        }
    }
}
