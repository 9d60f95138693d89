use {
    crate::{
        connection::{Backends, warm_up_policy},
        control::message::{ConfigSource, Member, RouteEntry, RouteKey, SyncMessage, Versions},
        process::Shared,
        version::{View, ViewParts},
    },
    bytes::Bytes,
    oriolehoist_evacuation::EvacuatedZones,
    oriolehoist_fleet::{FleetSize, MAX_DIRECT},
    oriolehoist_keyspace::{KeyRoutes, RoutedRange, ServerIncarnation},
    oriolehoist_log::{Event, report},
    oriolehoist_port::{Configuration, KeyRange, RegisteredServer, Revision, ServerState},
    oriolehoist_registry::{Registry, RegistryVersion},
    oriolehoist_replica::{MapUpdate, ReplicatedMap, TermVersion},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
    },
};

/// The fraction of a server's connections that the daemons share for requests. The rest is reserved
/// for orders.
const CONNECTION_FRACTION: f64 = 0.85;
/// The most daemons, with this one, that send each other their reports without relays.
const MAX_DIRECT_FLEET: usize = MAX_DIRECT + 1;
/// How long the news of a request to a server with a limit takes to reach the other daemons.
const DIRECT_REPORT_DELAY: Millis = Millis(60);
/// The same by way of relays: three intervals between messages.
const RELAYED_REPORT_DELAY: Millis = Millis(350);
/// How long after a change of the configuration the assigner sends it to the daemons that have not
/// noticed it themselves.
const CONFIG_PUSH_DELAY: Millis = Millis(500);
/// A change was noticed late if the version before was last confirmed longer ago than this: the
/// assigner's lease, which confirms it while a watch waits, has missed a renewal.
const CONFIG_NOTICED_LATE_AFTER: Millis = Millis(800);

/// The cluster state known to a daemon, with a version for each part. No part is replaced by an
/// older version.
#[derive(Default)]
pub(crate) struct ClusterState {
    pub(crate) config: Option<Arc<Configuration>>,
    /// The version of the configuration, or zero.
    pub(crate) config_version: u64,
    /// The configuration as written by the operators, for peers that lack it.
    pub(crate) config_bytes: Bytes,
    /// The latest time at which the configuration is known to have been the store's.
    config_fresh_at: Millis,
    /// From when on the configuration is sent to the daemons that lack it.
    pub(crate) config_push_at: Millis,
    pub(crate) registry: Registry,
    /// The servers according to the registry.
    pub(crate) servers: Vec<RegisteredServer>,
    servers_version: RegistryVersion,
    /// When the servers change next without a change of the registry.
    servers_expire_at: Option<Millis>,
    /// The earliest time at which each draining server may have started to drain.
    draining_since: HashMap<ServerIncarnation, Millis>,
    /// The latest time at which the registry is known to have matched the store.
    pub(crate) servers_fresh_at: Millis,
    pub(crate) routes: ReplicatedMap<RouteKey, RouteEntry>,
    /// The same routes by service.
    key_routes: BTreeMap<SmolStr, KeyRoutes>,
    pub(crate) members: ReplicatedMap<SmolStr, Member>,
    pub(crate) evacuations: EvacuatedZones,
    /// The number of daemons, with those that don't respond.
    pub(super) fleet: FleetSize,
    /// The size of the fleet in the last view.
    pub(super) published_fleet_size: Option<usize>,
    backends: Backends,
}

impl ClusterState {
    /// Returns the versions of all parts.
    pub(crate) fn versions(&self) -> Versions {
        Versions {
            config: self.config_version,
            servers: self.servers_version,
            routes: self.routes.version(),
            members: self.members.version(),
            evacuations: self.evacuations.version(),
        }
    }

    /// Applies a configuration if it is newer. Returns whether it was.
    pub(crate) fn merge_config(
        &mut self,
        cx: &Shared,
        bytes: &Bytes,
        source: &ConfigSource,
    ) -> bool {
        if *bytes == self.config_bytes {
            return false;
        }
        match cx.platform.decode_configuration(bytes) {
            Ok(config) if config.version > self.config_version => {
                let (version, routes) = (config.version, config.routes.len());
                let confirmed_ms = cx.config_age().0;
                let text = format_args!(
                    "version={version:08x} routes={routes} from={source} \
                     confirmed_ms={confirmed_ms}"
                );
                report(Event::SettingsInForce, text);
                self.config = Some(Arc::new(self.with_known_warm_ups(config)));
                self.config_bytes = bytes.clone();
                // The daemons watch the configuration themselves, and in general they all notice a
                // change at the same time. If it was noticed late, they may have missed it as well.
                let noticed_late =
                    self.config_version > 0 && cx.config_age() > CONFIG_NOTICED_LATE_AFTER;
                // By way of relays nobody else watches it.
                let is_relayed = self.members.get().len() > MAX_DIRECT;
                let immediate = noticed_late || is_relayed;
                let delay = if immediate { Millis::ZERO } else { CONFIG_PUSH_DELAY };
                self.config_push_at = cx.clock.now() + delay;
                self.config_version = version;
                true
            }
            Ok(_) => false,
            Err(error) => {
                report(Event::SettingsRejected, format_args!("error=\"{error}\""));
                false
            }
        }
    }

    /// Returns a configuration in which services whose warm-up is malformed keep that of the last one.
    fn with_known_warm_ups(&self, mut config: Configuration) -> Configuration {
        for (service, reason) in &config.malformed_warm_ups {
            report(Event::WarmUpMalformed, format_args!("service={service} error=\"{reason}\""));
            let known = self.config.as_ref().and_then(|known| known.services.get(service));
            if let Some(spec) = config.services.get_mut(service) {
                spec.server_warm_up = known.and_then(|known| known.server_warm_up);
            }
        }
        config
    }

    /// Records that the configuration was the store's at `at`.
    pub(crate) fn confirm_config(&mut self, cx: &Shared, at: Millis) {
        self.config_fresh_at = self.config_fresh_at.max(at);
        cx.set_config_confirmed_at(self.config_fresh_at);
    }

    /// Applies registrations that this daemon has read from the store with a request sent at
    /// `read_at`, unless they are older. Returns whether the servers changed.
    pub(crate) fn merge_registry(
        &mut self,
        cx: &Shared,
        read_at: Millis,
        registry: Registry,
    ) -> bool {
        if registry.revision() < self.registry.revision() {
            return false;
        }
        self.registry = registry;
        let changed = self.refresh_servers(cx, "store");
        self.confirm_servers(cx, read_at);
        changed
    }

    /// Applies the assigner's changes of the registrations, if there are any, and records whether
    /// this daemon now has the same ones as the assigner. Returns whether the servers changed.
    pub(crate) fn merge_registry_changes(&mut self, cx: &Shared, sync: &mut SyncMessage) -> bool {
        let now = cx.clock.now();
        let sent = sync.versions.servers;
        let mut changed = false;
        if let Some(changes) = sync.servers.take() {
            let matches = self.registry.apply(now, changes);
            changed = self.refresh_servers(cx, &sync.from.instance);
            if !matches && self.registry.revision() <= sent.revision {
                // Without a revision the next message contains all registrations.
                self.servers_version.revision = Revision::default();
            }
        }
        if self.servers_version.digest == sent.digest {
            self.registry.advance(sent.revision);
            self.servers_version.revision = self.registry.revision();
            self.confirm_servers(cx, now.since(sync.servers_age));
        }
        changed
    }

    /// Records that the registrations matched the store at `read_at`.
    pub(crate) fn confirm_servers(&mut self, cx: &Shared, read_at: Millis) {
        self.servers_fresh_at = self.servers_fresh_at.max(read_at);
        cx.set_servers_confirmed_at(self.servers_fresh_at);
    }

    /// Updates the servers if they change by the passing of time. Returns whether they did.
    pub(crate) fn expire_servers(&mut self, cx: &Shared) -> bool {
        let due = self.servers_expire_at.is_some_and(|at| at <= cx.clock.now());
        due && self.refresh_servers(cx, "time")
    }

    /// Updates the servers from the registry. Returns whether they changed.
    fn refresh_servers(&mut self, cx: &Shared, source: &str) -> bool {
        let now = cx.clock.now();
        self.registry.drop_removed(now);
        self.servers_expire_at = self.registry.next_change_after(now);
        self.observe_warm_ups();
        self.servers_version = self.registry.version();
        let servers = self.registry.servers(now);
        if servers == self.servers {
            return false;
        }
        let is_draining = |entry: &&RegisteredServer| entry.state == ServerState::Draining;
        let text = format_args!(
            "revision={} servers={} leaving={} from={source} age_ms={}",
            self.registry.revision(),
            servers.len(),
            servers.iter().filter(is_draining).count(),
            now.since(self.servers_fresh_at).0,
        );
        report(Event::ServersChanged, text);
        let known = std::mem::replace(&mut self.servers, servers);
        self.update_draining(cx, source, &known);
        true
    }

    /// Passes what registrations say about the warm-up of servers on to the known ones. A registration
    /// that was not known before was written after the registry was last known to match the store.
    fn observe_warm_ups(&self) {
        for (server, revision, is_registered) in self.registry.registrations() {
            match self.backends.get(server) {
                Some(backend) if is_registered => {
                    let remaining = server.warm_up_remaining;
                    backend.on_registration(revision, self.servers_fresh_at, remaining);
                }
                Some(backend) => backend.on_registration_gone(),
                None => {}
            }
        }
    }

    /// Updates since when servers may have been draining, and logs the changes. `known` are the
    /// servers as of before.
    ///
    /// The drain period starts when the store accepts that a server drains. So it is counted from
    /// when the server was last known to be ready; from long ago if it never was.
    fn update_draining(&mut self, cx: &Shared, source: &str, known: &[RegisteredServer]) {
        let ready: HashSet<ServerIncarnation> = known
            .iter()
            .filter(|server| server.state == ServerState::Ready)
            .map(ServerIncarnation::of)
            .collect();
        let mut earlier = std::mem::take(&mut self.draining_since);
        for server in &self.servers {
            let incarnation = ServerIncarnation::of(server);
            let since = earlier.remove(&incarnation);
            let draining = server.state == ServerState::Draining;
            if draining != since.is_some() {
                let was_ready = ready.contains(&incarnation);
                let ready_ms = was_ready.then(|| cx.clock.now().since(self.servers_fresh_at).0);
                let ready_ms = ready_ms.map_or(-1, |millis| millis as i64);
                let (id, revision) = (&server.id, self.registry.revision());
                report(
                    Event::ServerDraining,
                    format_args!(
                        "server={id} draining={draining} revision={revision} from={source} \
                         ready_ms={ready_ms}"
                    ),
                );
            }
            if draining {
                let start =
                    if ready.contains(&incarnation) { self.servers_fresh_at } else { Millis::ZERO };
                self.draining_since.insert(incarnation, since.unwrap_or(start));
            }
        }
    }

    /// Replaces the routes by a new version.
    pub(crate) fn set_routes(
        &mut self,
        version: TermVersion,
        key_routes: BTreeMap<SmolStr, KeyRoutes>,
    ) {
        let routed = key_routes.iter().flat_map(|(service, routes)| {
            routes.0.iter().map(|routed| {
                let route = (routed.range.last, routed.holder.clone());
                ((service.clone(), routed.range.first), route)
            })
        });
        self.routes.set(version, routed.collect());
        self.key_routes = key_routes;
    }

    /// Applies an update of the routes if it leads to a later version. Returns whether it did.
    pub(crate) fn merge_routes(&mut self, update: MapUpdate<RouteKey, RouteEntry>) -> bool {
        if !self.routes.apply(update) {
            return false;
        }
        self.key_routes.clear();
        for ((service, first), (last, holder)) in self.routes.get() {
            let range = KeyRange { first: *first, last: *last };
            let routed = RoutedRange { range, holder: holder.clone() };
            self.key_routes.entry(service.clone()).or_default().0.push(routed);
        }
        true
    }

    /// Returns the routes by service.
    pub(crate) fn key_routes(&self) -> &BTreeMap<SmolStr, KeyRoutes> {
        &self.key_routes
    }

    /// Returns whether this daemon can serve requests: it has a configuration, and every sharded
    /// service has routes.
    pub(crate) fn can_serve(&self) -> bool {
        let Some(config) = &self.config else { return false };
        let assigned = |service: &SmolStr| {
            self.key_routes.get(service).is_some_and(|routes| !routes.is_empty())
        };
        config.services.iter().all(|(name, spec)| !spec.sharded || assigned(name))
    }

    /// Publishes a new view for the request path.
    pub(crate) fn publish(&mut self, cx: &Shared) {
        let Some(config) = &self.config else { return };
        let backends =
            self.backends.update(cx.backend_context(), &self.servers, &self.draining_since);
        let fleet_size = self.fleet.get(cx.clock.now());
        self.published_fleet_size = fleet_size;
        let report_delay = match fleet_size {
            Some(0..=MAX_DIRECT_FLEET) => DIRECT_REPORT_DELAY,
            _ => RELAYED_REPORT_DELAY,
        };
        let mut services: HashMap<SmolStr, Vec<_>> = HashMap::new();
        for entry in &self.servers {
            let Some(backend) = backends.get(&entry.id) else { continue };
            if let (Some(spec), Some(daemons)) = (config.services.get(&entry.service), fleet_size) {
                let limit = f64::from(spec.max_connections) * CONNECTION_FRACTION / daemons as f64;
                backend.set_connection_limit(limit as u32);
            }
            let sharded = config.services.get(&entry.service).is_some_and(|spec| spec.sharded);
            let spec = config.services.get(&entry.service);
            let policy = spec.and_then(|spec| spec.server_warm_up);
            let policy = policy.map(|warm_up| warm_up_policy(&cx.bootstrap.bounds, warm_up));
            backend.set_rate_context(fleet_size, report_delay, policy);
            backend.set_evacuated_from(self.evacuated_from(cx, entry, sharded));
            if entry.state == ServerState::Ready {
                services.entry(entry.service.clone()).or_default().push(Arc::clone(backend));
            }
        }
        let config = Arc::clone(config);
        self.observe_builds(cx);
        self.observe_warm_ups();
        let peer_addresses = self.members.get().values().map(|member| member.address);
        let peer_addresses =
            peer_addresses.filter(|peer| *peer != cx.bootstrap.peer_address).collect();
        let handover_port = cx.bootstrap.handover_address.map(|address| address.port());
        let others = self.members.get().values();
        let others = others.filter(|member| member.address != cx.bootstrap.peer_address);
        let handover_peers = others.filter_map(|member| {
            let address = SocketAddr::new(member.address.ip(), handover_port?);
            Some((address, member.zone == cx.bootstrap.zone))
        });
        let handover_peers = handover_peers.collect();
        let version = self.routes.version();
        let view = View::from(ViewParts {
            config,
            backends,
            services,
            key_routes: self.key_routes.clone(),
            evacuated_zones: self.evacuations.names().clone(),
            fleet_size,
            peer_addresses,
            handover_peers,
            routes_version: format!("{}.{}", version.term, version.count),
            servers_revision: self.registry.revision().0,
        });
        cx.peers().retain(|peer| view.peer_ips.contains(&peer.ip()));
        cx.paths().set_servers(view.backends_by_short_id.keys().copied());
        cx.view.publish(view);
    }
}
