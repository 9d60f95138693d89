use {
    crate::connection::Backend,
    oriolehoist_keyspace::KeyRoutes,
    oriolehoist_port::{Configuration, Route},
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
};

/// Everything that serving a request needs to know. Immutable: a change makes a new one.
pub(crate) struct View {
    pub(crate) config: Arc<Configuration>,
    /// For each host its routes, those with the longest prefix first.
    hosts: HashMap<SmolStr, Vec<usize>>,
    /// Every known server, by its id.
    pub(crate) backends: HashMap<SmolStr, Arc<Backend>>,
    /// The servers of each service that stay, and those that leave.
    pub(crate) services: HashMap<SmolStr, Vec<Arc<Backend>>>,
    /// Who holds which keys, for services that are split by key.
    pub(crate) keys: BTreeMap<SmolStr, KeyRoutes>,
    /// How many daemons share the servers.
    pub(crate) daemons: usize,
    /// Where the other daemons are.
    pub(crate) peers: Vec<SocketAddr>,
    /// Every known server, by its number.
    pub(crate) numbers: HashMap<u32, Arc<Backend>>,
    /// The term and the count of the routes, for the log.
    pub(crate) routes_stamp: String,
    /// The store's revision of the servers.
    pub(crate) servers_at: u64,
}

/// What a view is made of.
pub(crate) struct Parts {
    pub(crate) config: Arc<Configuration>,
    pub(crate) backends: HashMap<SmolStr, Arc<Backend>>,
    pub(crate) services: HashMap<SmolStr, Vec<Arc<Backend>>>,
    pub(crate) keys: BTreeMap<SmolStr, KeyRoutes>,
    pub(crate) daemons: usize,
    pub(crate) peers: Vec<SocketAddr>,
    pub(crate) routes_stamp: String,
    pub(crate) servers_at: u64,
}

impl From<Parts> for View {
    fn from(parts: Parts) -> View {
        let Parts { config, backends, services, keys, daemons, peers, routes_stamp, servers_at } =
            parts;
        let mut hosts: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            let host = SmolStr::new(route.host.to_ascii_lowercase());
            hosts.entry(host).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].prefix.len()));
        }
        let numbers = backends.values().map(|backend| (backend.number, Arc::clone(backend)));
        let numbers = numbers.collect();
        View {
            config,
            hosts,
            backends,
            services,
            keys,
            daemons,
            peers,
            numbers,
            routes_stamp,
            servers_at,
        }
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
