//! The messages by which a daemon lets another one send a request.

use {
    bytes::Bytes,
    oriolehoist_port::Route,
    oriolehoist_protocol::{HandOverReply, MessageHeaders},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// A request that a daemon hands over to another one.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandedOverRequest {
    /// The method.
    pub method: SmolStr,
    /// The path with the query.
    pub target: String,
    /// The headers.
    pub headers: MessageHeaders,
    /// The complete body.
    pub body: Bytes,
    /// The time left until the deadline.
    pub remaining: Millis,
    /// The time left to meet the route's latency objective.
    pub objective: Millis,
    /// Whether the caller sends it again.
    pub is_retry: bool,
    /// Its key, if its service is split by key.
    pub key: Option<u16>,
    /// The service that it is for.
    pub service: SmolStr,
    /// The route, with the number of servers that the request may be sent to.
    pub route: Route,
    /// Whether the request has been counted already.
    pub counted: bool,
}

/// Why the other daemon has refused a request.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandedOverRefusal {
    /// The kind of the refusal, which says whether the request may have run.
    pub kind: RefusalKind,
    /// The latency that was expected, if that is the reason.
    pub expected_wait: Option<Millis>,
    /// When the caller may come back.
    pub retry_after: Option<Millis>,
}

/// The end of a request at the other daemon.
pub type Reply = HandOverReply<HandedOverRefusal>;
