use {
    oriolehoist_time::Millis,
    std::sync::{Arc, Mutex},
};

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A server's complete response.
    Served {
        /// Whether the response names this request and its key.
        matches_request: bool,
    },
    /// A refusal by a daemon.
    Refused {
        /// The kind of the refusal.
        kind: String,
        /// Whether the refusal states that the request did not run.
        not_run: bool,
        /// How long the caller should wait before it retries.
        retry_after: Option<Millis>,
    },
    /// The daemon sent no complete response.
    NoResponse,
}

/// One attempt of a request, and its outcome.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The request's id.
    pub id: String,
    /// The number of the attempt, from 1.
    pub attempt: u32,
    /// The service that the request went to.
    pub service: String,
    /// The request's key; empty for a service without keys.
    pub key: String,
    /// Whether the request is a booking, which must not run twice.
    pub booking: bool,
    /// The priority class.
    pub class: &'static str,
    /// The workspace; empty if the request named none.
    pub workspace: String,
    /// When the request was scheduled to be sent, by the test's clock. Latency counts from here.
    pub scheduled_at: Millis,
    /// When the response was complete or the attempt failed.
    pub completed_at: Millis,
    /// The deadline that the caller set for the attempt.
    pub deadline: Millis,
    /// How the attempt ended.
    pub outcome: Outcome,
}

impl RequestRecord {
    /// Returns whether the request was served.
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, Outcome::Served { .. })
    }

    /// Returns the time from when the request was scheduled until the attempt ended.
    pub fn latency(&self) -> Millis {
        self.completed_at.since(self.scheduled_at)
    }
}

/// A shared log of the requests of all callers of a test.
#[derive(Clone, Default)]
pub struct RequestLog {
    list: Arc<Mutex<Vec<RequestRecord>>>,
}

impl RequestLog {
    /// Adds a record.
    pub fn push(&self, record: RequestRecord) {
        self.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(record);
    }

    /// Returns a copy of all records, in the order in which the attempts ended.
    pub fn all(&self) -> Vec<RequestRecord> {
        self.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }
}
