use {
    crate::connection::Backend,
    derive_more::Deref,
    oriolehoist_admission::{Headrooms, RouteNeed},
    oriolehoist_keyspace::KeyRoutes,
    oriolehoist_port::{Configuration, Route},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        net::{IpAddr, SocketAddr},
        sync::Arc,
    },
};

/// The input for a [`View`], assembled by the control actor.
pub(crate) struct ViewParts {
    pub(crate) config: Arc<Configuration>,
    /// All known servers, by id.
    pub(crate) backends: HashMap<SmolStr, Arc<Backend>>,
    /// The servers of each service that are not draining.
    pub(crate) services: HashMap<SmolStr, Vec<Arc<Backend>>>,
    /// The owners of the keys of sharded services.
    pub(crate) key_routes: BTreeMap<SmolStr, KeyRoutes>,
    /// The evacuated zones.
    pub(crate) evacuated_zones: BTreeSet<SmolStr>,
    /// The number of daemons that share the servers, if it is known.
    pub(crate) fleet_size: Option<usize>,
    /// The peer addresses of the other daemons.
    pub(crate) peer_addresses: Vec<SocketAddr>,
    /// Where the other daemons take requests, each with whether it is in the same zone.
    pub(crate) handover_peers: Vec<(SocketAddr, bool)>,
    /// The version of the routes, as `term.count`, for the log.
    pub(crate) routes_version: String,
    /// The store revision of the server list.
    pub(crate) servers_revision: u64,
}

/// An immutable snapshot of everything that is needed to serve a request. Every change publishes a
/// new one.
#[derive(Deref)]
pub(crate) struct View {
    #[deref]
    parts: ViewParts,
    /// The indices of each host's routes, sorted by descending length of the prefix.
    routes_by_host: HashMap<SmolStr, Vec<usize>>,
    /// The priorities of the routes, the most urgent first.
    priorities: Vec<u32>,
    /// What the queues of each service leave for its more urgent routes.
    headrooms: HashMap<SmolStr, Headrooms>,
    /// The addresses from which the other daemons send datagrams.
    pub(crate) peer_ips: HashSet<IpAddr>,
    /// All known servers, by short id.
    pub(crate) backends_by_short_id: HashMap<u32, Arc<Backend>>,
}

impl From<ViewParts> for View {
    fn from(parts: ViewParts) -> View {
        let routes = &parts.config.routes;
        let mut routes_by_host: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let host = SmolStr::new(route.host.to_ascii_lowercase());
            routes_by_host.entry(host).or_default().push(index);
        }
        for indices in routes_by_host.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        let backends_by_short_id = parts.backends.values();
        let backends_by_short_id =
            backends_by_short_id.map(|backend| (backend.short_id, Arc::clone(backend))).collect();
        let mut priorities: Vec<u32> =
            parts.config.routes.iter().map(|route| route.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        let peer_ips = parts.peer_addresses.iter().map(SocketAddr::ip).collect();
        let headrooms = headrooms(&parts.config.routes);
        View { parts, routes_by_host, priorities, headrooms, peer_ips, backends_by_short_id }
    }
}

fn need(route: &Route) -> RouteNeed {
    RouteNeed { priority: route.priority, latency_objective: route.latency_objective }
}

/// Returns the headrooms of each service that routes lead to.
fn headrooms(routes: &[Route]) -> HashMap<SmolStr, Headrooms> {
    let mut needs: HashMap<SmolStr, Vec<RouteNeed>> = HashMap::new();
    for route in routes {
        let need = need(route);
        // A service with the weight zero gets none of the route's requests.
        for (service, _) in route.service_weights.iter().filter(|(_, weight)| *weight > 0) {
            needs.entry(service.clone()).or_default().push(need);
        }
    }
    let collect =
        |(service, needs): (SmolStr, Vec<RouteNeed>)| (service, needs.into_iter().collect());
    needs.into_iter().map(collect).collect()
}

impl View {
    /// Returns how many priorities of other routes are more urgent than that of `route`.
    pub(crate) fn rank(&self, route: &Route) -> u32 {
        self.priorities.partition_point(|priority| *priority < route.priority) as u32
    }

    /// Returns the longest wait of a route's request at a server of a service that leaves the service's
    /// more urgent routes within their objectives, or `None` if there are no such routes.
    pub(crate) fn headroom(&self, route: &Route, service: &str) -> Option<Millis> {
        self.headrooms.get(service)?.get(route.priority)
    }

    /// Returns the wait that the less urgent routes of a service leave to a route's requests, or `None` if
    /// there are no such routes.
    pub(crate) fn reserved_wait(&self, route: &Route, service: &str) -> Option<Millis> {
        self.headrooms.get(service)?.reserved_wait(need(route))
    }

    /// Returns whether a zone is evacuated.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated_zones.contains(zone)
    }

    /// Returns the route of the host that matches the path with the longest prefix.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.routes_by_host.get(name.to_ascii_lowercase().as_str())?;
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let mut matching = routes.iter().map(|index| &self.config.routes[*index]);
        matching.find(|route| path.starts_with(route.prefix.as_str()))
    }
}
