use {
    crate::{Incarnation, InstanceName, ServerName, ServiceName, Term},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// A daemon that grants leases to an assigner. The assigner may renew grants only while leases of a
/// majority of its witnesses are in force.
///
/// A restarted daemon is a different witness, because it no longer knows which terms it accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Witness {
    /// The name of the daemon's instance.
    pub instance: InstanceName,
    /// The incarnation of the daemon process.
    pub incarnation: Incarnation,
    /// The address on which the daemon receives messages from peers.
    pub address: SocketAddr,
}

/// The name and address of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerAddress {
    /// The name of the server.
    pub name: ServerName,
    /// The address on which the server receives requests and orders.
    pub address: SocketAddr,
}

/// States which daemon may assign the shards of a service.
///
/// Stored in the platform's key-value store, where it is replaced by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The service.
    pub service: ServiceName,
    /// The term.
    pub term: Term,
    /// The daemon that holds the term.
    pub holder: Witness,
    /// The daemons that grant leases to the holder.
    pub witnesses: Vec<Witness>,
    /// The witness sets of previous records whose holders may still be renewing grants. A new
    /// holder needs its term accepted by a majority of every set, not only of the latest one.
    pub unsettled: Vec<Vec<Witness>>,
    /// The servers that may be granted shards under this term.
    pub servers: Vec<ServerAddress>,
    /// Whether a previous record, whose grants may still be in force, lists a server that this one
    /// does not. A new holder then can't learn of all grants from the listed servers.
    #[serde(default)]
    pub unlisted_servers: bool,
    /// Unique for each write, so that a writer that did not receive the response can recognise its
    /// own record.
    pub write_id: SmolStr,
}

/// Returns how many of `witnesses` make a majority, or zero if there are none.
pub fn quorum_size(witnesses: &[Witness]) -> usize {
    match witnesses.len() {
        0 => 0,
        n => n / 2 + 1,
    }
}
