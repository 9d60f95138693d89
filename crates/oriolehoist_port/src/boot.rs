use {
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// The size of the machine that an instance runs on. Larger ones compare as greater; an unknown size
/// is the smallest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct InstanceSize {
    /// Its share of processor cores, in thousandths of a core.
    pub millicores: u32,
    /// The bandwidth of its link, in megabits per second.
    pub link_mbps: u32,
}

/// The settings a process starts with.
#[derive(Clone, Debug)]
pub struct BootstrapConfig {
    /// The instance's name, unique in the deployment.
    pub instance: SmolStr,
    /// The availability zone of the instance.
    pub zone: SmolStr,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// The size of the machine.
    pub size: InstanceSize,
    /// How much memory the process may use, in bytes, if that is known.
    pub memory_bytes: Option<u64>,
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
    /// The address of the readiness endpoint that the load balancer probes.
    pub readiness_address: SocketAddr,
    /// The address that the other daemons connect to.
    pub peer_address: SocketAddr,
    /// An additional address that serves metrics, which the peer address serves as well.
    pub metrics_address: Option<SocketAddr>,
    /// The address for datagrams between daemons; every daemon uses the same port.
    pub datagram_address: Option<SocketAddr>,
    /// The address for requests that other daemons hand over; every daemon uses the same port.
    pub handover_address: Option<SocketAddr>,
    /// Peer addresses of some daemons, used for discovery; they may be out of date.
    pub seed_addresses: Vec<SocketAddr>,
    /// The address of the platform's key-value store.
    pub store_address: SocketAddr,
    /// The shortest time to live of a lease that the store accepts.
    pub min_lease_ttl: Millis,
    /// The limits agreed on with the operators.
    pub bounds: OperationalBounds,
}

/// The limits agreed on with the operators.
#[derive(Clone, Copy, Debug)]
pub struct OperationalBounds {
    /// How long a backend server may still receive requests after it announced that it is draining.
    pub drain_period: Millis,
    /// How soon after the store has accepted it a configuration has to be in force everywhere.
    pub config_propagation: Millis,
    /// How long after the store has accepted the evacuation of a zone its servers may get requests. If
    /// unset, zones are not evacuated.
    pub evacuation: Option<Millis>,
    /// How long a process may keep running after it was asked to stop.
    pub shutdown_grace: Millis,
    /// The longest duration for which a backend server may be granted keys.
    pub max_grant_duration: Millis,
    /// The maximum ratio of retries to all requests of a service.
    pub retry_budget_ratio: f64,
    /// The number of retries of a service that are allowed in addition to that ratio.
    pub retry_budget_slack: u32,
    /// How many times the rate that a cold server takes it may get.
    pub warm_up_factor: f64,
    /// How many requests a cold server may get beyond that in any one second.
    pub warm_up_slack: f64,
}
