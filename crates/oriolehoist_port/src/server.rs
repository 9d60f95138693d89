use {
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// A backend server's registration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredServer {
    /// The server's id. A restarted server keeps its id.
    pub id: SmolStr,
    /// The start time of this incarnation, in Unix milliseconds. A new incarnation owns no keys.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// The service that the server belongs to.
    pub service: SmolStr,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The availability zone of the server.
    pub zone: SmolStr,
    /// The number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether the server accepts new work.
    pub state: ServerState,
    /// The remaining warm-up time after the server's start, at the time of the registration, or
    /// [`RegisteredServer::WARM_UP_UNSTATED`]. A server that is warming up is slow.
    #[serde(rename = "warm_up_left")]
    pub warm_up_remaining: Millis,
}

impl RegisteredServer {
    /// The remaining warm-up time of a registration that says nothing about it that can be used.
    pub const WARM_UP_UNSTATED: Millis = Millis(u64::MAX);

    /// The remaining warm-up time in messages of daemons that don't know how long it is. Releases up
    /// to 36b0849 pass on only whether a server is warming up.
    pub const WARM_UP_UNKNOWN: Millis = Millis(1);
}

/// Whether a backend server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// The server accepts requests.
    Ready,
    /// The server is about to shut down.
    Draining,
}
