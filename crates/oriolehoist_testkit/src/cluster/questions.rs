use {
    crate::cluster::{Cluster, DaemonHandle, ServerHandle},
    eyre::OptionExt,
    oriolehoist_protocol::Version,
    oriolehoist_settings::{HEAD_KEY, SettingsVersion},
    serde_json::Value as Json,
    std::time::Duration,
};

impl Cluster {
    /// Asks a daemon how it is.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not answer.
    pub async fn status(&self, daemon: &DaemonHandle) -> eyre::Result<Json> {
        let url = format!("http://{}/status", daemon.operator_address);
        let asked = self.client.get(url).timeout(Duration::from_millis(500)).send().await?;
        Ok(asked.json().await?)
    }

    /// Finds the daemon that assigns a service.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon knows it.
    pub async fn assigner(&self, service: &str) -> eyre::Result<usize> {
        for daemon in self.daemons.iter().filter(|d| d.is_alive()) {
            let Ok(status) = self.status(daemon).await else { continue };
            let services = status["services"].as_array().cloned().unwrap_or_default();
            let own = services.iter().find(|s| s["service"] == service);
            let name = own.and_then(|s| s["assigner"].as_str().map(str::to_owned));
            let found = name.and_then(|n| self.daemons.iter().position(|d| d.name.as_str() == n));
            if let Some(index) = found {
                return Ok(index);
            }
        }
        eyre::bail!("no daemon knows an assigner of {service}")
    }

    /// Finds the server that last ran a request for a key.
    ///
    /// # Errors
    ///
    /// Returns an error if none did.
    pub fn last_server_for_key(&self, key: &str) -> eyre::Result<usize> {
        let runs = self.journal.runs();
        let run = runs.iter().rev().find(|r| r.key == key).ok_or_eyre("no run for the key yet")?;
        let of = |handle: &ServerHandle| handle.target.server == run.server;
        self.servers.iter().position(of).ok_or_eyre("no such server")
    }

    /// Returns the version of the settings that the store holds; zero if none.
    pub fn settings_version(&self) -> Version {
        let head = self.store.peek(HEAD_KEY);
        let head = head.and_then(|text| serde_json::from_str::<SettingsVersion>(&text).ok());
        head.map_or(Version(0), |head| head.version)
    }

    /// Returns how many servers run.
    pub fn alive_servers(&self) -> usize {
        self.servers.iter().filter(|handle| handle.server.is_alive()).count()
    }
}
