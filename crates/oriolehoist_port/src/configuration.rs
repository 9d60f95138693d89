use {
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Increases with every change.
    pub version: u64,
    /// The routes by which requests are assigned to services.
    pub routes: Vec<Route>,
    /// The services, by name.
    pub services: BTreeMap<SmolStr, ServiceSpec>,
    /// The limits on requests from callers.
    pub limits: CallerLimits,
}

/// A route for the requests with a given host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: SmolStr,
    /// The host that requests are matched against.
    pub host: SmolStr,
    /// The path prefix that requests are matched against; starts and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may safely be executed more than once.
    pub repeatable: bool,
    /// The maximum time until a caller gets a response.
    pub timeout: Millis,
    /// The latency objective: later responses are worth less to the caller.
    pub objective: Millis,
    /// The maximum number of servers that a request may be sent to.
    pub attempts: u32,
    /// The priority of the requests; 0 is the most urgent.
    pub rank: u32,
    /// The services that the requests are split among, with their weights; never empty.
    pub shares: Vec<(SmolStr, u32)>,
}

/// The configuration of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The maximum number of connections that one of its servers accepts from all clients together.
    pub max_connections: u32,
    /// Whether each key is owned exclusively by one of its servers.
    pub split_by_key: bool,
    /// How long requests for a key are slow after a server took it over without a handover.
    pub warm_up: Millis,
}

/// Limits on the size and timing of requests from callers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// The maximum time for a request to arrive.
    pub head_timeout: Millis,
    /// The maximum time that a connection may stay idle.
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
