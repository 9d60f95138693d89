use {
    crate::{fault::Fault, users_platform::Deployment, users_platform::STORE_EDGE},
    serde_json::{Value, json},
    std::net::SocketAddr,
};

/// The port of the proxies in front of the daemons' peer addresses.
const PEER_PROXY_PORT: u16 = 8176;

/// Returns the name of the edge between the other daemons and a daemon.
pub fn peer_edge(daemon: usize) -> String {
    format!("peer-{daemon}")
}

impl Deployment {
    /// Puts a proxy in front of each registered daemon, and its address in the daemon's entry in the
    /// store. Datagrams and requests that are handed over don't pass it. The daemons use the proxies once
    /// they have read the entries.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is taken, or a daemon has no entry yet.
    pub async fn add_peer_proxies(&self) -> eyre::Result<()> {
        for (index, daemon) in self.daemons.iter().enumerate() {
            let address = SocketAddr::new(daemon.peer_address.ip(), PEER_PROXY_PORT);
            self.network.add_edge(&peer_edge(index), address, daemon.peer_address).await?;
            let key = format!("oriolehoist/members/edge-{index}");
            let entry = self.store.get(&key);
            let entry = entry.ok_or_else(|| eyre::eyre!("daemon {index} is not registered"))?;
            let mut entry: Value = serde_json::from_slice(&entry)?;
            entry["address"] = json!(address.to_string());
            self.store.put(&key, entry.to_string().as_bytes());
        }
        Ok(())
    }

    /// Cuts a daemon behind a proxy off from all other daemons and from the store, silently. Callers and
    /// servers reach it. [`Network::clear_all_faults`](crate::fault::Network::clear_all_faults) ends that.
    pub fn cut_off_from_peers(&self, daemon: usize) {
        let ip = self.daemons[daemon].peer_address.ip();
        self.network.add_fault(None, &peer_edge(daemon), Fault::DropAll);
        self.network.add_fault(Some(ip), STORE_EDGE, Fault::DropAll);
        for other in (0..self.daemons.len()).filter(|other| *other != daemon) {
            self.network.add_fault(Some(ip), &peer_edge(other), Fault::DropAll);
        }
    }
}
