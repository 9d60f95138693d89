use {
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// The path at which daemons take requests from each other.
pub const HANDOVER_PATH: &str = "/request";
/// The path at which a daemon tells what it sees of a server.
pub const SIGHT_PATH: &str = "/sight";

/// The headers of a message, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MessageHeaders(Vec<(SmolStr, Bytes)>);

impl From<&HeaderMap> for MessageHeaders {
    fn from(headers: &HeaderMap) -> MessageHeaders {
        let pairs = headers.iter();
        let pairs = pairs.map(|(name, value)| {
            (SmolStr::new(name.as_str()), Bytes::copy_from_slice(value.as_bytes()))
        });
        MessageHeaders(pairs.collect())
    }
}

impl MessageHeaders {
    /// Returns the headers, or `None` if one is malformed.
    pub fn decode(&self) -> Option<HeaderMap> {
        let pairs = self.0.iter().map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            Some((name, HeaderValue::from_bytes(value).ok()?))
        });
        pairs.collect()
    }
}

/// The end of a request that a daemon has handed over to another one. `R` is a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandOverReply<R> {
    /// The server's complete response.
    Response {
        /// The server.
        server: SmolStr,
        /// The status code.
        status: u16,
        /// The headers.
        headers: MessageHeaders,
        /// The complete body.
        body: Bytes,
    },
    /// A refusal, which says whether the request may have run.
    Refused(R),
    /// Nothing was sent to a server, since the daemon does not reach it.
    NoPath {
        /// Whether it reaches no server at all, or takes no requests.
        cut_off: bool,
        /// Another daemon that has served requests for it.
        referral: Option<SocketAddr>,
    },
}

impl<R> HandOverReply<R> {
    /// Returns whether a daemon that responds with this HTTP status, instead of a reply, has not taken
    /// the request. After any other one the request may have run.
    pub fn is_not_taken(status: u16) -> bool {
        matches!(status, 400 | 403 | 404 | 413)
    }
}

/// What a daemon sees of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerSight {
    /// It accepts connections.
    Accepts,
    /// It refuses connections, while other servers have answered.
    Refuses,
    /// The daemon can't tell.
    Unknown,
}
