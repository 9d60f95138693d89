use {
    crate::{
        cluster::{DaemonHandle, DaemonMode, address::Addresses, daemon::DaemonLife},
        fault::Network,
        site::{Site, SiteTarget},
        standin::{BackendOptions, BackendServer, InstanceBoard, Journal, StoreServer},
    },
    oriolehoist_platform::{Instance, InstanceRole, InstanceState, Revision, Store},
    oriolehoist_protocol::{InstanceName, ServerName, ServiceName, Version, ZoneName},
    oriolehoist_settings::{HEAD_KEY, SettingsVersion},
    oriolehoist_time::{Clock, Millis},
    serde_json::Value as Json,
    std::{fs, net::IpAddr, path::PathBuf, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// What a cluster is made of.
#[derive(Clone, Debug)]
pub struct ClusterOptions {
    /// The site.
    pub site: Site,
    /// How many daemons.
    pub daemons: usize,
    /// How the daemons run.
    pub mode: DaemonMode,
    /// How far the instance list lags.
    pub list_lag: Millis,
    /// How long servers stay slow after a start.
    pub cold_for: Millis,
}

impl ClusterOptions {
    /// A site as its users run it, with this many daemons.
    pub fn new(site: Site, daemons: usize, mode: DaemonMode) -> ClusterOptions {
        ClusterOptions { site, daemons, mode, list_lag: Millis(1000), cold_for: Millis::ZERO }
    }
}

/// A backend server with its place in the site.
pub struct ServerHandle {
    /// Its place.
    pub target: SiteTarget,
    /// The stand-in.
    pub server: Arc<BackendServer>,
}

impl ServerHandle {
    /// Returns the name of the edge on which daemons reach it.
    pub fn edge(&self) -> String {
        format!("server:{}", self.target.server)
    }
}

/// A whole site on this machine.
pub struct Cluster {
    /// The clock of all records.
    pub clock: Clock,
    /// The site.
    pub site: Site,
    /// The edges between the processes.
    pub network: Network,
    /// The platform's store.
    pub store: StoreServer,
    /// The platform's instance list.
    pub board: InstanceBoard,
    /// What the servers wrote down.
    pub journal: Journal,
    /// The backend servers.
    pub servers: Vec<ServerHandle>,
    /// The daemons.
    pub daemons: Vec<DaemonHandle>,
    pub(super) client: reqwest::Client,
    addresses: Addresses,
    work_dir: PathBuf,
}

/// The longest wait for a whole site to be ready.
const READY_WAIT: Duration = Duration::from_secs(20);
/// Time between looks at whether it is.
const READY_STEP: Duration = Duration::from_millis(50);
/// Time between looks at whether a server has crashed.
const CRASH_LOOK: Duration = Duration::from_millis(2);
/// The key that signs receipts in tests.
const RECEIPT_KEY: &str = "a key for tests, not for use";

impl Cluster {
    /// Starts everything and waits until every shard is served.
    ///
    /// # Errors
    ///
    /// Returns an error if a part can't be started or the site does not become ready.
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

    /// Creates every part and its edges, and starts the platform only.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened at.
    pub async fn prepare(options: ClusterOptions) -> eyre::Result<Cluster> {
        let clock = Clock::start();
        let addresses = Addresses::draw();
        let network = Network::new(clock);
        let store = StoreServer::start(clock, addresses.store()).await?;
        let board = InstanceBoard::start(clock, addresses.board(), options.list_lag).await?;
        network.add_edge("store", addresses.store_edge(), addresses.store()).await?;
        network.add_edge("list", addresses.board_edge(), addresses.board()).await?;
        let name = format!("oriolehoist-{}-{}", std::process::id(), fastrand::u64(..));
        let work_dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&work_dir)?;
        let mut cluster = Cluster {
            clock,
            network,
            store,
            board,
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
        cluster.list_instances();
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
                    cold_for: options.cold_for,
                    keyed: service.keyed,
                };
                let real = options.address;
                let server = BackendServer::new(options, self.clock, self.journal.clone());
                let handle = ServerHandle { target, server: Arc::new(server) };
                self.network.add_edge(&handle.edge(), handle.target.address, real).await?;
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
                caller_address: self.addresses.callers(index),
                operator_address: self.addresses.operators(index),
                advertised_address: self.addresses.advertised_address(index),
                file: self.work_dir.join(format!("entry-{}.jsonc", index + 1)),
                mode: options.mode.clone(),
                life: DaemonLife::None,
            };
            fs::write(&daemon.file, self.instance_file(index, &daemon, &key))?;
            let edge = daemon.edge();
            self.network
                .add_edge(&edge, daemon.advertised_address, self.addresses.peers(index))
                .await?;
            self.daemons.push(daemon);
        }
        Ok(())
    }

    fn instance_file(&self, index: usize, daemon: &DaemonHandle, key: &std::path::Path) -> String {
        format!(
            r#"{{
  // What this daemon must know to start.
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
            self.addresses.peers(index),
            daemon.advertised_address,
            daemon.operator_address,
            self.addresses.store_edge(),
            self.addresses.board_edge(),
        )
    }

    /// Puts every part on the instance list.
    fn list_instances(&self) {
        let entries = self.daemons.iter().map(|daemon| Instance {
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
        self.board.set(entries.chain(servers).collect());
    }

    /// Returns the place of each server.
    pub fn targets(&self) -> Vec<SiteTarget> {
        self.servers.iter().map(|handle| handle.target.clone()).collect()
    }

    /// Writes settings straight into the store, as an operator's tool does.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are wrong or the store refuses them.
    pub async fn apply(&self, text: &str) -> eyre::Result<Version> {
        oriolehoist_settings::parse(text)?;
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
            time: self.clock.unix(),
            write_id: "test".into(),
            text: text.into(),
        };
        store.compare_and_swap(HEAD_KEY, revision, serde_json::to_string(&next)?).await?;
        Ok(next.version)
    }

    /// Waits until every live daemon routes every shard to an owner.
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
            let waited = Duration::from(self.clock.now().since(started));
            eyre::ensure!(waited < READY_WAIT, "the site is not ready; see {:?}", self.work_dir);
            sleep(READY_STEP).await;
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

    /// Kills servers, all in the same moment, and refuses connections to them.
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

    /// Starts a server, with a new incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub async fn start_server(&self, index: usize) -> eyre::Result<()> {
        let handle = &self.servers[index];
        handle.server.start()?;
        self.network.set_listening(&handle.edge(), true).await
    }

    /// Kills a daemon and refuses connections from its peers.
    ///
    /// # Errors
    ///
    /// Returns an error if its edge can't be changed.
    pub async fn kill_daemon(&mut self, index: usize) -> eyre::Result<()> {
        self.daemons[index].kill();
        self.network.set_listening(&self.daemons[index].edge(), false).await
    }

    /// Starts a daemon that was killed or stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub async fn start_daemon(&mut self, index: usize) -> eyre::Result<()> {
        self.network.set_listening(&self.daemons[index].edge(), true).await?;
        self.daemons[index].start().await
    }

    /// Returns the addresses that daemons connect from, by the daemons' places.
    pub fn daemon_ip(&self, index: usize) -> IpAddr {
        self.daemons[index].ip
    }

    /// Returns the address that an operator connects from, and where the store is for an operator.
    pub fn operator_endpoints(&self) -> (IpAddr, std::net::SocketAddr) {
        (self.addresses.ip(6), self.addresses.store_edge())
    }

    /// Makes the edge of a server refuse connections as soon as the server has crashed by itself.
    pub fn follow_crashes(&self) {
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
                    sleep(CRASH_LOOK).await;
                }
            });
        }
    }

    /// Returns where the daemons' files and logs are.
    pub fn work_dir(&self) -> &std::path::Path {
        &self.work_dir
    }

    /// Removes the daemons' files and logs, after a test that passed.
    pub fn clean_up(&self) {
        let _ = fs::remove_dir_all(&self.work_dir);
    }
}
