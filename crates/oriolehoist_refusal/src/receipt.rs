use {
    crate::{RefusalKind, RunState},
    oriolehoist_protocol::{Epoch, InstanceName, ServerName, ServiceName, ShardId, Version},
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// Record of one refusal, with what the daemon knew when it refused the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The reason.
    pub kind: RefusalKind,
    /// Whether a server has run the request.
    pub run_state: RunState,
    /// The rule that was violated, or the path of the setting that led to the refusal.
    pub rule: SmolStr,
    /// The time of the refusal, in milliseconds since the Unix epoch.
    pub time: Millis,
    /// The daemon that refused.
    pub instance: InstanceName,
    /// The version of the settings in force at that daemon.
    pub settings: Version,
    /// The service; empty if the request could not be parsed.
    pub service: ServiceName,
    /// The request id given by the caller; empty if there is none.
    pub request_id: SmolStr,
    /// The shard of the key, if the request has one.
    pub shard: Option<ShardId>,
    /// The last known ownership epoch of the shard.
    pub epoch: Option<Epoch>,
    /// The server that would have run the request.
    pub server: Option<ServerName>,
}
