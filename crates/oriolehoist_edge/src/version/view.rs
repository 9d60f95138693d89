use {
    crate::connection::Backend,
    derive_more::Deref,
    oriolehoist_keyspace::KeyRoutes,
    oriolehoist_port::{Configuration, Route},
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
};

/// What control puts into a view.
pub(crate) struct Parts {
    pub(crate) config: Arc<Configuration>,
    /// Every known server, by its id.
    pub(crate) backends: HashMap<SmolStr, Arc<Backend>>,
    /// The servers of each service that stay.
    pub(crate) services: HashMap<SmolStr, Vec<Arc<Backend>>>,
    /// Who holds which keys, for services that are split by key.
    pub(crate) keys: BTreeMap<SmolStr, KeyRoutes>,
    /// How many daemons share the servers; zero before it is known.
    pub(crate) daemons: usize,
    /// Where the other daemons are.
    pub(crate) peers: Vec<SocketAddr>,
    /// The term and the count of the routes, for the log.
    pub(crate) routes_stamp: String,
    /// The store's revision of the servers.
    pub(crate) servers_at: u64,
}

/// Everything that serving a request needs to know. Immutable: a change makes a new one.
#[derive(Deref)]
pub(crate) struct View {
    #[deref]
    parts: Parts,
    /// For each host its routes, those with the longest prefix first.
    hosts: HashMap<SmolStr, Vec<usize>>,
    /// Every known server, by its number.
    pub(crate) numbers: HashMap<u32, Arc<Backend>>,
}

impl From<Parts> for View {
    fn from(parts: Parts) -> View {
        let routes = &parts.config.routes;
        let mut hosts: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let host = SmolStr::new(route.host.to_ascii_lowercase());
            hosts.entry(host).or_default().push(index);
        }
        for indices in hosts.values_mut() {
            indices.sort_by_key(|index| std::cmp::Reverse(routes[*index].prefix.len()));
        }
        let numbers = parts.backends.values();
        let numbers = numbers.map(|backend| (backend.number, Arc::clone(backend))).collect();
        View { parts, hosts, numbers }
    }
}

impl View {
    /// Returns the route for a request: that with the longest prefix of the path.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let mut matching = routes.iter().map(|index| &self.config.routes[*index]);
        matching.find(|route| path.starts_with(route.prefix.as_str()))
    }
}
