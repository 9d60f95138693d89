use {
    crate::{
        cluster::{DaemonHandle, DaemonMode, address::AddressRange, daemon::DaemonState},
        fault::Network,
        site::{Site, SiteTarget},
        standin::{BackendOptions, BackendServer, InstanceListServer, Journal, StoreServer},
    },
    oriolehoist_platform::{Instance, InstanceRole, InstanceState, Revision, Store},
    oriolehoist_protocol::{InstanceName, ServerName, ServiceName, Version, ZoneName},
    oriolehoist_settings::{HEAD_KEY, SettingsVersion},
    oriolehoist_time::{Clock, Millis},
    serde_json::Value as Json,
    std::{fs, net::IpAddr, path::PathBuf, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// The configuration of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// The site to run.
    pub site: Site,
    /// Number of daemons.
    pub daemons: usize,
    /// How the daemons run.
    pub mode: DaemonMode,
    /// How long a change of the instance list takes to become visible.
    pub list_delay: Millis,
    /// How long a server stays cold, and so runs requests more slowly, after its start.
    pub cold_period: Millis,
}

impl ClusterOptions {
    /// Creates options for a site as its users run it: the instance list lags by 1 s.
    pub fn new(site: Site, daemons: usize, mode: DaemonMode) -> ClusterOptions {
        ClusterOptions { site, daemons, mode, list_delay: Millis(1000), cold_period: Millis::ZERO }
    }
}

/// A fake backend server and its entry in the site's settings.
pub struct ServerHandle {
    /// Its entry in the settings, which names the proxy's address.
    pub target: SiteTarget,
    /// The fake server.
    pub server: Arc<BackendServer>,
}

impl ServerHandle {
    /// Returns the name of the network edge over which daemons reach it.
    pub fn edge(&self) -> String {
        format!("server:{}", self.target.server)
    }
}

/// A complete site on this machine.
pub struct Cluster {
    /// The clock of all records and journals.
    pub clock: Clock,
    /// The site.
    pub site: Site,
    /// The network edges between the processes.
    pub network: Network,
    /// The fake of the platform's store.
    pub store: StoreServer,
    /// The fake of the platform's instance list.
    pub instance_list: InstanceListServer,
    /// What the backend servers recorded.
    pub journal: Journal,
    /// The backend servers.
    pub servers: Vec<ServerHandle>,
    /// The daemons.
    pub daemons: Vec<DaemonHandle>,
    pub(super) client: reqwest::Client,
    addresses: AddressRange,
    work_dir: PathBuf,
}

/// How long a site may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks whether a site is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two checks whether a server has crashed.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The key that signs receipts in tests.
const RECEIPT_KEY: &str = "a key for tests, not for use";

impl Cluster {
    /// Starts all processes and waits until every shard is served.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or the site does not become ready in time.
    pub async fn start(options: ClusterOptions) -> eyre::Result<Cluster> {
        let mut cluster = Cluster::prepare(options).await?;
        for server in &cluster.servers {
            server.server.start()?;
        }
        let text = cluster.site.settings(&cluster.targets());
        cluster.apply(&text).await?;
        for daemon in &mut cluster.daemons {
            daemon.start().await?;
        }
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Creates all processes and network edges, but starts only the fake platform services.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn prepare(options: ClusterOptions) -> eyre::Result<Cluster> {
        let clock = Clock::start();
        let addresses = AddressRange::allocate()?;
        let network = Network::new(clock);
        let store = StoreServer::start(clock, addresses.store()).await?;
        let instance_list =
            InstanceListServer::start(clock, addresses.instance_list(), options.list_delay).await?;
        network.add_edge("store", addresses.store_edge(), addresses.store()).await?;
        network.add_edge("list", addresses.instance_list_edge(), addresses.instance_list()).await?;
        let name = format!("oriolehoist-{}-{}", std::process::id(), fastrand::u64(..));
        let work_dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&work_dir)?;
        let mut cluster = Cluster {
            clock,
            network,
            store,
            instance_list,
            journal: Journal::default(),
            servers: Vec::new(),
            daemons: Vec::new(),
            client: reqwest::Client::builder().no_proxy().build()?,
            addresses,
            work_dir,
            site: options.site.clone(),
        };
        cluster.add_servers(&options).await?;
        cluster.add_daemons(&options).await?;
        cluster.publish_instances();
        Ok(cluster)
    }

    async fn add_servers(&mut self, options: &ClusterOptions) -> eyre::Result<()> {
        for service in &options.site.services {
            for number in 0..service.server_count {
                let index = self.servers.len();
                let zone = options.site.zones[number % options.site.zones.len()];
                let server = format!("{}-{}", service.name, number + 1);
                let target = SiteTarget {
                    service: ServiceName::from(service.name),
                    server: ServerName::from(server.as_str()),
                    zone: ZoneName::from(zone),
                    address: self.addresses.server_edge(index),
                };
                let options = BackendOptions {
                    service: target.service.clone(),
                    name: target.server.clone(),
                    address: self.addresses.server(index),
                    slots: service.slots,
                    service_time: service.service_time,
                    cold_period: options.cold_period,
                    keyed: service.keyed,
                };
                let address = options.address;
                let server = BackendServer::new(options, self.clock, self.journal.clone());
                let handle = ServerHandle { target, server: Arc::new(server) };
                self.network.add_edge(&handle.edge(), handle.target.address, address).await?;
                self.servers.push(handle);
            }
        }
        Ok(())
    }

    async fn add_daemons(&mut self, options: &ClusterOptions) -> eyre::Result<()> {
        let key = self.work_dir.join("receipt.key");
        fs::write(&key, RECEIPT_KEY)?;
        for index in 0..options.daemons {
            let zone = options.site.zones[index % options.site.zones.len()];
            let daemon = DaemonHandle {
                name: InstanceName::from(format!("entry-{}", index + 1).as_str()),
                zone: ZoneName::from(zone),
                ip: self.addresses.daemon_ip(index),
                caller_address: self.addresses.caller(index),
                operator_address: self.addresses.operator(index),
                advertised_address: self.addresses.advertised(index),
                settings_file: self.work_dir.join(format!("entry-{}.jsonc", index + 1)),
                mode: options.mode.clone(),
                state: DaemonState::Stopped,
            };
            fs::write(&daemon.settings_file, self.instance_file(index, &daemon, &key))?;
            let edge = daemon.edge();
            self.network
                .add_edge(&edge, daemon.advertised_address, self.addresses.peer(index))
                .await?;
            self.daemons.push(daemon);
        }
        Ok(())
    }

    fn instance_file(&self, index: usize, daemon: &DaemonHandle, key: &std::path::Path) -> String {
        format!(
            r#"{{
  // The settings that this daemon starts with.
  "instance": "{}",
  "zone": "{}",
  "callers": "{}",
  "peers": "{}",
  "advertised": "{}",
  "operators": "{}",
  "store": "{}",
  "instances": "{}",
  "receipt_keys": {{ "k1": {key:?} }},
  "log": "debug"
}}
"#,
            daemon.name,
            daemon.zone,
            daemon.caller_address,
            self.addresses.peer(index),
            daemon.advertised_address,
            daemon.operator_address,
            self.addresses.store_edge(),
            self.addresses.instance_list_edge(),
        )
    }

    /// Publishes all daemons and servers in the instance list.
    fn publish_instances(&self) {
        let daemons = self.daemons.iter().map(|daemon| Instance {
            name: daemon.name.clone(),
            zone: daemon.zone.clone(),
            role: InstanceRole::Entry,
            state: InstanceState::Live,
            address: daemon.advertised_address,
        });
        let servers = self.servers.iter().map(|handle| Instance {
            name: InstanceName(handle.target.server.0.clone()),
            zone: handle.target.zone.clone(),
            role: InstanceRole::Server,
            state: InstanceState::Live,
            address: handle.target.address,
        });
        self.instance_list.set(daemons.chain(servers).collect());
    }

    /// Returns the settings entries of all servers.
    pub fn targets(&self) -> Vec<SiteTarget> {
        self.servers.iter().map(|handle| handle.target.clone()).collect()
    }

    /// Writes settings directly to the store, as the operators' command line does.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid or the store rejects the write.
    pub async fn apply(&self, text: &str) -> eyre::Result<Version> {
        oriolehoist_settings::parse_settings(text)?;
        let store = Store::new(self.addresses.ip(5), self.store.address())?;
        let head = store.get(HEAD_KEY).await?;
        let (base, revision) = match &head {
            Some(entry) => {
                (serde_json::from_str::<SettingsVersion>(&entry.value)?.version, entry.revision)
            }
            None => (Version(0), Revision::ABSENT),
        };
        let next = SettingsVersion {
            version: base.next(),
            base,
            author: "test".into(),
            time: self.clock.unix_time(),
            write_id: "test".into(),
            text: text.into(),
        };
        store.compare_and_swap(HEAD_KEY, revision, serde_json::to_string(&next)?).await?;
        Ok(next.version)
    }

    /// Waits until every running daemon routes every shard to an owner.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        let started = self.clock.now();
        loop {
            if self.is_ready().await {
                return Ok(());
            }
            let elapsed = Duration::from(self.clock.now().since(started));
            eyre::ensure!(elapsed < READY_TIMEOUT, "site not ready; logs in {:?}", self.work_dir);
            sleep(READY_POLL_INTERVAL).await;
        }
    }

    async fn is_ready(&self) -> bool {
        for daemon in self.daemons.iter().filter(|d| d.is_alive()) {
            let served = |service: &Json| service["unserved_shards"] == 0;
            let ready = match self.status(daemon).await {
                Ok(status) => status["services"]
                    .as_array()
                    .is_some_and(|services| !services.is_empty() && services.iter().all(served)),
                Err(_) => false,
            };
            if !ready {
                return false;
            }
        }
        true
    }

    /// Kills servers simultaneously and makes their edges refuse connections.
    ///
    /// # Errors
    ///
    /// Returns an error if an edge can't be changed.
    pub async fn kill_servers(&self, servers: &[usize]) -> eyre::Result<()> {
        let kills: Vec<_> = servers
            .iter()
            .map(|&index| Arc::clone(&self.servers[index].server))
            .map(|server| tokio::task::spawn_blocking(move || server.kill()))
            .collect();
        for &index in servers {
            self.network.set_listening(&self.servers[index].edge(), false).await?;
        }
        for kill in kills {
            kill.await?;
        }
        Ok(())
    }

    /// Starts a server with a new incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub async fn start_server(&self, index: usize) -> eyre::Result<()> {
        let handle = &self.servers[index];
        handle.server.start()?;
        self.network.set_listening(&handle.edge(), true).await
    }

    /// Kills a daemon and makes its edge refuse connections from peers.
    ///
    /// # Errors
    ///
    /// Returns an error if its edge can't be changed.
    pub async fn kill_daemon(&mut self, index: usize) -> eyre::Result<()> {
        self.daemons[index].kill();
        self.network.set_listening(&self.daemons[index].edge(), false).await
    }

    /// Starts a daemon that has been killed or stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub async fn start_daemon(&mut self, index: usize) -> eyre::Result<()> {
        self.network.set_listening(&self.daemons[index].edge(), true).await?;
        self.daemons[index].start().await
    }

    /// Returns the local address of a daemon's outgoing connections, by the daemon's index.
    pub fn daemon_ip(&self, index: usize) -> IpAddr {
        self.daemons[index].ip
    }

    /// Returns the local address of an operator's connections, and the store's address for them.
    pub fn operator_endpoints(&self) -> (IpAddr, std::net::SocketAddr) {
        (self.addresses.ip(6), self.addresses.store_edge())
    }

    /// Makes a server's edge refuse connections as soon as the server has crashed by itself.
    pub fn close_edges_on_crash(&self) {
        for handle in &self.servers {
            let (network, edge) = (self.network.clone(), handle.edge());
            let server = Arc::downgrade(&handle.server);
            tokio::spawn(async move {
                let mut was_alive = true;
                while let Some(server) = server.upgrade() {
                    let alive = server.is_alive();
                    drop(server);
                    if was_alive && !alive {
                        let _ = network.set_listening(&edge, false).await;
                    }
                    was_alive = alive;
                    sleep(CRASH_POLL_INTERVAL).await;
                }
            });
        }
    }

    /// Returns the directory of the daemons' files and logs.
    pub fn work_dir(&self) -> &std::path::Path {
        &self.work_dir
    }

    /// Removes the daemons' files and logs, after a test has passed.
    pub fn clean_up(&self) {
        let _ = fs::remove_dir_all(&self.work_dir);
    }
}
