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

/// Time between looks at each daemon's settings version.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// The longest wait for a daemon's word.
const LOOK_TIMEOUT: Duration = Duration::from_millis(200);

/// Which settings version a daemon had, at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Sighting {
    pub(super) at: Millis,
    pub(super) version: u64,
}

/// Watches which settings are in force at each daemon.
pub(super) struct SettingsWatch {
    seen: Arc<Mutex<BTreeMap<InstanceName, Vec<Sighting>>>>,
    looking: JoinHandle<()>,
}

impl SettingsWatch {
    pub(super) fn start(
        clock: Clock,
        daemons: Vec<(InstanceName, SocketAddr)>,
    ) -> eyre::Result<SettingsWatch> {
        let seen = Arc::new(Mutex::new(BTreeMap::new()));
        let client = Client::builder().no_proxy().timeout(LOOK_TIMEOUT).build()?;
        let looking = tokio::spawn(look(clock, client, daemons, Arc::clone(&seen)));
        Ok(SettingsWatch { seen, looking })
    }

    /// Returns what each daemon was seen to have, in the order of time.
    pub(super) fn seen(&self) -> BTreeMap<InstanceName, Vec<Sighting>> {
        self.seen.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }
}

impl Drop for SettingsWatch {
    fn drop(&mut self) {
        self.looking.abort();
    }
}

async fn look(
    clock: Clock,
    client: Client,
    daemons: Vec<(InstanceName, SocketAddr)>,
    seen: Arc<Mutex<BTreeMap<InstanceName, Vec<Sighting>>>>,
) {
    loop {
        let looks = daemons.iter().map(|(name, address)| {
            let client = client.clone();
            async move {
                let answer = client.get(format!("http://{address}/status")).send().await.ok()?;
                let status: serde_json::Value = answer.json().await.ok()?;
                Some((name.clone(), status["settings"].as_u64()?))
            }
        });
        let found: Vec<_> = futures::future::join_all(looks).await;
        let at = clock.now();
        for (name, version) in found.into_iter().flatten() {
            note(&seen, name, Sighting { at, version });
        }
        sleep(LOOK_INTERVAL).await;
    }
}

fn note(
    seen: &Mutex<BTreeMap<InstanceName, Vec<Sighting>>>,
    name: InstanceName,
    sighting: Sighting,
) {
    let mut seen = seen.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let list = seen.entry(name).or_default();
    if list.last().is_none_or(|last| last.version != sighting.version) {
        list.push(sighting);
    }
}
