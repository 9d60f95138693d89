use {
    crate::{
        fault::Network,
        lock::lock,
        loopback::reserve_range,
        users_platform::{
            AcceptedGrant, Daemon, ExecutedRequest, RawServer, ResponseFault, Server, Store,
            grants::GrantRegistry, server::Journal,
        },
    },
    oriolehoist_time::Clock,
    serde_json::{Value, json},
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
    tokio::time::sleep,
};

/// The host name that all routes match.
pub const HOST: &str = "tides.example";

/// The name of the edge between the daemons and the store.
pub const STORE_EDGE: &str = "store";

/// Returns the name of the edge between the daemons and a server behind a proxy.
pub fn server_edge(index: u8) -> String {
    format!("server-{index}")
}

/// The servers that a deployment starts with.
struct Servers {
    keyed: u8,
    plain: u8,
    behind_proxies: bool,
    /// Their zones, which the servers are in by turns.
    zones: Vec<String>,
    /// The bound on evacuated zones, if the daemons have it in their settings.
    evacuation_bound: Option<Duration>,
}

impl Servers {
    fn in_one_zone(keyed: u8, plain: u8, behind_proxies: bool) -> Servers {
        let zones = vec![ZONE.to_owned()];
        Servers { keyed, plain, behind_proxies, zones, evacuation_bound: None }
    }
}

/// The zone of the daemons, and of all servers unless a test chooses others.
const ZONE: &str = "north";

/// How long the servers take to run a request.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// The timeout and the latency objective of all routes, unless a test chooses others.
const ROUTE_TIMES: [Duration; 2] = [Duration::from_millis(1500), Duration::from_millis(600)];

/// The maximum size of the body of a request, unless a test chooses another.
const MAX_BODY_BYTES: u64 = 64 << 10;

/// The port of the proxies in front of servers.
pub(super) const PROXY_PORT: u16 = 8081;

/// The port at which the daemons reach the store.
const STORE_EDGE_PORT: u16 = 8170;

/// The ports of the daemons' other listeners, in their settings.
pub(super) const INTERNAL_PORTS: &str = "internal_ports = [7720, 7735]";

/// How long the entry of a server that has crashed stays in the store: about three heartbeats.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3500);

/// When the servers that do not run were started, in milliseconds since the Unix epoch.
const BORN: u64 = 1_700_000_000_000;

/// A small deployment on the users' platform. Its service `keyed` is sharded, `plain` is not.
pub struct Deployment {
    /// The fake of the platform's store.
    pub store: Store,
    /// The proxies that can inject faults into connections: one in front of the store, see
    /// [`STORE_EDGE`].
    pub network: Network,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The backend servers.
    pub servers: Vec<Server>,
    journal: Journal,
    grant_registry: GrantRegistry,
    /// The second and third octet of all loopback addresses of the deployment.
    octets: [u8; 2],
    work_dir: PathBuf,
    drain_period: Duration,
    zones: Vec<String>,
    evacuation_bound: Option<Duration>,
    /// The version of the configuration in the store.
    version: u32,
    /// The fields `warmup_s` and `warmup_per_s` of both services.
    pub(super) warm_up: [Value; 2],
    /// The timeout and the latency objective of all routes.
    pub(super) route_times: [Duration; 2],
    /// The maximum size of the body of a request.
    pub(super) max_body_bytes: u64,
}

impl Deployment {
    /// Starts a store, backend servers and daemons, and waits until every daemon is ready.
    ///
    /// `daemons` is the number of daemons; `keyed` and `plain` are the numbers of servers of the
    /// services with these names. Servers that drain may get requests for `drain_period`.
    ///
    /// # Errors
    ///
    /// Returns an error if a part can't be started, or a daemon does not become ready in time.
    pub async fn start(
        program: &Path,
        daemons: u8,
        keyed: u8,
        plain: u8,
        drain_period: Duration,
    ) -> eyre::Result<Deployment> {
        let servers = Servers::in_one_zone(keyed, plain, false);
        Deployment::start_with(program, daemons, servers, drain_period).await
    }

    /// Starts the same with a proxy in front of each server, so that faults can be injected into the
    /// connections to it: see [`server_edge`].
    ///
    /// # Errors
    ///
    /// Returns an error if a part can't be started, or a daemon does not become ready in time.
    pub async fn start_behind_proxies(
        program: &Path,
        daemons: u8,
        keyed: u8,
        plain: u8,
        drain_period: Duration,
    ) -> eyre::Result<Deployment> {
        let servers = Servers::in_one_zone(keyed, plain, true);
        Deployment::start_with(program, daemons, servers, drain_period).await
    }

    /// Starts the same with the servers of each service in these zones by turns, and with a bound on
    /// evacuated zones if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if a part can't be started, or a daemon does not become ready in time.
    pub async fn start_in_zones(
        program: &Path,
        daemons: u8,
        [keyed, plain]: [u8; 2],
        zones: &[&str],
        evacuation_bound: Option<Duration>,
    ) -> eyre::Result<Deployment> {
        let zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
        let servers = Servers { keyed, plain, behind_proxies: false, zones, evacuation_bound };
        Deployment::start_with(program, daemons, servers, Duration::from_secs(2)).await
    }

    async fn start_with(
        program: &Path,
        daemons: u8,
        servers: Servers,
        drain_period: Duration,
    ) -> eyre::Result<Deployment> {
        let octets = reserve_range()?;
        let address =
            |last_octet, port| SocketAddr::from(([127, octets[0], octets[1], last_octet], port));
        let store = Store::start(address(1, 8169)).await?;
        let network = Network::new(Clock::start());
        network.add_edge(STORE_EDGE, address(1, STORE_EDGE_PORT), store.address).await?;
        let work_dir = std::env::temp_dir().join(format!(
            "oriolehoist-platform-{}-{}-{}",
            std::process::id(),
            octets[0],
            octets[1]
        ));
        fs::create_dir_all(&work_dir)?;
        let mut deployment = Deployment {
            store,
            network,
            daemons: Vec::new(),
            servers: Vec::new(),
            journal: Journal::default(),
            grant_registry: GrantRegistry::default(),
            octets,
            work_dir,
            drain_period,
            zones: servers.zones,
            evacuation_bound: servers.evacuation_bound,
            version: 0,
            warm_up: [Value::Null, Value::Null],
            route_times: ROUTE_TIMES,
            max_body_bytes: MAX_BODY_BYTES,
        };
        deployment.publish_configuration();
        for index in 0..servers.keyed + servers.plain {
            let service = if index < servers.keyed { "keyed" } else { "plain" };
            if servers.behind_proxies {
                deployment.add_server_behind_proxy(index, service).await?;
            } else {
                deployment.add_server(index, service).await?;
            }
        }
        for index in 0..daemons {
            let daemon = deployment.daemon(program, index)?;
            deployment.daemons.push(daemon);
        }
        for daemon in &mut deployment.daemons {
            daemon.start()?;
        }
        for daemon in &deployment.daemons {
            daemon.wait_until_ready(Duration::from_secs(12)).await?;
        }
        Ok(deployment)
    }

    fn address(&self, last_octet: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.octets[0], self.octets[1], last_octet], port))
    }

    /// Writes the next version of the configuration to the store, and returns its number.
    pub fn publish_configuration(&mut self) -> u32 {
        self.version += 3;
        let [timeout, slo] = self.route_times.map(|time| time.as_millis() as u64);
        let routes = [
            json!(["k", HOST, "/k/", "idempotent", timeout, slo, 2, null, 2, "keyed"]),
            json!(["b", HOST, "/b/", "non_idempotent", timeout, slo, 1, null, 2, "keyed"]),
            json!(["p", HOST, "/p/", "idempotent", timeout, slo, 2, null, 2, "plain"]),
        ];
        let [seconds, per_second] = &self.warm_up;
        let config = json!({
            "version": format!("{:08x}", self.version),
            "routes": {
                "columns": ["name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority",
                    "traffic_split", "attempts", "service"],
                "rows": routes,
            },
            "services": {
                "columns": ["name", "health_path", "max_conns", "sharded", "warm_s", "warmup_s",
                    "warmup_per_s"],
                "rows": [["keyed", "/health", 110, true, 1.0, seconds, per_second],
                    ["plain", "/health", 110, null, null, seconds, per_second]],
            },
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": self.max_body_bytes,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        });
        self.store.put("op/config", config.to_string().as_bytes());
        self.version
    }

    /// Starts a backend server and registers it.
    ///
    /// # Errors
    ///
    /// Returns an error if its address is taken.
    pub async fn add_server(&mut self, index: u8, service: &str) -> eyre::Result<()> {
        let server = self.start_server(index, service).await?;
        self.register(&server, service, "ready");
        self.servers.push(server);
        Ok(())
    }

    /// Starts a backend server, and registers it at the address of a proxy in front of it. Returns
    /// the name of that edge of the network.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is taken.
    pub async fn add_server_behind_proxy(
        &mut self,
        index: u8,
        service: &str,
    ) -> eyre::Result<String> {
        let server = self.start_server(index, service).await?;
        let (edge, address) = (server_edge(index), self.address(100 + index, PROXY_PORT));
        self.network.add_edge(&edge, address, server.address).await?;
        self.register_at(&server.id, address, server.born, service, "ready");
        self.servers.push(server);
        Ok(edge)
    }

    async fn start_server(&self, index: u8, service: &str) -> eyre::Result<Server> {
        let id = format!("i-{index}");
        let address = self.server_address(index);
        let (journal, grant_registry) = (self.journal.clone(), self.grant_registry.clone());
        let sharded = service == "keyed";
        Server::start(&id, address, sharded, SERVICE_TIME, journal, grant_registry).await
    }

    /// Crashes a server, and starts another one at its address once `down` has passed, under `id` or
    /// else under the same id. The new server registers itself `unregistered` after its start. The
    /// entry of a server that is not back expires as on the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is taken.
    pub async fn replace_server(
        &mut self,
        index: usize,
        id: Option<&str>,
        down: Duration,
        unregistered: Duration,
    ) -> eyre::Result<()> {
        let crashed = self.servers[index].clone();
        crashed.crash();
        if id.is_some() {
            let (store, key) = (self.store.clone(), format!("servers/{}", crashed.id));
            tokio::spawn(async move {
                sleep(ENTRY_LIFETIME).await;
                store.remove(&key);
            });
        }
        sleep(down).await;
        let server = self.reuse_address(&crashed, id.unwrap_or(&crashed.id)).await?;
        server.set_checks_orders(crashed.checks_orders());
        sleep(unregistered).await;
        let service = if server.is_sharded() { "keyed" } else { "plain" };
        self.register(&server, service, "ready");
        self.servers[index] = server;
        Ok(())
    }

    /// Starts a server at the address of one that has ended, without a registration. The
    /// registration of the one that has ended stays.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is still taken.
    pub async fn reuse_address(&self, ended: &Server, id: &str) -> eyre::Result<Server> {
        let (journal, grant_registry) = (self.journal.clone(), self.grant_registry.clone());
        let (address, sharded) = (ended.address, ended.is_sharded());
        Server::start(id, address, sharded, SERVICE_TIME, journal, grant_registry).await
    }

    /// Starts a server of `plain` that corrupts responses, and registers it.
    ///
    /// # Errors
    ///
    /// Returns an error if its address is taken.
    pub async fn add_raw_server(&self, index: u8, fault: ResponseFault) -> eyre::Result<RawServer> {
        let server = RawServer::start(self.server_address(index), fault).await?;
        self.register_address(index, "plain");
        Ok(server)
    }

    /// Registers a server with a state, or updates its registration.
    pub fn register(&self, server: &Server, service: &str, state: &str) {
        self.register_at(&server.id, server.address, server.born, service, state);
    }

    /// Returns the address at which a server with this index listens.
    pub fn server_address(&self, index: u8) -> SocketAddr {
        self.address(100 + index, 8080)
    }

    /// Registers a server that a test runs itself at [`Deployment::server_address`].
    pub fn register_address(&self, index: u8, service: &str) {
        self.register_address_in_state(index, service, "ready");
    }

    /// Registers such a server with a state, or updates its registration.
    pub fn register_address_in_state(&self, index: u8, service: &str, state: &str) {
        let address = self.server_address(index);
        self.register_at(&format!("i-{index}"), address, BORN, service, state);
    }

    pub(super) fn register_address_at(&self, index: u8, address: SocketAddr, service: &str) {
        self.register_at(&format!("i-{index}"), address, BORN, service, "ready");
    }

    /// Registers a server that does not exist, for a service without routes.
    pub fn register_unused(&self, index: u16, state: &str) {
        self.register_at(&format!("unused-{index}"), self.address(1, 1), BORN, "unused", state);
    }

    /// Registers a daemon that does not run, as the other daemons register themselves.
    pub fn register_absent_daemon(&self, index: u16) {
        self.register_absent_daemon_at(index, self.address(1, 1));
    }

    /// Registers a daemon that does not run, at an address that may be another daemon's.
    pub fn register_absent_daemon_at(&self, index: u16, address: SocketAddr) {
        let member = json!({
            "instance": format!("absent-{index}"), "incarnation": 1,
            "address": address.to_string(),
        });
        let key = format!("oriolehoist/members/absent-{index}");
        self.store.put(&key, member.to_string().as_bytes());
    }

    /// Updates a server's registration right after the next page of the servers that is not the
    /// last one.
    pub fn register_between_pages(&self, server: &Server, service: &str, state: &str) {
        let zone = self.zone_at(server.address);
        let entry = registration(server.address, server.born, zone, service, state).to_string();
        self.store.put_between_pages(&format!("servers/{}", server.id), entry.as_bytes());
    }

    fn register_at(&self, id: &str, address: SocketAddr, born: u64, service: &str, state: &str) {
        let entry = registration(address, born, self.zone_at(address), service, state).to_string();
        self.store.put(&format!("servers/{id}"), entry.as_bytes());
    }

    /// Returns the zone of the server at an address.
    pub(super) fn zone_at(&self, address: SocketAddr) -> &str {
        let last_octet = match address {
            SocketAddr::V4(address) => address.ip().octets()[3],
            SocketAddr::V6(_) => 0,
        };
        &self.zones[usize::from(last_octet.saturating_sub(100)) % self.zones.len()]
    }

    /// Returns the servers in a zone.
    pub fn servers_in(&self, zone: &str) -> Vec<Server> {
        let in_zone = |server: &&Server| self.zone_at(server.address) == zone;
        self.servers.iter().filter(in_zone).cloned().collect()
    }

    /// Evacuates a zone, or ends that.
    pub fn set_evacuated(&self, zone: &str, evacuated: bool) {
        let key = format!("op/evacuate/{zone}");
        match evacuated {
            true => self.store.put(&key, b"{}"),
            false => self.store.remove(&key),
        }
    }

    /// Removes a server's registration.
    pub fn unregister(&self, server: &Server) {
        self.store.remove(&format!("servers/{}", server.id));
    }

    /// Returns all requests that the servers ran.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        lock(&self.journal).clone()
    }

    /// Returns descriptions of all grants that overlapped another server's grant, or whose fencing
    /// token was not above those with which other servers had the keys.
    pub fn overlaps(&self) -> Vec<String> {
        lock(&self.grant_registry).violations.clone()
    }

    /// Returns all grants that the servers accepted, in order of arrival.
    pub fn accepted_grants(&self) -> Vec<AcceptedGrant> {
        lock(&self.grant_registry).accepted.clone()
    }

    /// Writes the settings file of a daemon, without starting the daemon.
    fn daemon(&self, program: &Path, index: u8) -> eyre::Result<Daemon> {
        let last_octet = 10 + index;
        let settings_file = self.work_dir.join(format!("daemon-{index}.toml"));
        let caller_address = self.address(last_octet, 8161);
        let readiness_address = self.address(last_octet, 8167);
        let peer_address = self.address(last_octet, 8166);
        let text = format!(
            "[self]\nnode_name = \"edge-{index}\"\nzone = \"north\"\n\
             [network]\n{INTERNAL_PORTS}\nseeds = [\"{}\"]\n\
             [network.listen]\nfront = \"{caller_address}\"\nready = \"{readiness_address}\"\ncontrol = \"{peer_address}\"\n\
             [platform]\nheartbeat_ms = 870\n\
             [platform.platform]\naddress = \"{}\"\n\
             [terms.bounds]\ndrain_ms = {}\ngrace_s = 6\n",
            self.address(10, 8166),
            self.address(1, STORE_EDGE_PORT),
            self.drain_period.as_millis(),
        );
        let evacuation =
            self.evacuation_bound.map(|bound| format!("evac_ms = {}\n", bound.as_millis()));
        fs::write(&settings_file, text + &evacuation.unwrap_or_default())?;
        let log_file = settings_file.with_extension("log");
        let program = program.to_owned();
        Ok(Daemon {
            caller_address,
            readiness_address,
            peer_address,
            program,
            settings_file,
            log_file,
            child: None,
        })
    }

    /// Removes the settings files and logs. After a failure, tests keep them by not calling this.
    pub fn clean_up(self) {
        let _ = fs::remove_dir_all(&self.work_dir);
    }
}

/// Returns a server's entry in the store.
pub(super) fn registration(
    address: SocketAddr,
    born: u64,
    zone: &str,
    service: &str,
    state: &str,
) -> Value {
    json!({
        "service": service, "address": address.to_string(), "zone": zone,
        "version": "v1", "slots": 6, "state": state, "warmup_left_ms": 0, "seq": 1,
        "born": born,
    })
}
