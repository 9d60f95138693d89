use {
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// A backend server as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredServer {
    /// Its name. A server may start again under the same name.
    pub id: SmolStr,
    /// When this life of it started, in Unix milliseconds. A new life holds no keys.
    pub born: u64,
    /// The service that it runs.
    pub service: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it stays.
    pub state: ServerState,
    /// How much longer it is slow after its start, when it wrote this.
    pub warm_up_left: Millis,
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It is about to leave.
    Draining,
}
