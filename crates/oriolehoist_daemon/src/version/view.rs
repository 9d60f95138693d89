use {
    crate::connection::Backend,
    oriolehoist_protocol::{Assignment, ServerName, ServiceName, Version},
    oriolehoist_settings::{Service, Settings, TimingValues},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// Everything that the traffic threads need to know. Immutable: a change makes a new one.
pub(crate) struct View {
    /// The version of the settings in force.
    pub(crate) version: Version,
    pub(crate) settings: Arc<Settings>,
    pub(crate) services: HashMap<ServiceName, Arc<ServiceView>>,
}

/// One service within a [`View`].
pub(crate) struct ServiceView {
    pub(crate) name: ServiceName,
    pub(crate) settings: Service,
    pub(crate) timing: TimingValues,
    /// Who owns each shard; for a service that is split by key.
    pub(crate) assignment: Arc<Assignment>,
    pub(crate) backends: BTreeMap<ServerName, Arc<Backend>>,
    /// The servers that get no new work.
    pub(crate) leaving: BTreeSet<ServerName>,
}
