use {
    oriolehoist_protocol::{LoadReport, ServerName, ServiceName, Term},
    serde::Serialize,
};

/// A summary of an assigner's state, for status reports and metrics.
#[derive(Clone, Debug, Serialize)]
pub struct AssignerStatus {
    /// The service.
    pub service: ServiceName,
    /// The current term.
    pub term: Term,
    /// Whether leases of a majority of the witnesses are in force.
    #[serde(rename = "vouched")]
    pub has_quorum: bool,
    /// Whether all grants of previous holders have expired.
    pub settled: bool,
    /// The number of shards that cannot be served now because they have no confirmed owner.
    pub unowned_shards: usize,
    /// The number of times that a shard has changed owner under this assigner.
    pub moved_shards: u64,
    /// The state of each server.
    pub servers: Vec<ServerStatus>,
}

/// The state of one backend server, as known to the assigner.
#[derive(Clone, Debug, Serialize)]
pub struct ServerStatus {
    /// The name of the server.
    pub name: ServerName,
    /// Whether the server has responded recently.
    pub reachable: bool,
    /// Whether shards are moved off the server.
    pub leaving: bool,
    /// The number of shards that the server owns.
    pub shards: usize,
    /// The last load report of the server.
    pub load: LoadReport,
}
