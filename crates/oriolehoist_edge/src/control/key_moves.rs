//! Which servers have got keys with a new version of the routes.

use {
    crate::{connection::Backend, control::cluster_state::ClusterState},
    oriolehoist_keyspace::HeldKeys,
    oriolehoist_replica::TermVersion,
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// The keys of each server as of the last view.
#[derive(Default)]
pub(super) struct KeyMoves {
    /// By service.
    held: BTreeMap<SmolStr, HeldKeys>,
    /// The version of the routes that these keys are of, and the number of their services.
    version: Option<(TermVersion, usize)>,
}

impl ClusterState {
    /// Tells the servers that have got keys since the last view.
    pub(super) fn observe_key_moves(&mut self, backends: &HashMap<SmolStr, Arc<Backend>>) {
        let version = Some((self.routes.version(), self.key_routes().len()));
        if std::mem::replace(&mut self.key_moves.version, version) == version {
            return;
        }
        let mut held = std::mem::take(&mut self.key_moves.held);
        for (service, routes) in self.key_routes() {
            for server in held.entry(service.clone()).or_default().update(routes) {
                let backend = backends.get(&server.id);
                if let Some(backend) = backend.filter(|backend| backend.incarnation == server) {
                    backend.on_more_keys();
                }
            }
        }
        self.key_moves.held = held;
    }
}
