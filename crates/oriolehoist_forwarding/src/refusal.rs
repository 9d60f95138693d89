use {oriolehoist_refusal::RefusalKind, oriolehoist_time::Millis};

/// Why a request is refused, and when to retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// What the caller is told.
    pub kind: RefusalKind,
    /// The check that refused the request, for the log.
    pub reason: &'static str,
    /// The expected queueing time, if it was the reason.
    pub expected_wait: Option<Millis>,
    /// When to retry. If unset, the default of the refusal kind applies.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal without times.
    pub fn new(kind: RefusalKind, reason: &'static str) -> Refusal {
        Refusal { kind, reason, expected_wait: None, retry_after: None }
    }

    /// Sets when to retry.
    pub fn with_retry_after(self, after: Millis) -> Refusal {
        Refusal { retry_after: Some(after), ..self }
    }

    /// Sets the expected queueing time.
    pub fn with_expected_wait(self, expected_wait: Millis) -> Refusal {
        Refusal { expected_wait: Some(expected_wait), ..self }
    }
}

/// A refusal that does not promise that the request has not run, if it may have.
pub trait MayHaveRun {
    /// Returns the refusal of a request whose outcome is unknown: with the same reason, and without
    /// a time to retry.
    #[must_use]
    fn into_outcome_unknown(self) -> Self;
}

impl MayHaveRun for Refusal {
    fn into_outcome_unknown(self) -> Refusal {
        Refusal::new(RefusalKind::OutcomeUnknown, self.reason)
    }
}
