use {
    crate::{Epoch, ServerName, ServiceName, ShardId, Term, Version},
    serde::{Deserialize, Serialize},
};

/// Whether requests for a shard can be sent on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteState {
    /// No server has ever been chosen.
    #[default]
    Unassigned,
    /// The owner holds a grant.
    Serving,
    /// A planned move is under way; it takes milliseconds.
    Moving,
    /// The owner does not answer, and its grant must lapse before another may own the shard.
    OwnerLost,
}

/// Where requests for one shard go.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRoute {
    /// The owner, or the last owner while the state is not [`RouteState::Serving`].
    pub server: ServerName,
    /// The assignment's epoch.
    pub epoch: Epoch,
    /// Whether the owner can be used now.
    pub state: RouteState,
    /// Whether the former owner was lost rather than asked to hand the shard over, so that its
    /// last work is unknown.
    pub after_loss: bool,
}

/// The whole assignment of one service, as a daemon or the platform's store keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The service.
    pub service: ServiceName,
    /// The term of the assigner that made this version.
    pub term: Term,
    /// The version within the term.
    pub version: Version,
    /// One route for each shard.
    pub shards: Vec<ShardRoute>,
}

/// The part of an assignment that has changed since a version that the receiver holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentDelta {
    /// The version that the receiver must hold, in the same term; `None` if the delta is whole.
    pub base: Option<Version>,
    /// The version that results.
    pub version: Version,
    /// How many shards the service has.
    pub shard_count: u32,
    /// The changed routes.
    pub changes: Vec<ShardChange>,
}

/// One changed route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardChange {
    /// The shard.
    pub shard: ShardId,
    /// Its new route.
    pub route: ShardRoute,
}

impl Assignment {
    /// Creates an assignment in which no shard has an owner.
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
    /// Returns `false`, and changes nothing, if the delta is older than this assignment or needs a
    /// base that it is not.
    pub fn apply(&mut self, term: Term, delta: &AssignmentDelta) -> bool {
        let newer = (term, delta.version) > (self.term, self.version);
        let fits = match delta.base {
            None => true,
            Some(base) => self.term == term && self.version >= base,
        };
        if !newer || !fits {
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
