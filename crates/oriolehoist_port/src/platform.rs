use {
    crate::{Boot, Configuration, Order, OrderAnswer, RegisteredServer, StoreAnswer, StoreCall},
    bytes::Bytes,
    derive_more::{Display, Error},
    http::{HeaderMap, HeaderName, Method},
};

/// An HTTP call as the platform's protocol wants it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpCall {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The body; empty for none.
    pub body: Bytes,
}

/// A whole HTTP answer.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The status code.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The names of the headers that requests and answers carry.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; echoed by servers.
    pub request_id: HeaderName,
    /// How many milliseconds are left.
    pub deadline: HeaderName,
    /// Present on every answer that a server's program made.
    pub signature: HeaderName,
    /// The server that a request is meant for.
    pub expected_server: HeaderName,
    /// The key of a request.
    pub key: HeaderName,
    /// Present if the server did not run the request.
    pub not_run: HeaderName,
}

/// How busy a server said it was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How many may run at once.
    pub slots: u32,
}

/// Something that could not be understood.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{what}: {why}")]
pub struct DecodeError {
    /// What was decoded.
    pub what: &'static str,
    /// What is wrong with it.
    pub why: String,
}

/// The names, formats and calls of one platform.
pub trait Platform: Send + Sync + 'static {
    /// Decodes the start settings.
    ///
    /// # Errors
    ///
    /// Returns what is missing or malformed.
    fn boot(&self, text: &str) -> Result<Boot, DecodeError>;

    /// Returns the path at which the balancer asks for readiness.
    fn readiness_path(&self) -> &'static str;

    /// Returns the names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Reads how busy a server is from the head of its answer, if it says so.
    fn server_load(&self, headers: &HeaderMap) -> Option<ServerLoad>;

    /// Returns the store's key for the operators' configuration.
    fn configuration_key(&self) -> &'static str;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn configuration(&self, value: &[u8]) -> Result<Configuration, DecodeError>;

    /// Returns the prefix of the keys under which backend servers register.
    fn servers_prefix(&self) -> &'static str;

    /// Decodes the registration of a backend server under `key`.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn server(&self, key: &str, value: &[u8]) -> Result<RegisteredServer, DecodeError>;

    /// Encodes a call to the store.
    fn store_call(&self, call: &StoreCall) -> HttpCall;

    /// Decodes the store's answer to `call`; `None` for a status that no such call should have.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body.
    fn store_answer(
        &self,
        call: &StoreCall,
        answer: &HttpAnswer,
    ) -> Result<Option<StoreAnswer>, DecodeError>;

    /// Encodes an order to a backend server.
    fn order(&self, order: &Order) -> HttpCall;

    /// Decodes a backend server's answer to an order.
    fn order_answer(&self, answer: &HttpAnswer) -> OrderAnswer;
}
