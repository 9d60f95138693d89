use {
    crate::{
        caller::{Balancer, RequestLog, start_load},
        cluster::{Cluster, ClusterOptions, DaemonMode},
        oracle::{Availability, Violation},
        scenario::{
            evaluation::evaluate,
            script::{Action, Script, Selector, Setting},
            settings_monitor::SettingsMonitor,
        },
        site,
    },
    eyre::OptionExt,
    oriolehoist_ctl::commit_settings,
    oriolehoist_platform::{InstanceState, Store},
    oriolehoist_protocol::{InstanceName, KEY, REQUEST_ID, ServerName, Version},
    oriolehoist_settings::{HEAD_KEY, SettingsVersion},
    oriolehoist_time::Millis,
    serde_json::Value as Json,
    std::{sync::Arc, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// The results of a scenario.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of requests that were sent, with retries.
    pub requests: usize,
    /// Number of requests that were served.
    pub served: usize,
    /// The outages of keys.
    pub availability: Availability,
    /// Number of changes of owner, summed over all shards.
    pub moves: u64,
    /// All violated invariants and unmet expectations; empty if the scenario passed.
    pub violations: Vec<Violation>,
}

/// What happened while a scenario ran, as input for its evaluation.
pub(super) struct Timeline {
    pub(super) started: Millis,
    pub(super) ended: Millis,
    pub(super) departures: Vec<Departure>,
    pub(super) applied_versions: Vec<AppliedVersion>,
    pub(super) crashes: u64,
    pub(super) store_requests: u64,
}

/// A server that was told to leave.
pub(super) struct Departure {
    pub(super) server: ServerName,
    pub(super) at: Millis,
}

/// A version of the settings that the store accepted.
pub(super) struct AppliedVersion {
    pub(super) version: Version,
    pub(super) at: Millis,
}

/// How long the run goes on after the loads have ended.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Runs a scenario on a new cluster whose daemons run in `mode`.
///
/// # Errors
///
/// Returns an error if the site can't be started or a step can't be carried out.
pub async fn run(script: &Script, mode: DaemonMode) -> eyre::Result<Report> {
    let mut site = site::by_name(&script.site).ok_or_eyre("the scenario names an unknown site")?;
    for service in site.services.iter_mut().filter(|service| service.keyed) {
        service.extra_settings = script.extra_service_settings.clone();
    }
    let mut options = ClusterOptions::new(site, script.daemons, mode);
    options.list_delay = script.list_delay;
    let cluster = Cluster::start(options).await?;
    let mut runner = Runner::new(cluster)?;
    runner.execute_script(script).await?;
    Ok(runner.report(script))
}

/// Carries out the steps of a scenario on a cluster and records what happens.
pub(super) struct Runner {
    pub(super) cluster: Cluster,
    records: RequestLog,
    settings_monitor: SettingsMonitor,
    timeline: Timeline,
    /// Number of requests to the store before the scenario started.
    store_requests_before: u64,
    frozen_servers: Vec<usize>,
    frozen_daemons: Vec<usize>,
    balancer: Arc<Balancer>,
    /// Concurrent edits of operators, each with the time at which it was accepted.
    edits: JoinSet<eyre::Result<AppliedVersion>>,
}

impl Runner {
    fn new(cluster: Cluster) -> eyre::Result<Runner> {
        let operator_addresses =
            cluster.daemons.iter().map(|d| (d.name.clone(), d.operator_address)).collect();
        let callers = cluster.daemons.iter().map(|d| d.caller_address).collect();
        let now = cluster.clock.now();
        Ok(Runner {
            settings_monitor: SettingsMonitor::start(cluster.clock, operator_addresses)?,
            balancer: Arc::new(Balancer::start(callers)),
            store_requests_before: cluster.store.request_count(),
            records: RequestLog::default(),
            frozen_servers: Vec::new(),
            frozen_daemons: Vec::new(),
            edits: JoinSet::new(),
            timeline: Timeline {
                started: now,
                ended: now,
                departures: Vec::new(),
                applied_versions: Vec::new(),
                crashes: 0,
                store_requests: 0,
            },
            cluster,
        })
    }

    async fn execute_script(&mut self, script: &Script) -> eyre::Result<()> {
        let started = self.cluster.clock.now();
        self.timeline.started = started;
        let mut loads = JoinSet::new();
        for planned in script.loads.clone() {
            let (clock, records) = (self.cluster.clock, self.records.clone());
            let balancer = Arc::clone(&self.balancer);
            loads.spawn(async move {
                sleep(Duration::from(planned.start)).await;
                start_load(clock, balancer, records, planned.profile, planned.duration)
                    .finish()
                    .await;
            });
        }
        for step in &script.steps {
            let wait = (started + step.at).since(self.cluster.clock.now());
            sleep(Duration::from(wait)).await;
            self.execute(&step.action).await?;
        }
        while loads.join_next().await.is_some() {}
        while let Some(edit) = self.edits.join_next().await {
            match edit? {
                Ok(applied) => self.timeline.applied_versions.push(applied),
                // A rejected edit, such as one with a conflict, is a valid outcome.
                Err(error) => println!("settings edit rejected: {error:#}"),
            }
        }
        sleep(SETTLE_TIME).await;
        self.timeline.ended = self.cluster.clock.now();
        self.timeline.store_requests =
            self.cluster.store.request_count() - self.store_requests_before;
        Ok(())
    }

    fn report(self, script: &Script) -> Report {
        let report = evaluate(
            script,
            &self.cluster,
            &self.records.all(),
            &self.timeline,
            &self.settings_monitor.observations(),
        );
        if report.violations.is_empty() {
            self.cluster.clean_up();
        }
        report
    }

    async fn execute(&mut self, action: &Action) -> eyre::Result<()> {
        match action {
            Action::Kill(selector) => self.kill(selector).await?,
            Action::Freeze(selector) => self.freeze(selector).await?,
            Action::Thaw => self.thaw(),
            Action::StartKilled => self.start_killed().await?,
            Action::Stop(selector) => {
                for index in self.select_daemons(selector).await? {
                    self.stop_daemon(index).await?;
                }
            }
            Action::RollDaemons => self.roll_daemons().await?,
            Action::ListLeaving(selector) => {
                for index in self.select_servers(selector)? {
                    self.record_departure(index);
                    let name = self.cluster.servers[index].target.server.0.clone();
                    self.cluster
                        .instance_list
                        .set_state(&InstanceName(name), InstanceState::Leaving);
                }
            }
            Action::ListWithout(selector) => {
                for index in self.select_servers(selector)? {
                    let name = self.cluster.servers[index].target.server.0.clone();
                    self.cluster.instance_list.remove(&InstanceName(name));
                }
            }
            Action::Drain(selector) => self.drain(selector).await?,
            Action::ReportDraining(selector) => {
                for index in self.select_servers(selector)? {
                    self.record_departure(index);
                    self.cluster.servers[index].server.set_draining(true);
                }
            }
            Action::Misreport(selector) => {
                for index in self.select_servers(selector)? {
                    self.cluster.servers[index].server.set_misreporting(true);
                }
            }
            Action::Fault(kind, from, to) => self.apply_fault(*kind, from, to).await?,
            Action::Isolate(selector) => self.isolate(selector).await?,
            Action::Heal => self.cluster.network.clear_all_faults(),
            Action::StaleStore(stale) => self.cluster.store.set_stale(*stale),
            Action::Set(settings) => self.set_concurrently(settings).await?,
            Action::SendCrash(times) => self.send_crash_requests(*times).await?,
        }
        Ok(())
    }

    /// Returns the indices of the selected servers; none if the selector is for daemons.
    pub(super) fn select_servers(&self, selector: &Selector) -> eyre::Result<Vec<usize>> {
        Ok(match selector {
            Selector::Owner(key) => vec![self.cluster.last_server_for_key(key)?],
            Selector::NotOwners(key) => {
                let owner = self.cluster.last_server_for_key(key)?;
                (0..self.cluster.servers.len()).filter(|index| *index != owner).collect()
            }
            Selector::Server(number) => vec![number - 1],
            Selector::Servers => (0..self.cluster.servers.len()).collect(),
            _ => Vec::new(),
        })
    }

    /// Returns the indices of the selected daemons; none if the selector is for servers.
    pub(super) async fn select_daemons(&self, selector: &Selector) -> eyre::Result<Vec<usize>> {
        let count = self.cluster.daemons.len();
        let service = self.cluster.site.keyed_service().name;
        Ok(match selector {
            Selector::Assigner => vec![self.cluster.assigner(service).await?],
            Selector::Follower => {
                let assigner = self.cluster.assigner(service).await?;
                vec![usize::from(assigner == 0)]
            }
            Selector::Followers => {
                let assigner = self.cluster.assigner(service).await?;
                (0..count).filter(|index| *index != assigner).collect()
            }
            Selector::Daemon(number) => vec![number - 1],
            Selector::Daemons => (0..count).collect(),
            Selector::Zone(number) => {
                let zones = self.cluster.site.zones.len();
                (0..count).filter(|index| index % zones == number - 1).collect()
            }
            _ => Vec::new(),
        })
    }

    async fn kill(&mut self, selector: &Selector) -> eyre::Result<()> {
        self.cluster.kill_servers(&self.select_servers(selector)?).await?;
        for index in self.select_daemons(selector).await? {
            self.cluster.kill_daemon(index).await?;
        }
        Ok(())
    }

    async fn freeze(&mut self, selector: &Selector) -> eyre::Result<()> {
        for index in self.select_servers(selector)? {
            self.cluster.servers[index].server.set_frozen(true);
            self.frozen_servers.push(index);
        }
        for index in self.select_daemons(selector).await? {
            self.cluster.daemons[index].set_frozen(true);
            self.frozen_daemons.push(index);
        }
        Ok(())
    }

    fn thaw(&mut self) {
        for index in self.frozen_servers.drain(..) {
            self.cluster.servers[index].server.set_frozen(false);
        }
        for index in self.frozen_daemons.drain(..) {
            self.cluster.daemons[index].set_frozen(false);
        }
    }

    async fn start_killed(&mut self) -> eyre::Result<()> {
        for index in 0..self.cluster.servers.len() {
            if !self.cluster.servers[index].server.is_alive() {
                self.cluster.start_server(index).await?;
            }
        }
        for index in 0..self.cluster.daemons.len() {
            if !self.cluster.daemons[index].is_alive() {
                self.cluster.start_daemon(index).await?;
            }
        }
        Ok(())
    }

    async fn stop_daemon(&mut self, index: usize) -> eyre::Result<()> {
        self.cluster.daemons[index].stop().await?;
        let edge = self.cluster.daemons[index].edge();
        self.cluster.network.set_listening(&edge, false).await
    }

    async fn roll_daemons(&mut self) -> eyre::Result<()> {
        for index in 0..self.cluster.daemons.len() {
            self.stop_daemon(index).await?;
            self.cluster.start_daemon(index).await?;
            self.cluster.wait_ready().await?;
            // The balancer must find the restarted daemon ready before the next one stops.
            sleep(Duration::from_millis(500)).await;
        }
        Ok(())
    }

    fn record_departure(&mut self, index: usize) {
        let server = self.cluster.servers[index].target.server.clone();
        self.timeline.departures.push(Departure { server, at: self.cluster.clock.now() });
    }

    async fn drain(&mut self, selector: &Selector) -> eyre::Result<()> {
        for index in self.select_servers(selector)? {
            let target = self.cluster.servers[index].target.clone();
            self.record_departure(index);
            let (text, base) = self.current_settings().await?;
            let mut json = oriolehoist_settings::parse_settings(&text)?.json;
            json["services"][target.service.as_str()]["targets"][target.server.as_str()]["state"] =
                Json::from("drain");
            self.commit(&json, base).await?;
        }
        Ok(())
    }

    /// Changes several settings concurrently, each by a different operator. All operators start
    /// from the same version.
    async fn set_concurrently(&mut self, settings: &[Setting]) -> eyre::Result<()> {
        let (text, base) = self.current_settings().await?;
        for setting in settings {
            let mut json = oriolehoist_settings::parse_settings(&text)?.json;
            let value = setting.path.split('/').fold(&mut json, |branch, name| &mut branch[name]);
            *value = Json::from(setting.value);
            let store = self.operator_store()?;
            let clock = self.cluster.clock;
            self.edits.spawn(async move {
                let text = serde_json::to_string_pretty(&json)?;
                let committed = commit_settings(&store, &text, base, "operator").await?;
                Ok(AppliedVersion { version: committed.version, at: clock.now() })
            });
        }
        Ok(())
    }

    async fn commit(&mut self, json: &Json, base: Version) -> eyre::Result<()> {
        let text = serde_json::to_string_pretty(json)?;
        let committed = commit_settings(&self.operator_store()?, &text, base, "operator").await?;
        self.record_applied_version(committed.version);
        Ok(())
    }

    fn record_applied_version(&mut self, version: Version) {
        self.timeline
            .applied_versions
            .push(AppliedVersion { version, at: self.cluster.clock.now() });
    }

    fn operator_store(&self) -> eyre::Result<Store> {
        let (source, address) = self.cluster.operator_endpoints();
        Ok(Store::new(source, address)?)
    }

    /// Returns the settings that an operator would start from. They are read directly from the fake
    /// store, so that a fault between the operator and the store affects only the write.
    async fn current_settings(&self) -> eyre::Result<(String, Version)> {
        let head = self.cluster.store.peek(HEAD_KEY).ok_or_eyre("the store has no settings")?;
        let head: SettingsVersion = serde_json::from_str(&head)?;
        Ok((head.text, head.version))
    }

    async fn send_crash_requests(&mut self, times: u32) -> eyre::Result<()> {
        self.cluster.close_edges_on_crash();
        let client = reqwest::Client::builder().no_proxy().build()?;
        let service = self.cluster.site.keyed_service().name;
        for attempt in 0..times {
            let alive_before = self.cluster.alive_server_count();
            let daemon = &self.cluster.daemons[attempt as usize % self.cluster.daemons.len()];
            let url = format!("http://{}/{service}/crash", daemon.caller_address);
            let request = client.post(url).body("poison").header(KEY, "key-7");
            let request = request.header(REQUEST_ID, format!("crash-{attempt}"));
            let _ = request.timeout(Duration::from_secs(5)).send().await;
            sleep(Duration::from_millis(300)).await;
            let alive_after = self.cluster.alive_server_count();
            self.timeline.crashes += alive_before.saturating_sub(alive_after) as u64;
            self.start_killed().await?;
            // Wait until the shards of the restarted server have been granted again.
            sleep(Duration::from_millis(700)).await;
        }
        Ok(())
    }
}
