//! Which servers have got keys with a new version of the routes.

use {
    crate::{connection::Backend, control::cluster_state::ClusterState},
    smol_str::SmolStr,
    std::{collections::HashMap, sync::Arc},
};

impl ClusterState {
    /// Tells the servers that have got keys since the last view.
    pub(super) fn observe_key_moves(&mut self, backends: &HashMap<SmolStr, Arc<Backend>>) {
        let mut held = std::mem::take(&mut self.held_keys);
        for (service, routes) in self.key_routes() {
            for server in held.entry(service.clone()).or_default().update(routes) {
                let backend = backends.get(&server.id);
                if let Some(backend) = backend.filter(|backend| backend.incarnation == server) {
                    backend.on_more_keys();
                }
            }
        }
        self.held_keys = held;
    }
}
