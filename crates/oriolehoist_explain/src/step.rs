use {
    derive_more::Display,
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// The first step of a daemon with a request.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum Step {
    /// Send it to a server.
    #[display("send to {server}{}", if *is_random { " (drawn at random)" } else { "" })]
    Send {
        /// The server.
        server: SmolStr,
        /// Whether a random draw decides too, so that some requests are sent to another server, or are
        /// refused. The server is then the best one by estimate.
        is_random: bool,
    },
    /// Wait for a change, and decide again.
    #[display("wait for at most {at_most_ms}: {reason}")]
    Wait {
        /// What it waits for.
        reason: SmolStr,
        /// The longest wait.
        at_most_ms: Millis,
    },
    /// Hand it over to a daemon that reaches the server.
    #[display("hand over to the daemon at {daemon}, for {server}")]
    HandOver {
        /// The server.
        server: SmolStr,
        /// One of the daemons that may be asked.
        daemon: SocketAddr,
    },
    /// Refuse it.
    #[display("{_0}")]
    Refuse(ExplainedRefusal),
}

impl Step {
    /// Returns whether both are the same step with the same server or reason. Times may differ.
    pub fn is_alike(&self, other: &Step) -> bool {
        match (self, other) {
            (Step::Send { server: a, .. }, Step::Send { server: b, .. })
            | (Step::HandOver { server: a, .. }, Step::HandOver { server: b, .. })
            | (Step::Wait { reason: a, .. }, Step::Wait { reason: b, .. }) => a == b,
            (Step::Refuse(a), Step::Refuse(b)) => (a.kind, &a.reason) == (b.kind, &b.reason),
            _ => false,
        }
    }
}

/// The refusal of a request.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(
    "refuse as {kind} with status {status}: {reason}{}",
    retry_after_ms.map(|after| format!(" (retry after {after})")).unwrap_or_default()
)]
pub struct ExplainedRefusal {
    /// What the caller is told.
    pub kind: RefusalKind,
    /// The HTTP status of the response.
    pub status: u16,
    /// The check that refuses the request.
    pub reason: SmolStr,
    /// The expected time in the server's queue, if it is the reason.
    pub expected_wait_ms: Option<Millis>,
    /// When to retry, if the request may be repeated.
    pub retry_after_ms: Option<Millis>,
}
