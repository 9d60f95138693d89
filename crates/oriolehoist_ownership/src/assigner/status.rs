use {
    oriolehoist_protocol::{LoadReport, ServerName, ServiceName, Term},
    serde::Serialize,
};

/// A summary of an assigner's state, for operators and metrics.
#[derive(Clone, Debug, Serialize)]
pub struct AssignerStatus {
    /// The service.
    pub service: ServiceName,
    /// The term.
    pub term: Term,
    /// Whether a majority of the witnesses vouches.
    pub vouched: bool,
    /// Whether every earlier holder is known to have ended.
    pub settled: bool,
    /// How many shards cannot be served now.
    pub unowned_shards: usize,
    /// How many shards have changed owner under this assigner.
    pub moved_shards: u64,
    /// The servers.
    pub servers: Vec<ServerStatus>,
}

/// One server as the assigner sees it.
#[derive(Clone, Debug, Serialize)]
pub struct ServerStatus {
    /// The server.
    pub name: ServerName,
    /// Whether it has answered lately.
    pub reachable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// How many shards it owns.
    pub shards: usize,
    /// What it last reported of its load.
    pub load: LoadReport,
}
