use {oriolehoist_protocol::ShardId, std::collections::BTreeMap};

/// A backend server's position in the list that placement works on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerIndex(pub usize);

/// What placement knows of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Whether the server may be given shards.
    pub eligible: bool,
    /// Whether its shards should move away.
    pub leaving: bool,
}

impl Candidate {
    /// A server that answers and stays.
    pub const fn ready() -> Candidate {
        Candidate { eligible: true, leaving: false }
    }
}

/// The state that a plan starts from.
#[derive(Clone, Debug)]
pub struct PlacementInput {
    /// The owner of each shard; `None` where it has none or is already being moved.
    pub owners: Vec<Option<ServerIndex>>,
    /// The load of each shard, in any unit.
    pub weights: Vec<u64>,
    /// The servers.
    pub servers: Vec<Candidate>,
    /// The shards that only certain servers may own.
    pub bound: Bindings,
}

/// Which servers may own a shard; a shard that is not named may go anywhere.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bindings {
    allowed: BTreeMap<ShardId, Vec<ServerIndex>>,
}

impl Bindings {
    /// Lets only these servers own a shard.
    pub fn bind(&mut self, shard: ShardId, servers: impl IntoIterator<Item = ServerIndex>) {
        self.allowed.insert(shard, servers.into_iter().collect());
    }

    /// Returns whether a server may own a shard.
    pub fn allows(&self, shard: ShardId, server: ServerIndex) -> bool {
        self.allowed.get(&shard).is_none_or(|servers| servers.contains(&server))
    }
}

/// Bounds on what one plan may move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveBudget {
    /// How many shards may move for balance. Moves off a leaving server do not count.
    pub moves: usize,
    /// The greatest load of a server, in percent of the mean, at which nothing moves for balance.
    pub ratio_percent: u64,
}

/// One shard to move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardMove {
    /// The shard.
    pub shard: ShardId,
    /// Its next owner.
    pub to: ServerIndex,
}

/// The load of each server, and which servers may receive more.
#[derive(Clone, Debug)]
pub struct ServerLoads {
    loads: Vec<u64>,
    servers: Vec<Candidate>,
}

impl ServerLoads {
    /// Adds up the load of each server.
    pub fn of(input: &PlacementInput) -> ServerLoads {
        let mut loads = vec![0; input.servers.len()];
        for (owner, weight) in input.owners.iter().zip(&input.weights) {
            if let Some(ServerIndex(index)) = owner {
                loads[*index] += weight;
            }
        }
        ServerLoads { loads, servers: input.servers.clone() }
    }

    /// Returns the receiving server that may own `shard` with the least load; the lowest index
    /// among equals.
    pub fn least(&self, bound: &Bindings, shard: ShardId) -> Option<ServerIndex> {
        let allowed = self.receivers().filter(|&server| bound.allows(shard, server));
        allowed.min_by_key(|&server| (self.load(server), server))
    }

    /// Returns the receiving server with the greatest load.
    pub fn greatest(&self) -> Option<ServerIndex> {
        self.receivers().max_by_key(|&s| (self.load(s), s))
    }

    /// Returns the mean load of the receiving servers.
    pub fn mean(&self) -> u64 {
        let (sum, count) =
            self.receivers().fold((0, 0), |(sum, count), s| (sum + self.load(s), count + 1));
        sum.checked_div(count).unwrap_or(0)
    }

    /// Returns the load of one server.
    pub fn load(&self, server: ServerIndex) -> u64 {
        self.loads[server.0]
    }

    /// Records that `weight` came to `to`, and left `from` if it had an owner.
    pub fn shift(&mut self, weight: u64, from: Option<ServerIndex>, to: ServerIndex) {
        if let Some(ServerIndex(index)) = from {
            self.loads[index] = self.loads[index].saturating_sub(weight);
        }
        self.loads[to.0] += weight;
    }

    /// Returns whether `server` may receive shards.
    pub fn receives(&self, server: ServerIndex) -> bool {
        self.servers.get(server.0).is_some_and(|s| s.eligible && !s.leaving)
    }

    fn receivers(&self) -> impl Iterator<Item = ServerIndex> + '_ {
        (0..self.servers.len()).map(ServerIndex).filter(|&s| self.receives(s))
    }
}
