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
    /// The services whose warm-up of servers can't be used, and why. Their other fields are used.
    #[serde(default)]
    pub malformed_warm_ups: Vec<(SmolStr, String)>,
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
    #[serde(rename = "repeatable")]
    pub idempotent: bool,
    /// The maximum time until a caller gets a response.
    pub timeout: Millis,
    /// The latency objective; a response that takes longer is worth less to the caller.
    #[serde(rename = "objective")]
    pub latency_objective: Millis,
    /// The maximum number of servers that a request may be sent to.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// The priority of the requests; 0 is the most urgent.
    #[serde(rename = "rank")]
    pub priority: u32,
    /// The services that the requests are split among, with their weights; never empty.
    #[serde(rename = "shares")]
    pub service_weights: Vec<(SmolStr, u32)>,
}

/// The configuration of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The maximum number of connections that one of its servers accepts from all clients together.
    pub max_connections: u32,
    /// Whether each key is owned exclusively by one of its servers.
    #[serde(rename = "split_by_key")]
    pub sharded: bool,
    /// The path of the health check, or empty if there is none.
    #[serde(default)]
    pub health_path: SmolStr,
    /// How long requests for a key are slow after a server took it over without a handover.
    pub warm_up: Millis,
    /// What its servers take after their start, if that is limited.
    #[serde(default)]
    pub server_warm_up: Option<ServerWarmUp>,
}

/// What the servers of a service take while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerWarmUp {
    /// How long a server is cold after its start.
    pub duration: Millis,
    /// The requests per second that a cold server takes.
    pub requests_per_second: f64,
}

/// Limits on the size and timing of requests from callers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    #[serde(rename = "head_bytes")]
    pub max_head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    #[serde(rename = "body_bytes")]
    pub max_body_bytes: u64,
    /// The maximum time that a request may take to arrive.
    pub head_timeout: Millis,
    /// The maximum time that a connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            head_timeout: Millis::from_secs(3),
            idle_timeout: Millis::from_secs(15),
        }
    }
}
