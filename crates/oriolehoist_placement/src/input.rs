use {oriolehoist_protocol::ShardId, std::collections::BTreeMap};

/// The index of a backend server in [`PlacementInput::servers`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerIndex(pub usize);

/// The state of one backend server that placement takes into account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Whether the server may be given shards.
    pub eligible: bool,
    /// Whether the server's shards should move to other servers.
    pub leaving: bool,
}

impl Candidate {
    /// Returns a server that may be given shards and is not leaving.
    pub const fn available() -> Candidate {
        Candidate { eligible: true, leaving: false }
    }
}

/// The state from which moves are planned.
#[derive(Clone, Debug)]
pub struct PlacementInput {
    /// The owner of each shard, or `None` if the shard has no owner or is already being moved.
    /// Indexed by [`ShardId`], like `weights`.
    pub owners: Vec<Option<ServerIndex>>,
    /// The load of each shard, in any unit that is the same for all.
    pub weights: Vec<u64>,
    /// The state of each server, indexed by [`ServerIndex`].
    pub servers: Vec<Candidate>,
    /// The shards that only certain servers may own.
    pub bindings: Bindings,
}

/// Restricts certain shards to certain servers. Any server may own a shard without a restriction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bindings {
    allowed: BTreeMap<ShardId, Vec<ServerIndex>>,
}

impl Bindings {
    /// Restricts `shard` to `servers`.
    pub fn bind(&mut self, shard: ShardId, servers: impl IntoIterator<Item = ServerIndex>) {
        self.allowed.insert(shard, servers.into_iter().collect());
    }

    /// Returns whether `server` may own `shard`.
    pub fn allows(&self, shard: ShardId, server: ServerIndex) -> bool {
        self.allowed.get(&shard).is_none_or(|servers| servers.contains(&server))
    }
}

/// Limits on the moves of one plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveBudget {
    /// The maximum number of shards to move for balance. Moves off servers that are leaving or may
    /// not own the shard do not count.
    pub max_moves: usize,
    /// The load of the most loaded server, in percent of the mean load, up to which no shard moves
    /// for balance.
    pub max_imbalance_percent: u64,
}

/// A planned move of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardMove {
    /// The shard.
    pub shard: ShardId,
    /// The new owner.
    pub to: ServerIndex,
}

/// The load of each server, and which servers accept more shards.
#[derive(Clone, Debug)]
pub struct ServerLoads {
    loads: Vec<u64>,
    servers: Vec<Candidate>,
}

impl ServerLoads {
    /// Computes the load of each server from the shards that it owns.
    pub fn new(input: &PlacementInput) -> ServerLoads {
        let mut loads = vec![0; input.servers.len()];
        for (owner, weight) in input.owners.iter().zip(&input.weights) {
            if let Some(ServerIndex(index)) = owner {
                loads[*index] += weight;
            }
        }
        ServerLoads { loads, servers: input.servers.clone() }
    }

    /// Returns the least loaded server that accepts shards and may own `shard`. Among equally
    /// loaded servers, the one with the lowest index is returned.
    pub fn least_loaded(&self, bindings: &Bindings, shard: ShardId) -> Option<ServerIndex> {
        let allowed = self.accepting_servers().filter(|&server| bindings.allows(shard, server));
        allowed.min_by_key(|&server| (self.load(server), server))
    }

    /// Returns the most loaded of the servers that accept shards.
    pub fn most_loaded(&self) -> Option<ServerIndex> {
        self.accepting_servers().max_by_key(|&s| (self.load(s), s))
    }

    /// Returns the mean load of the servers that accept shards, or zero if there are none.
    pub fn mean_load(&self) -> u64 {
        let (sum, count) = self
            .accepting_servers()
            .fold((0, 0), |(sum, count), s| (sum + self.load(s), count + 1));
        sum.checked_div(count).unwrap_or(0)
    }

    /// Returns the load of `server`.
    pub fn load(&self, server: ServerIndex) -> u64 {
        self.loads[server.0]
    }

    /// Adds `weight` to the load of `to`, and subtracts it from the load of `from` if given.
    pub fn transfer(&mut self, weight: u64, from: Option<ServerIndex>, to: ServerIndex) {
        if let Some(ServerIndex(index)) = from {
            self.loads[index] = self.loads[index].saturating_sub(weight);
        }
        self.loads[to.0] += weight;
    }

    /// Returns whether `server` may be given shards.
    pub fn accepts_shards(&self, server: ServerIndex) -> bool {
        self.servers.get(server.0).is_some_and(|s| s.eligible && !s.leaving)
    }

    fn accepting_servers(&self) -> impl Iterator<Item = ServerIndex> + '_ {
        (0..self.servers.len()).map(ServerIndex).filter(|&s| self.accepts_shards(s))
    }
}
