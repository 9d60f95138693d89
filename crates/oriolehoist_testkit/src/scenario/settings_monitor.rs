use {
    oriolehoist_protocol::InstanceName,
    oriolehoist_time::{Clock, Millis},
    reqwest::Client,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{task::JoinHandle, time::sleep},
};

/// Time between two polls of each daemon's settings version.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);

/// A settings version, and when it was first observed to be in force at a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct VersionObservation {
    pub(super) observed_at: Millis,
    pub(super) version: u64,
}

/// Monitors which settings version is in force at each daemon.
pub(super) struct SettingsMonitor {
    observations: Arc<Mutex<BTreeMap<InstanceName, Vec<VersionObservation>>>>,
    poller: JoinHandle<()>,
}

impl SettingsMonitor {
    pub(super) fn start(
        clock: Clock,
        daemons: Vec<(InstanceName, SocketAddr)>,
    ) -> eyre::Result<SettingsMonitor> {
        let observations = Arc::new(Mutex::new(BTreeMap::new()));
        let client = Client::builder().no_proxy().timeout(POLL_TIMEOUT).build()?;
        let poller = tokio::spawn(poll(clock, client, daemons, Arc::clone(&observations)));
        Ok(SettingsMonitor { observations, poller })
    }

    /// Returns the changes of version that were observed at each daemon, in chronological order.
    pub(super) fn observations(&self) -> BTreeMap<InstanceName, Vec<VersionObservation>> {
        self.observations.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }
}

impl Drop for SettingsMonitor {
    fn drop(&mut self) {
        self.poller.abort();
    }
}

async fn poll(
    clock: Clock,
    client: Client,
    daemons: Vec<(InstanceName, SocketAddr)>,
    observations: Arc<Mutex<BTreeMap<InstanceName, Vec<VersionObservation>>>>,
) {
    loop {
        let polls = daemons.iter().map(|(name, address)| {
            let client = client.clone();
            async move {
                let response = client.get(format!("http://{address}/status")).send().await.ok()?;
                let status: serde_json::Value = response.json().await.ok()?;
                Some((name.clone(), status["settings"].as_u64()?))
            }
        });
        let results: Vec<_> = futures::future::join_all(polls).await;
        let observed_at = clock.now();
        for (name, version) in results.into_iter().flatten() {
            record(&observations, name, VersionObservation { observed_at, version });
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn record(
    observations: &Mutex<BTreeMap<InstanceName, Vec<VersionObservation>>>,
    name: InstanceName,
    observation: VersionObservation,
) {
    let mut observations = observations.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let list = observations.entry(name).or_default();
    if list.last().is_none_or(|last| last.version != observation.version) {
        list.push(observation);
    }
}
