use {
    crate::{Exclusion, Step},
    derive_more::Display,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// What a daemon would do with a request at this moment, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The daemon's instance.
    pub instance: SmolStr,
    /// The version of the settings or the configuration that is in force there.
    pub settings: u64,
    /// The route that matches the request.
    pub route: ExplainedRoute,
    /// The services that requests on the route are split among, of which one is drawn by weight.
    pub parts: Vec<ExplainedPart>,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedRoute {
    /// Its name.
    pub name: SmolStr,
    /// The host that it matches, or empty if it matches any.
    pub host: SmolStr,
    /// The path prefix that it matches.
    pub prefix: SmolStr,
    /// The priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// The time in which the request has to be answered.
    pub deadline_ms: Millis,
    /// The latency objective, if there is one.
    pub objective_ms: Option<Millis>,
}

/// What happens to a request that is for one of the route's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedPart {
    /// The service.
    pub service: SmolStr,
    /// Its weight on the route.
    pub weight: u32,
    /// Who owns the key, for a service with keys.
    pub owner: Option<Owner>,
    /// The owner, or the candidates of a service without keys.
    pub servers: Vec<ExplainedServer>,
    /// What the daemon does.
    pub decision: Step,
}

/// Who owns a key, as far as the daemon knows.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum Owner {
    /// A server.
    #[display("{server}")]
    Server {
        /// The server.
        server: SmolStr,
    },
    /// The key is being moved.
    #[display("none, the key is being moved")]
    Moving,
    /// Contact with the owner was lost.
    #[display("lost, the key has another owner within {left_ms}")]
    Lost {
        /// The longest time until another server gets the key.
        left_ms: Millis,
    },
    /// No server has been assigned yet.
    #[display("not assigned")]
    Unassigned,
}

/// A server that may get the request, as the daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedServer {
    /// The server.
    pub server: SmolStr,
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// The number of requests that this daemon has in flight there.
    pub in_flight: u32,
    /// The expected time in its queue.
    pub expected_wait_ms: Millis,
    /// The expected time until its response.
    pub expected_latency_ms: Millis,
    /// The age of the newest report of its load, if there is one.
    pub load_age_ms: Option<Millis>,
    /// What keeps the daemon from sending the request there. Empty if nothing does.
    pub exclusions: Vec<Exclusion>,
}
