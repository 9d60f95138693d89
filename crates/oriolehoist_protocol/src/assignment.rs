use {
    crate::{Epoch, ServerName, ServiceName, ShardId, Term, Version},
    serde::{Deserialize, Serialize},
};

/// Whether requests for a shard can be forwarded to its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteState {
    /// No owner has been chosen yet.
    #[default]
    Unassigned,
    /// The owner has confirmed its grant.
    Serving,
    /// The shard is between owners without the loss of one, or its new owner has not confirmed the
    /// grant yet. A planned move takes milliseconds.
    Moving,
    /// The owner does not respond, or has restarted. No other server may own the shard before the
    /// owner's grant is certain to have ended.
    OwnerLost,
}

/// The owner of one shard, and whether requests can be forwarded to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRoute {
    /// The current owner, or the last known one if the state is not [`RouteState::Serving`].
    pub server: ServerName,
    /// The epoch of the shard's assignment to that owner.
    pub epoch: Epoch,
    /// Whether the owner can currently serve requests.
    pub state: RouteState,
    /// Whether the previous owner was lost, or may have been, instead of handing the shard over.
    /// The outcome of its last requests is then unknown.
    pub after_loss: bool,
}

/// The routes of all shards of one service, as kept by daemons and in the platform's store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The service.
    pub service: ServiceName,
    /// The term of the assigner that produced this version.
    pub term: Term,
    /// The version within the term.
    pub version: Version,
    /// The routes, indexed by [`ShardId`].
    pub shards: Vec<ShardRoute>,
}

/// The changes of an assignment since a version that the receiver already has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentDelta {
    /// The version that the delta is based on, or `None` if the delta contains the full assignment.
    /// The receiver must have this or a later version of the same term.
    pub base: Option<Version>,
    /// The version after the delta is applied.
    pub version: Version,
    /// The number of shards of the service.
    pub shard_count: u32,
    /// The shards whose route has changed.
    pub changes: Vec<ShardChange>,
}

/// The new route of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardChange {
    /// The shard.
    pub shard: ShardId,
    /// The new route.
    pub route: ShardRoute,
}

impl Assignment {
    /// Creates an assignment of `shards` shards without owners.
    pub fn empty(service: ServiceName, shards: u32) -> Assignment {
        Assignment {
            service,
            shards: vec![ShardRoute::default(); shards as usize],
            ..Assignment::default()
        }
    }

    /// Returns the route of `shard`, or `None` if the service has fewer shards.
    pub fn route(&self, shard: ShardId) -> Option<&ShardRoute> {
        self.shards.get(shard.index())
    }

    /// Applies a delta made under `term`.
    ///
    /// Returns `false` and changes nothing if the delta is not newer than this assignment, or if
    /// its base is newer than this assignment or belongs to another term.
    pub fn apply(&mut self, term: Term, delta: &AssignmentDelta) -> bool {
        let newer = (term, delta.version) > (self.term, self.version);
        let base_matches = match delta.base {
            None => true,
            Some(base) => self.term == term && self.version >= base,
        };
        if !newer || !base_matches {
            return false;
        }
        self.shards.resize(delta.shard_count as usize, ShardRoute::default());
        for change in &delta.changes {
            if let Some(route) = self.shards.get_mut(change.shard.index()) {
                *route = change.route.clone();
            }
        }
        self.term = term;
        self.version = delta.version;
        true
    }
}
