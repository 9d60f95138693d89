use {
    crate::cluster::{Cluster, DaemonHandle, ServerHandle},
    eyre::OptionExt,
    oriolehoist_protocol::Version,
    oriolehoist_settings::{HEAD_KEY, SettingsVersion},
    serde_json::Value as Json,
    std::time::Duration,
};

impl Cluster {
    /// Requests the status of a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not respond.
    pub async fn status(&self, daemon: &DaemonHandle) -> eyre::Result<Json> {
        let url = format!("http://{}/status", daemon.operator_address);
        let response = self.client.get(url).timeout(Duration::from_millis(500)).send().await?;
        Ok(response.json().await?)
    }

    /// Returns the index of the daemon that holds the assigner role for a service.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon knows the assigner.
    pub async fn assigner(&self, service: &str) -> eyre::Result<usize> {
        for daemon in self.daemons.iter().filter(|d| d.is_alive()) {
            let Ok(status) = self.status(daemon).await else { continue };
            let services = status["services"].as_array().cloned().unwrap_or_default();
            let service_status = services.iter().find(|s| s["service"] == service);
            let assigner = service_status.and_then(|s| s["assigner"].as_str().map(str::to_owned));
            let found =
                assigner.and_then(|name| self.daemons.iter().position(|d| d.name.as_str() == name));
            if let Some(index) = found {
                return Ok(index);
            }
        }
        eyre::bail!("no daemon reports an assigner for service {service}")
    }

    /// Returns the index of the server that last ran a request for a key.
    ///
    /// # Errors
    ///
    /// Returns an error if no server has run one.
    pub fn last_server_for_key(&self, key: &str) -> eyre::Result<usize> {
        let runs = self.journal.runs();
        let run = runs
            .iter()
            .rev()
            .find(|r| r.key == key)
            .ok_or_eyre("no server has run a request for the key yet")?;
        let is_server = |handle: &ServerHandle| handle.target.server == run.server;
        self.servers
            .iter()
            .position(is_server)
            .ok_or_eyre("the server that ran the request does not belong to the cluster")
    }

    /// Returns the version of the settings in the store, or zero if there are none.
    pub fn settings_version(&self) -> Version {
        let head = self.store.peek(HEAD_KEY);
        let head = head.and_then(|text| serde_json::from_str::<SettingsVersion>(&text).ok());
        head.map_or(Version(0), |head| head.version)
    }

    /// Returns the number of servers that are running.
    pub fn alive_server_count(&self) -> usize {
        self.servers.iter().filter(|handle| handle.server.is_alive()).count()
    }
}
