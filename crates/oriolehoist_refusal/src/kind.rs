use {
    derive_more::Display,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// Reason why a request is refused.
///
/// [`RefusalKind::response`] is the table of the responses that callers get for each kind.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalKind {
    /// A header or the path can't be parsed.
    #[display("malformed")]
    Malformed,
    /// The service is sharded by key and the request has no key.
    #[display("missing-key")]
    MissingKey,
    /// The body, the key or another part of the request exceeds a limit in the settings.
    #[display("too-large")]
    TooLarge,
    /// The body was not received before the timeout.
    #[display("slow-sender")]
    SlowSender,
    /// No such service is configured.
    #[display("unknown-service")]
    UnknownService,
    /// The daemon has no settings yet.
    #[display("not-ready")]
    NotReady,
    /// The daemon stops before the request would end.
    #[display("stopping")]
    Stopping,
    /// The queue for the server is full.
    #[display("overloaded")]
    Overloaded,
    /// The request can't complete before its deadline, or the deadline passed while it was queued.
    #[display("deadline")]
    Deadline,
    /// The owner of the key does not respond, and its grant may still be in force.
    #[display("owner-lost")]
    OwnerLost,
    /// The key has no owner yet, or moving it to another owner takes longer than the request can
    /// wait.
    #[display("no-owner")]
    NoOwner,
    /// No connection to the server could be opened.
    #[display("unreachable")]
    Unreachable,
    /// The server refused to run the request on every attempt.
    #[display("server-refused")]
    ServerRefused,
    /// Requests like this one have crashed servers.
    #[display("quarantined")]
    Quarantined,
    /// The request was sent, and no complete response was received.
    #[display("outcome-unknown")]
    OutcomeUnknown,
    /// The request repeats an earlier one, which may have run at an owner that has since been lost.
    #[display("repeat-after-loss")]
    RepeatAfterLoss,
    /// The server's response is larger than the settings allow.
    #[display("answer-too-large")]
    AnswerTooLarge,
}

/// Whether a server has run the refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The request did not run, and will not run later.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Whether and when a refused request is worth retrying.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAdvice {
    /// Not at all: the same request would be refused again.
    Never,
    /// After approximately this time.
    After(Millis),
}

/// The response that a kind of refusal gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTemplate {
    /// The HTTP status code.
    pub status: u16,
    /// Whether a server has run the request.
    pub run_state: RunState,
    /// When to retry, unless the daemon has a better estimate.
    pub retry_advice: RetryAdvice,
    /// A human-readable sentence.
    pub text: &'static str,
}

impl RefusalKind {
    /// All kinds.
    pub const ALL: [RefusalKind; 17] = [
        RefusalKind::Malformed,
        RefusalKind::MissingKey,
        RefusalKind::TooLarge,
        RefusalKind::SlowSender,
        RefusalKind::UnknownService,
        RefusalKind::NotReady,
        RefusalKind::Stopping,
        RefusalKind::Overloaded,
        RefusalKind::Deadline,
        RefusalKind::OwnerLost,
        RefusalKind::NoOwner,
        RefusalKind::Unreachable,
        RefusalKind::ServerRefused,
        RefusalKind::Quarantined,
        RefusalKind::OutcomeUnknown,
        RefusalKind::RepeatAfterLoss,
        RefusalKind::AnswerTooLarge,
    ];

    /// Returns the response that the kind gets.
    pub const fn response(self) -> ResponseTemplate {
        use {
            RetryAdvice::Never,
            RunState::{NotRun, Unknown},
        };
        match self {
            RefusalKind::Malformed => {
                row(400, NotRun, Never, "The request could not be understood.")
            }
            RefusalKind::MissingKey => row(400, NotRun, Never, "The service needs a key."),
            RefusalKind::TooLarge => row(413, NotRun, Never, "A part of the request is too large."),
            RefusalKind::SlowSender => {
                row(408, NotRun, after(1000), "The body arrived too slowly.")
            }
            RefusalKind::UnknownService => row(404, NotRun, Never, "There is no such service."),
            RefusalKind::NotReady => {
                row(503, NotRun, after(1000), "The daemon has no settings yet.")
            }
            RefusalKind::Stopping => row(503, NotRun, after(500), "The daemon is stopping."),
            RefusalKind::Overloaded => {
                row(503, NotRun, after(500), "The servers have too much to do.")
            }
            RefusalKind::Deadline => {
                row(504, NotRun, after(500), "The work can't be done in time.")
            }
            RefusalKind::OwnerLost => row(503, NotRun, after(1000), "The key's owner was lost."),
            RefusalKind::NoOwner => row(503, NotRun, after(300), "The key has no owner yet."),
            RefusalKind::Unreachable => {
                row(503, NotRun, after(500), "The server can't be reached.")
            }
            RefusalKind::ServerRefused => {
                row(503, NotRun, after(300), "The server refused the request.")
            }
            RefusalKind::Quarantined => {
                row(422, NotRun, after(60_000), "Requests like this one crashed servers.")
            }
            RefusalKind::OutcomeUnknown => {
                row(504, Unknown, after(1000), "No whole answer came: it may have run.")
            }
            RefusalKind::RepeatAfterLoss => {
                row(409, Unknown, Never, "An earlier attempt may have run at a lost owner.")
            }
            RefusalKind::AnswerTooLarge => {
                row(502, Unknown, Never, "The server's answer is too large.")
            }
        }
    }
}

const fn after(millis: u64) -> RetryAdvice {
    RetryAdvice::After(Millis(millis))
}

const fn row(
    status: u16,
    run_state: RunState,
    retry_advice: RetryAdvice,
    text: &'static str,
) -> ResponseTemplate {
    ResponseTemplate { status, run_state, retry_advice, text }
}
