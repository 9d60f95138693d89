use {
    crate::{
        BootstrapConfig, Configuration, Order, OrderResponse, RegisteredServer, StoreEra,
        StoreRequest, StoreResponse,
    },
    bytes::Bytes,
    derive_more::{Display, Error},
    http::{HeaderMap, HeaderName, Method},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
};

/// An HTTP request in the platform's protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The headers, except those that the framing and the connection need.
    pub headers: HeaderMap,
    /// The body; empty if there is none.
    pub body: Bytes,
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// The header names of requests and responses.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; servers return it in their responses.
    pub request_id: HeaderName,
    /// The time left until the deadline, in milliseconds.
    pub deadline: HeaderName,
    /// Present on every response that the server's application produced.
    pub response_signature: HeaderName,
    /// The id of the server that a request is addressed to.
    pub expected_server: HeaderName,
    /// The key that a request operates on.
    pub key: HeaderName,
    /// Present on a response if the server did not execute the request.
    pub not_run: HeaderName,
}

/// The load that a server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The number of requests that can run concurrently.
    pub slots: u32,
    /// How long work takes on the server's machine at this moment, in percent of a machine of speed 1, if
    /// the server says so. This is 100 on average and changes many times per second.
    pub work_percent: Option<u16>,
}

impl ServerLoad {
    /// Returns the number of requests at the server. Saturates, because a server may report any numbers.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Returns how many times longer than on a machine of speed 1 work takes at this moment: 1 if
    /// nothing is known.
    pub fn slowdown(&self) -> f64 {
        f64::from(self.work_percent.unwrap_or(100)) / 100.0
    }
}

/// What a server says in a response about the requests that it takes.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatements {
    /// The requests per second that it takes from all daemons together, if it names a limit.
    pub rate_limit: Result<Option<f64>, DecodeError>,
    /// Whether it is leaving.
    pub leaving: Result<bool, DecodeError>,
    /// For how long it wants no requests from this daemon, if it says so as it turns one away.
    pub come_back_after: Result<Option<Millis>, DecodeError>,
    /// For how long it is still cold, if it says so. Zero if it says that it is not.
    pub warm_up: Result<Option<Millis>, DecodeError>,
}

/// Malformed input from the platform.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{subject}: {reason}")]
pub struct DecodeError {
    /// The input that was decoded, or the part of it that was rejected.
    pub subject: &'static str,
    /// Why the input was rejected.
    pub reason: String,
}

/// The names, formats and protocols of a platform.
pub trait Platform: Send + Sync + 'static {
    /// Decodes the bootstrap settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is missing or malformed.
    fn decode_bootstrap(&self, text: &str) -> Result<BootstrapConfig, DecodeError>;

    /// Returns the path of the readiness endpoint that the load balancer probes.
    fn readiness_path(&self) -> &'static str;

    /// Returns the header names of requests and responses.
    fn header_names(&self) -> &HeaderNames;

    /// Decodes the load that a server reports in the headers of a response, if present.
    fn decode_server_load(&self, headers: &HeaderMap) -> Option<ServerLoad>;

    /// Decodes what a server says in a response with this status. A header that is malformed is an
    /// error of its own, and does not affect the others.
    fn decode_statements(&self, status: u16, headers: &HeaderMap) -> ServerStatements;

    /// Returns the store key of the operators' configuration.
    fn configuration_key(&self) -> &'static str;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is malformed.
    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration, DecodeError>;

    /// Returns the prefix of the store keys under which backend servers register.
    fn servers_prefix(&self) -> &'static str;

    /// Decodes the registration of a backend server, stored under `key`.
    ///
    /// # Errors
    ///
    /// Returns an error if the registration is malformed.
    fn decode_server(&self, key: &str, value: &[u8]) -> Result<RegisteredServer, DecodeError>;

    /// Returns the prefix of the store keys with which operators evacuate availability zones.
    fn evacuations_prefix(&self) -> &'static str;

    /// Decodes the name of the zone that is evacuated while `key` exists.
    ///
    /// # Errors
    ///
    /// Returns an error if the key names no zone.
    fn decode_evacuation(&self, key: &str) -> Result<SmolStr, DecodeError>;
    /// Returns why the warm-up in a registration can't be used, if that is so. The registration is
    /// decoded without it.
    fn malformed_warm_up(&self, value: &[u8]) -> Option<DecodeError>;

    /// Encodes a request to the store.
    fn encode_store_request(&self, request: &StoreRequest) -> HttpRequest;

    /// Decodes the store's response to `request`. Returns `None` if the status code is not one that
    /// the store uses for this kind of request.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed.
    fn decode_store_response(
        &self,
        request: &StoreRequest,
        response: &HttpResponse,
    ) -> Result<Option<StoreResponse>, DecodeError>;

    /// Decodes the store's era from the headers of a response, if present.
    fn decode_store_era(&self, headers: &HeaderMap) -> Option<StoreEra>;

    /// Encodes an order to the backend server with the id `server`. Another server that receives it
    /// may reject it for that reason.
    fn encode_order(&self, server: &str, order: &Order) -> HttpRequest;

    /// Decodes a backend server's response to an order.
    fn decode_order_response(&self, response: &HttpResponse) -> OrderResponse;

    /// Decodes the id that a backend server gives itself in the headers of a response, if present.
    fn decode_peer_name(&self, headers: &HeaderMap) -> Option<SmolStr>;
}
