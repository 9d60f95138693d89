use {crate::refusal::Refusal, oriolehoist_time::Millis};

/// The share of the requests that may exceed the headroom.
///
/// If all may, the queues of a service with too many requests grow to the objectives of its patient
/// routes. If none may, a route gets nothing while more urgent ones fill the queues. A route is to get
/// at least a quarter of the served share of all.
pub const HEADROOM_EXEMPT_SHARE: f64 = 0.25;

/// What is fixed for a request when it arrives.
#[derive(Clone, Copy, Debug)]
pub struct PlatformTerms {
    /// Whether only the owner of its key can serve it.
    pub is_keyed: bool,
    /// Whether it may run twice.
    pub is_idempotent: bool,
    /// Whether another daemon has handed it over. It is not handed on.
    pub is_handed_over: bool,
    /// When it times out.
    pub deadline: Millis,
    /// The latest time for a response to meet the latency objective.
    pub objective_ends: Millis,
    /// The route's latency objective.
    pub latency_objective: Millis,
    /// How many servers it may be sent to.
    pub max_attempts: u32,
    /// The longest wait at a server that leaves more urgent routes of the service within their
    /// objectives. `None` if there are no such routes.
    pub headroom: Option<Millis>,
    /// The wait that less urgent routes of the service leave to this one, if there are any: with a wait
    /// up to this, the request is sent although its expected latency exceeds its objective. `None` if
    /// there are no such routes.
    pub reserved_wait: Option<Millis>,
    /// Whether the request may exceed the headroom once its slack is used up. A daemon draws this for
    /// each request, with the probability [`HEADROOM_EXEMPT_SHARE`].
    pub may_exceed_headroom: bool,
}

/// The step after the selection of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selected {
    /// Check whether the request may be sent to the server.
    Admit,
    /// Hand the request over to a daemon that reaches the server.
    HandOver,
    /// Refuse the request.
    Refuse(Refusal),
}

/// What a server's load makes a request expect.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedLoad {
    /// The time in the server's queue.
    pub wait: Millis,
    /// The time until the response.
    pub latency: Millis,
    /// Whether this daemon may open no further connection to the server.
    pub is_at_connection_limit: bool,
    /// Whether the load was reported at most 100 ms ago by a server that answers load probes. If not,
    /// the times are estimates from older reports.
    pub is_current: bool,
}

/// The checks before a request is sent. They are asked in the order of their methods, and none after
/// one that fails.
pub trait Gates {
    /// Counts the request for the retry budget and the load of its key, unless that was done.
    fn count(&mut self);

    /// Returns what the server's load makes a request expect.
    fn expected_load(&mut self) -> ExpectedLoad;

    /// Checks that the request is not suspected of crashing servers.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request in quarantine.
    fn pass_quarantine(&mut self) -> Result<(), Refusal>;

    /// Counts the request against the server's limit on the request rate.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the limit does not admit the request.
    fn take_from_rate_limit(&mut self) -> Result<(), Refusal>;

    /// Spends a retry of the service's budget. Returns whether there was one.
    fn try_spend_retry(&mut self) -> bool;
}

/// How an attempt ended without a response for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server is overloaded and did not run the request.
    Shed {
        /// How long a request has to wait for the server.
        wait: Millis,
    },
    /// The server does not own the key, and did not run the request.
    NotOwner,
    /// Another process has the server's address, and did not run the request.
    OtherServer,
    /// Nothing was sent.
    NotSent {
        /// Whether this daemon does not reach the server any more.
        is_path_lost: bool,
    },
    /// No complete and valid response arrived. The request may have run.
    NoResponse(&'static str),
    /// The deadline passed. The request may have run.
    TimedOut,
}

/// The step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformNext {
    /// Select a server from the newest view.
    Select,
    /// Wait for a view that is newer than the attempt, and then select a server in any case.
    WaitAndSelect {
        /// The maximum wait.
        timeout: Millis,
    },
    /// Wait at the daemon, and then select a server from the newest view: the server's queue is needed
    /// for more urgent requests. A request that can't wait is judged again after
    /// [`PlatformRequest::on_hold_denied`].
    ///
    /// [`PlatformRequest::on_hold_denied`]: crate::PlatformRequest::on_hold_denied
    Hold {
        /// The maximum wait. A daemon waits for a random part of it, from a half to the whole, so that
        /// requests don't all try again at the same time.
        wait: Millis,
    },
    /// Refuse the request.
    Refuse(Refusal),
}
