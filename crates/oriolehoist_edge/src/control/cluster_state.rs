use {
    crate::{
        connection::Backends,
        control::message::{Member, ServerList, TermVersion, Versions},
        process::Shared,
        version::{View, ViewParts},
    },
    bytes::Bytes,
    oriolehoist_keyspace::KeyRoutes,
    oriolehoist_log::{Event, report},
    oriolehoist_port::{Configuration, RegisteredServer, ServerState},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// The fraction of a server's connections that the daemons share for requests. The rest is reserved
/// for orders.
const CONNECTION_FRACTION: f64 = 0.85;

/// The cluster state known to a daemon, with a version for each part. No part is replaced by an
/// older version.
#[derive(Default)]
pub(crate) struct ClusterState {
    pub(crate) config: Option<Arc<Configuration>>,
    /// The configuration as written by the operators, for peers that lack it.
    pub(crate) config_bytes: Bytes,
    pub(crate) servers: ServerList,
    /// The latest time at which the server list is known to have matched the store.
    pub(crate) servers_fresh_at: Millis,
    pub(crate) routes: BTreeMap<SmolStr, KeyRoutes>,
    pub(crate) members: Vec<Member>,
    pub(crate) versions: Versions,
    backends: Backends,
}

impl ClusterState {
    /// Applies a configuration if it is newer. Returns whether it was.
    pub(crate) fn merge_config(&mut self, cx: &Shared, bytes: &Bytes) -> bool {
        if *bytes == self.config_bytes {
            return false;
        }
        match cx.platform.decode_configuration(bytes) {
            Ok(config) if config.version > self.versions.config => {
                let (version, routes) = (config.version, config.routes.len());
                report(
                    Event::SettingsInForce,
                    format_args!("version={version:08x} routes={routes}"),
                );
                self.versions.config = version;
                self.config = Some(Arc::new(config));
                self.config_bytes = bytes.clone();
                true
            }
            Ok(_) => false,
            Err(error) => {
                report(Event::SettingsRejected, format_args!("error=\"{error}\""));
                false
            }
        }
    }

    /// Applies a server list unless it is older. Returns whether the servers changed.
    ///
    /// `read_at` is the latest time at which the list is known to have matched the store, and
    /// `source` is where it comes from, for the log.
    pub(crate) fn merge_servers(
        &mut self,
        cx: &Shared,
        read_at: Millis,
        source: &str,
        list: ServerList,
    ) -> bool {
        if list.revision < self.servers.revision {
            return false;
        }
        let confirmed_at = self.servers_fresh_at;
        self.confirm_servers(cx, read_at);
        let changed = list.servers != self.servers.servers;
        if changed {
            let is_draining = |entry: &&RegisteredServer| entry.state == ServerState::Draining;
            let text = format_args!(
                "revision={} servers={} leaving={} from={source} age_ms={}",
                list.revision,
                list.servers.len(),
                list.servers.iter().filter(is_draining).count(),
                cx.clock.now().since(self.servers_fresh_at).0,
            );
            report(Event::ServersChanged, text);
            self.report_draining(cx, confirmed_at, source, &list);
        }
        self.servers = list;
        changed
    }

    /// Records that the server list matched the store at `read_at`.
    pub(crate) fn confirm_servers(&mut self, cx: &Shared, read_at: Millis) {
        self.servers_fresh_at = self.servers_fresh_at.max(read_at);
        cx.set_servers_confirmed_at(self.servers_fresh_at);
    }

    /// Logs the servers that drain in one of the known list, last confirmed at `confirmed_at`, and
    /// the new `list`, but not in both.
    fn report_draining(&self, cx: &Shared, confirmed_at: Millis, source: &str, list: &ServerList) {
        let states = |list: &ServerList| -> HashMap<(SmolStr, u64), bool> {
            let servers = list.servers.iter();
            let state = |server: &RegisteredServer| server.state == ServerState::Draining;
            servers.map(|server| ((server.id.clone(), server.started_at), state(server))).collect()
        };
        let known = states(&self.servers);
        for ((id, started_at), draining) in states(list) {
            let known = known.get(&(id.clone(), started_at)).copied();
            if known.unwrap_or(false) == draining {
                continue;
            }
            let ready_ms = match known {
                Some(false) => cx.clock.now().since(confirmed_at).0 as i64,
                _ => -1,
            };
            let revision = list.revision;
            report(
                Event::ServerDraining,
                format_args!(
                    "server={id} draining={draining} revision={revision} from={source} ready_ms={ready_ms}"
                ),
            );
        }
    }

    /// Applies the routes if their version is higher. Returns whether it was.
    pub(crate) fn merge_routes(
        &mut self,
        version: TermVersion,
        routes: BTreeMap<SmolStr, KeyRoutes>,
    ) -> bool {
        if version <= self.versions.routes {
            return false;
        }
        self.versions.routes = version;
        self.routes = routes;
        true
    }

    /// Returns whether this daemon can serve requests: it has a configuration, and every sharded
    /// service has routes.
    pub(crate) fn can_serve(&self) -> bool {
        let Some(config) = &self.config else { return false };
        let assigned =
            |service: &SmolStr| self.routes.get(service).is_some_and(|routes| !routes.is_empty());
        config.services.iter().all(|(name, spec)| !spec.sharded || assigned(name))
    }

    /// Publishes a new view for the request path.
    pub(crate) fn publish(&mut self, cx: &Shared) {
        let Some(config) = &self.config else { return };
        let backends = self.backends.update(cx.source_ip(), cx.clock, &self.servers.servers);
        let daemon_count = self.members.len();
        let mut services: HashMap<SmolStr, Vec<_>> = HashMap::new();
        for entry in &self.servers.servers {
            let Some(backend) = backends.get(&entry.id) else { continue };
            if let Some(spec) = config.services.get(&entry.service) {
                let limit = f64::from(spec.max_connections) * CONNECTION_FRACTION
                    / daemon_count.max(1) as f64;
                backend.set_connection_limit(limit as u32);
            }
            if entry.state == ServerState::Ready {
                services.entry(entry.service.clone()).or_default().push(Arc::clone(backend));
            }
        }
        let config = Arc::clone(config);
        let peer_addresses = self.members.iter().map(|member| member.address);
        let peer_addresses =
            peer_addresses.filter(|peer| *peer != cx.bootstrap.peer_address).collect();
        let version = self.versions.routes;
        let view = View::from(ViewParts {
            config,
            backends,
            services,
            key_routes: self.routes.clone(),
            daemon_count,
            peer_addresses,
            routes_version: format!("{}.{}", version.term, version.count),
            servers_revision: self.servers.revision.0,
        });
        cx.view.publish(view);
    }
}
