//! The datagrams about the load of servers and the requests to them.
//!
//! They are encoded as MessagePack arrays, so a field can be neither added nor left out. What is new
//! goes into a datagram of its own `format`. A daemon that does not know a format drops the datagram.

use {
    crate::wire::{DecodeError, decode},
    oriolehoist_admission::{GroupReport, PermitReply, RateReport, RequestCounts, WarmUpReport},
    oriolehoist_fleet::LoadNews,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// What a daemon tells the others, by the short ids of the servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// The sender's in-flight requests at each server where requests may have to queue.
    pub in_flight: BTreeMap<u32, u32>,
    /// The servers that limit the rate of their requests.
    pub limits: BTreeMap<u32, RateReport>,
}

impl LoadMessage {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_empty() && self.limits.is_empty()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Returns an error if it is none.
    pub fn decode(bytes: &[u8]) -> Result<LoadMessage, DecodeError> {
        decode(bytes)
    }
}

/// What a daemon of a large fleet tells others. It has another form than [`LoadMessage`], so that each
/// is malformed to who expects the other one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RelayedLoads {
    /// Tells the message from others.
    pub format: SmolStr,
    /// The loads.
    pub news: Vec<LoadNews>,
    /// Always zero. Makes the message differ from the others in its number of fields.
    pub reserved: u8,
}

/// What a daemon of a large fleet tells others of servers that limit the rate of their requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayedLimits {
    /// Tells the message from others.
    pub format: SmolStr,
    /// The limits, by the short ids of the servers.
    pub limits: Vec<(u32, GroupReport)>,
}

/// What a daemon tells others of cold servers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ColdServers {
    /// Tells the message from others.
    pub format: SmolStr,
    /// The run of the sender, by which messages are ordered, as by the time of sending on its clock.
    pub run: u32,
    /// The time of sending.
    pub sequence: u64,
    /// The cold servers.
    pub servers: Vec<ColdServer>,
}

/// What a daemon tells others of one cold server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ColdServer {
    /// The short id of the server.
    pub server: u32,
    /// The requests to it of `daemons` daemons, in the messages of releases up to e2a1875. This release sends
    /// none, and does not use them.
    pub counts: Option<RequestCounts>,
    /// The number of daemons that have sent these requests.
    pub daemons: u32,
    /// What the sender knows of the server's warm-up.
    pub warm_up: Option<WarmUpReport>,
}

/// Asks the daemon that issues permits for one to send a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitQuery {
    /// Tells the message from others.
    pub format: SmolStr,
    /// Identifies the query among those of its sender.
    pub number: u64,
    /// The id of the server.
    pub server: SmolStr,
    /// How many priorities are more urgent than that of the request.
    pub rank: u32,
    /// Whether the server is cold.
    pub is_cold: bool,
    /// The limit that the server has named, in requests per second, or `None` if it has named none.
    pub limit: Option<f64>,
}

/// The answer to a [`PermitQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// Tells the message from others.
    pub format: SmolStr,
    /// The number of the query.
    pub number: u64,
    /// What was decided.
    pub reply: PermitReply,
}

impl PermitQuery {
    /// The format of the message.
    pub const FORMAT: &str = "permit-query-1";

    /// Decodes a message. Returns `None` if it is another one.
    pub fn decode(bytes: &[u8]) -> Option<PermitQuery> {
        decode::<PermitQuery>(bytes).ok().filter(|message| message.format == Self::FORMAT)
    }
}

impl PermitAnswer {
    /// The format of the message.
    pub const FORMAT: &str = "permit-answer-1";

    /// Decodes a message. Returns `None` if it is another one.
    pub fn decode(bytes: &[u8]) -> Option<PermitAnswer> {
        decode::<PermitAnswer>(bytes).ok().filter(|message| message.format == Self::FORMAT)
    }
}

impl RelayedLoads {
    /// The format of the message.
    pub const FORMAT: &str = "loads-1";

    /// Decodes a message. Returns `None` if it is another one.
    pub fn decode(bytes: &[u8]) -> Option<RelayedLoads> {
        decode::<RelayedLoads>(bytes).ok().filter(|message| message.format == Self::FORMAT)
    }
}

impl RelayedLimits {
    /// The format of the message.
    pub const FORMAT: &str = "limits-1";

    /// Decodes a message. Returns `None` if it is another one.
    pub fn decode(bytes: &[u8]) -> Option<RelayedLimits> {
        decode::<RelayedLimits>(bytes).ok().filter(|message| message.format == Self::FORMAT)
    }
}

impl ColdServers {
    /// The format of the message.
    pub const FORMAT: &str = "cold-1";

    /// Decodes a message. Returns `None` if it is another one.
    pub fn decode(bytes: &[u8]) -> Option<ColdServers> {
        decode::<ColdServers>(bytes).ok().filter(|message| message.format == Self::FORMAT)
    }
}
