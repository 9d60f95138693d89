use {
    crate::{
        BootstrapConfig, Configuration, Order, OrderResponse, RegisteredServer, StoreEra,
        StoreRequest, StoreResponse,
    },
    bytes::Bytes,
    derive_more::{Display, Error},
    http::{HeaderMap, HeaderName, Method},
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

    /// Decodes how many requests per second a server takes from all daemons together, which it names
    /// in the headers of a response while it is in need. Returns `None` if it names no limit.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not one number that can be a limit.
    fn decode_rate_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, DecodeError>;

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
