use {
    crate::{Incarnation, InstanceName, ServerName, ServiceName, Term},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// A daemon that must vouch for an assigner before it renews grants.
///
/// A restart makes it a different witness: it has forgotten which terms it accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Witness {
    /// The daemon's instance.
    pub instance: InstanceName,
    /// The process life that is the witness.
    pub incarnation: Incarnation,
    /// Where it takes messages from peers.
    pub address: SocketAddr,
}

/// A backend server with its address.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServerAddress {
    /// The server's name.
    pub name: ServerName,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
}

/// Who may assign the shards of a service; kept in the platform's store under compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The service.
    pub service: ServiceName,
    /// The term.
    pub term: Term,
    /// The daemon that holds the term.
    pub holder: Witness,
    /// The daemons whose majority must vouch for the holder.
    pub witnesses: Vec<Witness>,
    /// Witnesses of earlier records whose holders may still be renewing grants. A successor must
    /// have its term accepted by a majority of each set, not only of the latest.
    pub unsettled: Vec<Vec<Witness>>,
    /// Every server that may be granted a shard under this term.
    pub servers: Vec<ServerAddress>,
    /// Unique to the write, so that a writer whose reply was lost can recognise its own record.
    pub write_id: SmolStr,
}

/// Returns how many of `witnesses` make a majority. An empty set needs none.
pub fn majority(witnesses: &[Witness]) -> usize {
    match witnesses.len() {
        0 => 0,
        n => n / 2 + 1,
    }
}
