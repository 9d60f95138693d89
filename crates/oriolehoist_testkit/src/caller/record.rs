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
    NoAnswer,
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub struct Record {
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
    pub tenant: String,
    /// When it was due to be sent, by the test's clock. Time counts from here.
    pub due: Millis,
    /// When the answer had come.
    pub done: Millis,
    /// The time that the caller allowed.
    pub deadline: Millis,
    /// What came of it.
    pub outcome: Outcome,
}

impl Record {
    /// Returns whether the request was served.
    pub fn is_served(&self) -> bool {
        matches!(self.outcome, Outcome::Served { .. })
    }

    /// Returns how long the caller waited.
    pub fn took(&self) -> Millis {
        self.done.since(self.due)
    }
}

/// The records of all callers of a test.
#[derive(Clone, Default)]
pub struct Records {
    list: Arc<Mutex<Vec<Record>>>,
}

impl Records {
    /// Adds a record.
    pub fn push(&self, record: Record) {
        self.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(record);
    }

    /// Returns a copy of every record, in the order of their ends.
    pub fn all(&self) -> Vec<Record> {
        self.list.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }
}
