use {
    crate::connection::Backend,
    oriolehoist_protocol::{Assignment, ServerName, ServiceName, Version},
    oriolehoist_settings::{Service, Settings, TimingValues},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// A snapshot of everything by which the traffic threads route. Immutable: each change of the
/// settings or of an assignment publishes a new one.
pub(crate) struct View {
    /// The version of the settings in force.
    pub(crate) version: Version,
    pub(crate) settings: Arc<Settings>,
    pub(crate) services: HashMap<ServiceName, Arc<ServiceView>>,
}

/// One service in a [`View`].
pub(crate) struct ServiceView {
    pub(crate) name: ServiceName,
    pub(crate) settings: Service,
    pub(crate) timing: TimingValues,
    /// The owner of each shard. Empty for a service without keys.
    pub(crate) assignment: Arc<Assignment>,
    pub(crate) backends: BTreeMap<ServerName, Arc<Backend>>,
    /// The servers that get no new requests, since they are draining or about to stop.
    pub(crate) leaving: BTreeSet<ServerName>,
}
