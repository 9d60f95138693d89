//! Builds and publishes the view by which the traffic threads route.

use {
    crate::{
        connection::{Backend, BackendLimits},
        control::service_state::ServiceState,
        process::DaemonContext,
        version::{ServiceView, View},
    },
    oriolehoist_protocol::{Assignment, ServerName, ServiceName, Version},
    oriolehoist_settings::{Service, Settings, Target, TargetState},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// Builds views. Keeps the backend servers from one view to the next, since their connections
/// outlive a version.
#[derive(Debug, Default)]
pub(crate) struct Publisher {
    backends: HashMap<BackendKey, Arc<Backend>>,
}

/// Identifies a backend server across views: a server with a new address is a new one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BackendKey {
    service: ServiceName,
    server: ServerName,
    address: std::net::SocketAddr,
}

impl Publisher {
    /// Publishes a view of the given settings and assignments.
    pub(crate) fn publish(
        &mut self,
        cx: &DaemonContext,
        version: Version,
        settings: &Arc<Settings>,
        states: &BTreeMap<ServiceName, ServiceState>,
        leaving: &BTreeSet<ServerName>,
    ) {
        let mut services = HashMap::new();
        let mut retained = HashMap::new();
        for (name, service) in &settings.services {
            let backends = self.backends_of(cx, settings, name, service, &mut retained);
            let assignment = states
                .get(name)
                .map(|state| state.follower.assignment().clone())
                .unwrap_or_else(|| Assignment::empty(name.clone(), 0));
            let view = ServiceView {
                name: name.clone(),
                settings: service.clone(),
                timing: settings.timing_of(service),
                assignment: Arc::new(assignment),
                leaving: leaving_servers_of(service, leaving),
                backends,
            };
            services.insert(name.clone(), Arc::new(view));
        }
        cx.paths().set_servers(retained.keys().map(|key| key.address));
        self.backends = retained;
        cx.view.publish(View { version, settings: Arc::clone(settings), services });
    }

    /// Returns the backend servers of a service, and adds them to `retained`. Those of the previous
    /// view are reused.
    fn backends_of(
        &self,
        cx: &DaemonContext,
        settings: &Settings,
        name: &ServiceName,
        service: &Service,
        retained: &mut HashMap<BackendKey, Arc<Backend>>,
    ) -> BTreeMap<ServerName, Arc<Backend>> {
        let mut backends = BTreeMap::new();
        for (server, target) in &service.targets {
            let limits = backend_limits(settings, service, target);
            let key = BackendKey {
                service: name.clone(),
                server: server.clone(),
                address: target.address,
            };
            let backend = match self.backends.get(&key) {
                Some(backend) => {
                    backend.set_limits(limits);
                    Arc::clone(backend)
                }
                None => Arc::new(Backend::new(
                    cx.clock,
                    cx.source,
                    server.clone(),
                    target.address,
                    limits,
                )),
            };
            retained.insert(key, Arc::clone(&backend));
            backends.insert(server.clone(), backend);
        }
        backends
    }
}

/// Returns the servers of a service that get no new requests: those that the settings drain and
/// those in `leaving`.
pub(crate) fn leaving_servers_of(
    service: &Service,
    leaving: &BTreeSet<ServerName>,
) -> BTreeSet<ServerName> {
    service
        .targets
        .iter()
        .filter(|(name, target)| target.state == TargetState::Drain || leaving.contains(*name))
        .map(|(name, _)| name.clone())
        .collect()
}

fn backend_limits(settings: &Settings, service: &Service, target: &Target) -> BackendLimits {
    let server = settings.server_of(service, target);
    let policy = settings.policy(service, "", "");
    BackendLimits {
        slots: u32::try_from(server.slots).unwrap_or(u32::MAX),
        max_idle_connections: usize::try_from(server.connections).unwrap_or(usize::MAX),
        queue: usize::try_from(policy.queue).unwrap_or(usize::MAX),
    }
}
