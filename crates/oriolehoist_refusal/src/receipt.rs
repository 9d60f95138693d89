use {
    crate::{Kind, RunState},
    oriolehoist_protocol::{Epoch, InstanceName, ServerName, ServiceName, ShardId, Version},
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// The facts of one refusal, as the daemon knew them when it refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Why.
    pub kind: Kind,
    /// Whether the request has run.
    pub run_state: RunState,
    /// What exactly was wrong, or the path of the setting that decided.
    pub rule: SmolStr,
    /// When, in milliseconds since the Unix epoch.
    pub time: Millis,
    /// The daemon that refused.
    pub instance: InstanceName,
    /// The settings version in force there.
    pub settings: Version,
    /// The service, as far as it was understood.
    pub service: ServiceName,
    /// The caller's id of the request, if it gave one.
    pub request_id: SmolStr,
    /// The shard of the key, if there was one.
    pub shard: Option<ShardId>,
    /// The epoch under which the shard was last known to be owned.
    pub epoch: Option<Epoch>,
    /// The server that would have run the request.
    pub server: Option<ServerName>,
}
