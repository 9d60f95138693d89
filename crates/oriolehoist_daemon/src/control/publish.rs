//! Making the view that the traffic threads use.

use {
    crate::{
        connection::{Backend, BackendLimits},
        control::cell::Cell,
        process::Shared,
        version::{ServiceView, View},
    },
    oriolehoist_protocol::{Assignment, ServerName, ServiceName, Version},
    oriolehoist_settings::{Service, Settings, Target, TargetState},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
    },
};

/// Keeps the backend servers from view to view, since their connections outlive a version.
#[derive(Debug, Default)]
pub(crate) struct Publisher {
    backends: HashMap<BackendKey, Arc<Backend>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BackendKey {
    service: ServiceName,
    server: ServerName,
    address: std::net::SocketAddr,
}

impl Publisher {
    /// Publishes a view of these settings and assignments.
    pub(crate) fn publish(
        &mut self,
        cx: &Shared,
        version: Version,
        settings: &Arc<Settings>,
        cells: &BTreeMap<ServiceName, Cell>,
        leaving: &BTreeSet<ServerName>,
    ) {
        let mut services = HashMap::new();
        let mut kept = HashMap::new();
        for (name, service) in &settings.services {
            let backends = self.backends_of(cx, settings, name, service, &mut kept);
            let assignment = cells
                .get(name)
                .map(|cell| cell.follower.assignment().clone())
                .unwrap_or_else(|| Assignment::empty(name.clone(), 0));
            let view = ServiceView {
                name: name.clone(),
                settings: service.clone(),
                timing: settings.timing_of(service),
                assignment: Arc::new(assignment),
                leaving: leaving_of(service, leaving),
                backends,
            };
            services.insert(name.clone(), Arc::new(view));
        }
        self.backends = kept;
        cx.view.publish(View { version, settings: Arc::clone(settings), services });
    }

    fn backends_of(
        &self,
        cx: &Shared,
        settings: &Settings,
        name: &ServiceName,
        service: &Service,
        kept: &mut HashMap<BackendKey, Arc<Backend>>,
    ) -> BTreeMap<ServerName, Arc<Backend>> {
        let mut backends = BTreeMap::new();
        for (server, target) in &service.targets {
            let limits = limits_of(settings, service, target);
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
            kept.insert(key, Arc::clone(&backend));
            backends.insert(server.clone(), backend);
        }
        backends
    }
}

/// Returns the servers of a service that get no new work.
pub(crate) fn leaving_of(service: &Service, listed: &BTreeSet<ServerName>) -> BTreeSet<ServerName> {
    service
        .targets
        .iter()
        .filter(|(name, target)| target.state == TargetState::Drain || listed.contains(*name))
        .map(|(name, _)| name.clone())
        .collect()
}

fn limits_of(settings: &Settings, service: &Service, target: &Target) -> BackendLimits {
    let server = settings.server_of(service, target);
    let policy = settings.policy(service, "", "");
    BackendLimits {
        slots: u32::try_from(server.slots).unwrap_or(u32::MAX),
        connections: usize::try_from(server.connections).unwrap_or(usize::MAX),
        queue: usize::try_from(policy.queue).unwrap_or(usize::MAX),
    }
}
