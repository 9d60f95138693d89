use {oriolehoist_time::Millis, smol_str::SmolStr, std::net::SocketAddr};

/// What a process is told when it starts.
#[derive(Clone, Debug)]
pub struct Boot {
    /// The instance's name, unique in the deployment.
    pub instance: SmolStr,
    /// The availability zone of the instance.
    pub zone: SmolStr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the daemon is ready.
    pub readiness: SocketAddr,
    /// Where the other daemons connect.
    pub peers: SocketAddr,
    /// Where metrics are served, besides the peers' address.
    pub metrics: Option<SocketAddr>,
    /// Where daemons send each other datagrams; the port is the same for all.
    pub datagrams: Option<SocketAddr>,
    /// Peer addresses of some daemons; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The shortest lease that the store gives.
    pub shortest_lease: Millis,
    /// The figures that the operators agreed on.
    pub bounds: Bounds,
}

/// The figures that the operators agreed on.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How long after its announcement a leaving server may still get requests.
    pub drain: Millis,
    /// How long a process may run on after it was asked to stop.
    pub stop_grace: Millis,
    /// The longest time for which keys may be granted.
    pub longest_hold: Millis,
    /// Requests sent again, as a share of all requests to a service.
    pub retry_ratio: f64,
    /// Requests that may be sent again beyond that share.
    pub retry_slack: u32,
}
