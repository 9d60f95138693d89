//! Names of the HTTP headers between callers, daemons and backend servers.

/// The key that a request is about. Required for a service that is split by key.
pub const KEY: &str = "oriolehoist-key";
/// The time that the caller still waits, in milliseconds.
pub const DEADLINE_MS: &str = "oriolehoist-deadline-ms";
/// The class of the request: `urgent`, `interactive` or `bulk`.
pub const CLASS: &str = "oriolehoist-class";
/// The tenant on whose behalf the caller asks.
pub const TENANT: &str = "oriolehoist-tenant";
/// The caller's id of the request. A repeated request carries the same id.
pub const REQUEST_ID: &str = "oriolehoist-request-id";
/// Counts the caller's attempts at one request id, from 1.
pub const ATTEMPT: &str = "oriolehoist-attempt";
/// The shard of the key, set by the daemon for the backend server.
pub const SHARD: &str = "oriolehoist-shard";
/// The epoch under which the daemon believes that the server owns the shard.
pub const EPOCH: &str = "oriolehoist-epoch";
/// Why a backend server refused a request before running it: `shed`, `grant` or `draining`.
pub const NOT_RUN: &str = "oriolehoist-not-run";
/// The kind of a refusal, in the daemon's answer.
pub const REFUSAL: &str = "oriolehoist-refusal";
/// `not-run` or `unknown`, in the daemon's refusal.
pub const RUN_STATE: &str = "oriolehoist-run-state";
/// The signed receipt of a refusal, in the daemon's answer.
pub const RECEIPT: &str = "oriolehoist-receipt";
/// Names one exchange between a daemon and a backend server; the answer repeats it.
pub const EXCHANGE: &str = "oriolehoist-exchange";
/// The incarnation of the backend server, in its answers.
pub const INCARNATION: &str = "oriolehoist-incarnation";
