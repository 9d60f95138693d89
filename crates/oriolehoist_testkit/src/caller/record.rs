use {
    oriolehoist_time::Millis,
    std::sync::{Arc, Mutex},
};

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer of a server. `own` tells whether it is the answer to this request.
    Served {
        /// Whether the answer names this request and its key.
        own: bool,
    },
    /// A refusal by a daemon.
    Refused {
        /// Its kind.
        kind: String,
        /// Whether it says that the request did not run.
        not_run: bool,
        /// When to come back.
        retry_after: Option<Millis>,
    },
    /// No whole answer came from the daemon.
    NoResponse,
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// The request's id.
    pub id: String,
    /// The caller's count of attempts.
    pub attempt: u32,
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// Whether the request must not run twice.
    pub booking: bool,
    /// The class.
    pub class: &'static str,
    /// The tenant.
    pub workspace: String,
    /// When it was scheduled_at to be sent, by the test's clock. Time counts from here.
    pub scheduled_at: Millis,
    /// When the answer had come.
    pub completed_at: Millis,
    /// The time that the caller allowed.
    pub deadline: Millis,
    /// What came of it.
    pub outcome: Outcome,
}

impl RequestRecord {
    /// Returns whether the request was served.
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, Outcome::Served { .. })
    }

    /// Returns how long the caller waited.
    pub fn latency(&self) -> Millis {
        self.completed_at.since(self.scheduled_at)
    }
}

/// The records of all callers of a test.
#[derive(Clone, Default)]
pub struct RequestLog {
    list: Arc<Mutex<Vec<RequestRecord>>>,
}

impl RequestLog {
    /// Adds a record.
    pub fn push(&self, record: RequestRecord) {
        self.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(record);
    }

    /// Returns a copy of every record, in the order of their ends.
    pub fn all(&self) -> Vec<RequestRecord> {
        self.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }
}
