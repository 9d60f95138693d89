use {
    crate::{
        caller::{Balancer, Records, run_load},
        cluster::{Cluster, ClusterOptions, DaemonMode},
        oracle::{Availability, Violation},
        scenario::{
            judge::judge,
            script::{Action, Script, Selector, Setting},
            watch::SettingsWatch,
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

/// What came of a scenario.
#[derive(Clone, Debug)]
pub struct Report {
    /// How many requests were sent.
    pub requests: usize,
    /// How many were served.
    pub served: usize,
    /// How long keys were out of service.
    pub availability: Availability,
    /// How many shards changed owner.
    pub moves: u64,
    /// Every broken promise and unmet expectation; empty if all is well.
    pub violations: Vec<Violation>,
}

/// What happened while a scenario ran, for the judge.
pub(super) struct Happened {
    pub(super) started: Millis,
    pub(super) ended: Millis,
    pub(super) left: Vec<Left>,
    pub(super) applied: Vec<Applied>,
    pub(super) crashes: u64,
    pub(super) store_calls: u64,
}

/// A server that was told to leave.
pub(super) struct Left {
    pub(super) server: ServerName,
    pub(super) at: Millis,
}

/// A version of the settings that was accepted.
pub(super) struct Applied {
    pub(super) version: Version,
    pub(super) at: Millis,
}

/// How long a site is watched after its load has ended.
const AFTERMATH: Duration = Duration::from_millis(300);
/// How many bytes of answers pass before a connection is cut: the first answer's head and a part
/// Runs a scenario against daemons of this kind.
///
/// # Errors
///
/// Returns an error if the site can't be started or a step can't be carried out.
pub async fn run(script: &Script, mode: DaemonMode) -> eyre::Result<Report> {
    let mut site = site::by_name(&script.site).ok_or_eyre("no such site")?;
    for service in site.services.iter_mut().filter(|service| service.keyed) {
        service.extra = script.service_extra.clone();
    }
    let mut options = ClusterOptions::new(site, script.daemons, mode);
    options.list_lag = script.list_lag;
    let cluster = Cluster::start(options).await?;
    let mut runner = Runner::new(cluster)?;
    runner.play(script).await?;
    Ok(runner.report(script))
}

pub(super) struct Runner {
    pub(super) cluster: Cluster,
    records: Records,
    watch: SettingsWatch,
    happened: Happened,
    calls_before: u64,
    frozen_servers: Vec<usize>,
    frozen_daemons: Vec<usize>,
    balancer: Arc<Balancer>,
    /// Operators at work, each with when its edit was accepted.
    edits: JoinSet<eyre::Result<Applied>>,
}

impl Runner {
    fn new(cluster: Cluster) -> eyre::Result<Runner> {
        let named = cluster.daemons.iter().map(|d| (d.name.clone(), d.operators)).collect();
        let callers = cluster.daemons.iter().map(|d| d.callers).collect();
        let now = cluster.clock.now();
        Ok(Runner {
            watch: SettingsWatch::start(cluster.clock, named)?,
            balancer: Arc::new(Balancer::start(callers)),
            calls_before: cluster.store.calls(),
            records: Records::default(),
            frozen_servers: Vec::new(),
            frozen_daemons: Vec::new(),
            edits: JoinSet::new(),
            happened: Happened {
                started: now,
                ended: now,
                left: Vec::new(),
                applied: Vec::new(),
                crashes: 0,
                store_calls: 0,
            },
            cluster,
        })
    }

    async fn play(&mut self, script: &Script) -> eyre::Result<()> {
        let started = self.cluster.clock.now();
        self.happened.started = started;
        let mut loads = JoinSet::new();
        for planned in script.loads.clone() {
            let (clock, records) = (self.cluster.clock, self.records.clone());
            let balancer = Arc::clone(&self.balancer);
            loads.spawn(async move {
                sleep(Duration::from(planned.start)).await;
                run_load(clock, balancer, records, planned.mix, planned.length).finish().await;
            });
        }
        for step in &script.steps {
            let early = (started + step.at).since(self.cluster.clock.now());
            sleep(Duration::from(early)).await;
            self.act(&step.action).await?;
        }
        while loads.join_next().await.is_some() {}
        while let Some(edit) = self.edits.join_next().await {
            match edit? {
                Ok(applied) => self.happened.applied.push(applied),
                // An edit that clashes is refused, which is an outcome like any other.
                Err(error) => println!("an edit was not accepted: {error:#}"),
            }
        }
        sleep(AFTERMATH).await;
        self.happened.ended = self.cluster.clock.now();
        self.happened.store_calls = self.cluster.store.calls() - self.calls_before;
        Ok(())
    }

    fn report(self, script: &Script) -> Report {
        let report =
            judge(script, &self.cluster, &self.records.all(), &self.happened, &self.watch.seen());
        if report.violations.is_empty() {
            self.cluster.clean_up();
        }
        report
    }

    async fn act(&mut self, action: &Action) -> eyre::Result<()> {
        match action {
            Action::Kill(selector) => self.kill(selector).await?,
            Action::Freeze(selector) => self.freeze(selector).await?,
            Action::Thaw => self.thaw(),
            Action::StartKilled => self.start_killed().await?,
            Action::Stop(selector) => {
                for index in self.daemons(selector).await? {
                    self.stop_daemon(index).await?;
                }
            }
            Action::RollDaemons => self.roll_daemons().await?,
            Action::ListLeaving(selector) => {
                for index in self.servers(selector)? {
                    self.note_leaving(index);
                    let name = self.cluster.servers[index].target.server.0.clone();
                    self.cluster.board.set_state(&InstanceName(name), InstanceState::Leaving);
                }
            }
            Action::Drain(selector) => self.drain(selector).await?,
            Action::ReportDraining(selector) => {
                for index in self.servers(selector)? {
                    self.note_leaving(index);
                    self.cluster.servers[index].server.drain(true);
                }
            }
            Action::Misreport(selector) => {
                for index in self.servers(selector)? {
                    self.cluster.servers[index].server.misreport(true);
                }
            }
            Action::Fault(kind, from, to) => self.fault(*kind, from, to).await?,
            Action::Isolate(selector) => self.isolate(selector).await?,
            Action::Heal => self.cluster.network.heal_all(),
            Action::StaleStore(stale) => self.cluster.store.set_stale(*stale),
            Action::Set(settings) => self.set(settings).await?,
            Action::SendCrash(times) => self.send_crash(*times).await?,
        }
        Ok(())
    }

    pub(super) fn servers(&self, selector: &Selector) -> eyre::Result<Vec<usize>> {
        Ok(match selector {
            Selector::Owner(key) => vec![self.cluster.last_server_of(key)?],
            Selector::NotOwners(key) => {
                let owner = self.cluster.last_server_of(key)?;
                (0..self.cluster.servers.len()).filter(|index| *index != owner).collect()
            }
            Selector::Server(number) => vec![number - 1],
            Selector::Servers => (0..self.cluster.servers.len()).collect(),
            _ => Vec::new(),
        })
    }

    pub(super) async fn daemons(&self, selector: &Selector) -> eyre::Result<Vec<usize>> {
        let count = self.cluster.daemons.len();
        let service = self.cluster.site.keyed().name;
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
        self.cluster.kill_servers(&self.servers(selector)?).await?;
        for index in self.daemons(selector).await? {
            self.cluster.kill_daemon(index).await?;
        }
        Ok(())
    }

    async fn freeze(&mut self, selector: &Selector) -> eyre::Result<()> {
        for index in self.servers(selector)? {
            self.cluster.servers[index].server.freeze(true);
            self.frozen_servers.push(index);
        }
        for index in self.daemons(selector).await? {
            self.cluster.daemons[index].freeze(true);
            self.frozen_daemons.push(index);
        }
        Ok(())
    }

    fn thaw(&mut self) {
        for index in self.frozen_servers.drain(..) {
            self.cluster.servers[index].server.freeze(false);
        }
        for index in self.frozen_daemons.drain(..) {
            self.cluster.daemons[index].freeze(false);
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
            // The balancer must have seen the new one before the next one goes.
            sleep(Duration::from_millis(500)).await;
        }
        Ok(())
    }

    fn note_leaving(&mut self, index: usize) {
        let server = self.cluster.servers[index].target.server.clone();
        self.happened.left.push(Left { server, at: self.cluster.clock.now() });
    }

    async fn drain(&mut self, selector: &Selector) -> eyre::Result<()> {
        for index in self.servers(selector)? {
            let target = self.cluster.servers[index].target.clone();
            self.note_leaving(index);
            let (text, base) = self.in_force().await?;
            let mut json = oriolehoist_settings::parse(&text)?.json;
            json["services"][target.service.as_str()]["targets"][target.server.as_str()]["state"] =
                Json::from("drain");
            self.commit(&json, base).await?;
        }
        Ok(())
    }

    /// Every setting is changed by an operator who started from the same version.
    async fn set(&mut self, settings: &[Setting]) -> eyre::Result<()> {
        let (text, base) = self.in_force().await?;
        for setting in settings {
            let mut json = oriolehoist_settings::parse(&text)?.json;
            let value = setting.path.split('/').fold(&mut json, |branch, name| &mut branch[name]);
            *value = Json::from(setting.value);
            let store = self.operator()?;
            let clock = self.cluster.clock;
            self.edits.spawn(async move {
                let text = serde_json::to_string_pretty(&json)?;
                let done = commit_settings(&store, &text, base, "operator").await?;
                Ok(Applied { version: done.version, at: clock.now() })
            });
        }
        Ok(())
    }

    async fn commit(&mut self, json: &Json, base: Version) -> eyre::Result<()> {
        let text = serde_json::to_string_pretty(json)?;
        let done = commit_settings(&self.operator()?, &text, base, "operator").await?;
        self.note_applied(done.version);
        Ok(())
    }

    fn note_applied(&mut self, version: Version) {
        self.happened.applied.push(Applied { version, at: self.cluster.clock.now() });
    }

    fn operator(&self) -> eyre::Result<Store> {
        let (source, address) = self.cluster.operator_end();
        Ok(Store::new(source, address)?)
    }

    /// Reads what an operator would start from. The store is looked into from within, so that a
    /// fault between the operator and the store concerns the write only.
    async fn in_force(&self) -> eyre::Result<(String, Version)> {
        let head = self.cluster.store.peek(HEAD_KEY).ok_or_eyre("no settings")?;
        let head: SettingsVersion = serde_json::from_str(&head)?;
        Ok((head.text, head.version))
    }

    async fn send_crash(&mut self, times: u32) -> eyre::Result<()> {
        self.cluster.follow_crashes();
        let client = reqwest::Client::builder().no_proxy().build()?;
        let service = self.cluster.site.keyed().name;
        for turn in 0..times {
            let alive = self.cluster.alive_servers();
            let daemon = &self.cluster.daemons[turn as usize % self.cluster.daemons.len()];
            let url = format!("http://{}/{service}/crash", daemon.callers);
            let request = client.post(url).body("poison").header(KEY, "key-7");
            let request = request.header(REQUEST_ID, format!("crash-{turn}"));
            let _ = request.timeout(Duration::from_secs(5)).send().await;
            sleep(Duration::from_millis(300)).await;
            let now = self.cluster.alive_servers();
            self.happened.crashes += alive.saturating_sub(now) as u64;
            self.start_killed().await?;
            // The shards of a server that came back are granted again.
            sleep(Duration::from_millis(700)).await;
        }
        Ok(())
    }
}
