use {
    crate::{
        connection::Backends,
        control::message::{Member, ServerList, Stamp, Versions},
        process::Shared,
        version::{Parts, View},
    },
    bytes::Bytes,
    oriolehoist_keyspace::KeyRoutes,
    oriolehoist_log::{Event, report},
    oriolehoist_port::{Configuration, ServerState},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// The part of a server's connections that the daemons use together; the rest is for orders.
const CONNECTION_SHARE: f64 = 0.85;

/// What a daemon believes, with the version of each matter. No version ever falls.
#[derive(Default)]
pub(crate) struct Knowledge {
    pub(crate) config: Option<Arc<Configuration>>,
    /// The configuration as the operators wrote it, for peers that lack it.
    pub(crate) config_bytes: Bytes,
    pub(crate) servers: ServerList,
    /// When the store had these servers, at the latest.
    pub(crate) servers_fresh_at: Millis,
    pub(crate) routes: BTreeMap<SmolStr, KeyRoutes>,
    pub(crate) members: Vec<Member>,
    pub(crate) versions: Versions,
    backends: Backends,
}

impl Knowledge {
    /// Takes a configuration if it is newer. Returns whether it was.
    pub(crate) fn offer_config(&mut self, cx: &Shared, bytes: &Bytes) -> bool {
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

    /// Takes a reading of the servers unless it is older. Returns whether they changed.
    pub(crate) fn offer_servers(&mut self, fresh_at: Millis, list: ServerList) -> bool {
        if list.at < self.servers.at {
            return false;
        }
        self.servers_fresh_at = self.servers_fresh_at.max(fresh_at);
        let changed = list.servers != self.servers.servers;
        if changed {
            let leaving =
                |entry: &&oriolehoist_port::RegisteredServer| entry.state == ServerState::Draining;
            let text = format_args!(
                "revision={} servers={} leaving={}",
                list.at,
                list.servers.len(),
                list.servers.iter().filter(leaving).count(),
            );
            report(Event::ServersChanged, text);
        }
        self.servers = list;
        changed
    }

    /// Takes who holds which keys, if the stamp is higher. Returns whether it was.
    pub(crate) fn offer_routes(
        &mut self,
        stamp: Stamp,
        routes: BTreeMap<SmolStr, KeyRoutes>,
    ) -> bool {
        if stamp <= self.versions.routes {
            return false;
        }
        self.versions.routes = stamp;
        self.routes = routes;
        true
    }

    /// Returns whether requests can be served.
    pub(crate) fn can_serve(&self) -> bool {
        let Some(config) = &self.config else { return false };
        let assigned =
            |service: &SmolStr| self.routes.get(service).is_some_and(|routes| !routes.is_empty());
        config.services.iter().all(|(name, spec)| !spec.sharded || assigned(name))
    }

    /// Publishes what serving requests needs.
    pub(crate) fn publish(&mut self, cx: &Shared) {
        let Some(config) = &self.config else { return };
        let backends = self.backends.update(cx.source(), cx.clock, &self.servers.servers);
        let daemons = self.members.len();
        let mut services: HashMap<SmolStr, Vec<_>> = HashMap::new();
        for entry in &self.servers.servers {
            let Some(backend) = backends.get(&entry.id) else { continue };
            if let Some(spec) = config.services.get(&entry.service) {
                let share =
                    f64::from(spec.max_connections) * CONNECTION_SHARE / daemons.max(1) as f64;
                backend.set_share(share as u32);
            }
            if entry.state == ServerState::Ready {
                services.entry(entry.service.clone()).or_default().push(Arc::clone(backend));
            }
        }
        let config = Arc::clone(config);
        let peers = self.members.iter().map(|member| member.address);
        let peers = peers.filter(|peer| *peer != cx.boot.peer_address).collect();
        let stamp = self.versions.routes;
        let view = View::from(Parts {
            config,
            backends,
            services,
            keys: self.routes.clone(),
            daemons,
            peers,
            routes_stamp: format!("{}.{}", stamp.term, stamp.count),
            servers_at: self.servers.at.0,
        });
        cx.view.publish(view);
    }
}
