use xxhash_rust::xxh3::xxh3_64;

/// The maximum number of named exchanges on a connection, which bounds the memory for their names.
pub const MAX_NAMED_EXCHANGES: usize = 1024;

/// The name of an exchange: a hash of the id in its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeName(u64);

impl ExchangeName {
    /// Returns the name of the exchanges whose requests carry this id.
    pub fn of(id: &[u8]) -> ExchangeName {
        ExchangeName(xxh3_64(id))
    }
}

/// How the response to an exchange is told from other responses on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Correlation {
    /// By the id of the request. A response without an id is taken only if the connection has not
    /// delivered one like it before.
    ById(ExchangeName),
    /// By the id of the request if the response has one, and else by its place. For exchanges that have
    /// to share a connection with servers that may not echo ids.
    ByIdOrOrder(ExchangeName),
    /// By its place: the peer sends one response to each request, or the caller checks the response.
    ByOrder,
}

impl Correlation {
    fn name(self) -> Option<ExchangeName> {
        match self {
            Correlation::ById(name) | Correlation::ByIdOrOrder(name) => Some(name),
            Correlation::ByOrder => None,
        }
    }
}

/// How the id in a response compares to that of the request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseId {
    /// It is the same.
    Own,
    /// It is that of another request.
    Other,
    /// There is none.
    Missing,
}

/// What a complete response is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The response to the exchange in flight.
    Own,
    /// A response to another exchange, or one that may be. It is skipped.
    Unexpected,
}

/// What a connection has carried, as far as responses may be repeated on it.
#[derive(Debug)]
pub struct ConnectionHistory {
    /// The names of the exchanges that were started.
    named: Vec<ExchangeName>,
    /// Whether a response without an id was received that says that a request was not run.
    has_unnamed_refusal: bool,
    /// Whether another response without an id was received.
    has_unnamed_response: bool,
    current: Correlation,
    /// Whether a response without an id was taken where one with an id was expected. The next one
    /// could not be told from its repetition.
    is_spent: bool,
}

impl Default for ConnectionHistory {
    fn default() -> ConnectionHistory {
        ConnectionHistory {
            named: Vec::new(),
            has_unnamed_refusal: false,
            has_unnamed_response: false,
            current: Correlation::ByOrder,
            is_spent: false,
        }
    }
}

impl ConnectionHistory {
    /// Returns whether the connection may carry an exchange with this name: none with the same name was
    /// started on it, whose response could be repeated as the response to this one.
    pub fn admits(&self, name: ExchangeName) -> bool {
        !self.named.contains(&name)
    }

    /// Returns whether the connection may carry another exchange at all.
    pub fn is_reusable(&self) -> bool {
        !self.is_spent && self.named.len() < MAX_NAMED_EXCHANGES
    }

    /// Records that a request is sent.
    pub fn start(&mut self, correlation: Correlation) {
        self.current = correlation;
        self.named.extend(correlation.name());
    }

    /// Decides on a complete response that was received for the exchange in flight. `is_refusal` is whether
    /// it says that a request was not run.
    pub fn judge(&mut self, id: ResponseId, is_refusal: bool) -> Verdict {
        let was_received = match id {
            ResponseId::Missing if is_refusal => {
                std::mem::replace(&mut self.has_unnamed_refusal, true)
            }
            ResponseId::Missing => std::mem::replace(&mut self.has_unnamed_response, true),
            ResponseId::Own | ResponseId::Other => false,
        };
        match (self.current, id) {
            (Correlation::ByOrder, _) => Verdict::Own,
            (_, ResponseId::Own) => Verdict::Own,
            (_, ResponseId::Other) => Verdict::Unexpected,
            (Correlation::ByIdOrOrder(_), ResponseId::Missing) => Verdict::Own,
            (Correlation::ById(_), ResponseId::Missing) if was_received => Verdict::Unexpected,
            (Correlation::ById(_), ResponseId::Missing) => {
                self.is_spent = true;
                Verdict::Own
            }
        }
    }
}
