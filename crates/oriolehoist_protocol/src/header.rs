//! Names of the HTTP headers exchanged between callers, daemons and backend servers.

/// The service that a request is for. Set by the daemon for the backend server.
pub const SERVICE: &str = "oriolehoist-service";
/// The key that a request addresses. Required for services that are sharded by key.
pub const KEY: &str = "oriolehoist-key";
/// The time that the caller will continue to wait for the response, in milliseconds.
pub const DEADLINE_MS: &str = "oriolehoist-deadline-ms";
/// The priority class of the request: `urgent`, `interactive` or `bulk`.
pub const CLASS: &str = "oriolehoist-class";
/// The workspace on whose behalf the request is made.
pub const WORKSPACE: &str = "oriolehoist-tenant";
/// The request id chosen by the caller. Retries carry the same id.
pub const REQUEST_ID: &str = "oriolehoist-request-id";
/// The number of the caller's attempt at this request id, starting at 1.
pub const ATTEMPT: &str = "oriolehoist-attempt";
/// The shard of the key. Set by the daemon for the backend server.
pub const SHARD: &str = "oriolehoist-shard";
/// The epoch under which the daemon expects the backend server to own the shard.
pub const EPOCH: &str = "oriolehoist-epoch";
/// Why a backend server refused a request without executing it: `shed`, `grant`, `draining` or
/// `service`.
pub const NOT_RUN: &str = "oriolehoist-not-run";
/// The kind of refusal, in the daemon's response.
pub const REFUSAL: &str = "oriolehoist-refusal";
/// Whether a refused request may have been executed: `not-run` or `unknown`. Set by the daemon.
pub const RUN_STATE: &str = "oriolehoist-run-state";
/// The signed receipt of a refusal, in the daemon's response.
pub const RECEIPT: &str = "oriolehoist-receipt";
/// Identifies one exchange between a daemon and a backend server. The response echoes it.
pub const EXCHANGE: &str = "oriolehoist-exchange";
/// The incarnation of the backend server, in its responses.
pub const INCARNATION: &str = "oriolehoist-incarnation";
