use {
    crate::connection::Backend,
    arc_swap::ArcSwapOption,
    oriolehoist_protocol::{Assignment, ServerName, ServiceName, Version},
    oriolehoist_settings::{Service, Settings, TimingValues},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
    tokio::sync::watch,
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

/// Where control publishes views and traffic reads them.
pub(crate) struct ViewCell {
    view: ArcSwapOption<View>,
    changes: watch::Sender<u64>,
}

impl Default for ViewCell {
    fn default() -> ViewCell {
        ViewCell { view: ArcSwapOption::empty(), changes: watch::Sender::new(0) }
    }
}

impl ViewCell {
    /// Returns the present view, or `None` before there are settings.
    pub(crate) fn load(&self) -> Option<Arc<View>> {
        self.view.load_full()
    }

    /// Replaces the view and wakes whoever waits for a change.
    pub(crate) fn publish(&self, view: View) {
        self.view.store(Some(Arc::new(view)));
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that learns of every later change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
