use {fastrand::Rng, oriolehoist_time::Millis};

/// The least time by which a response may be expected to take longer from the daemon's own
/// availability zone before a server in another zone is preferred, because traffic between zones is
/// charged for.
const CROSS_ZONE_PENALTY: Millis = Millis(25);
/// The same as a part of the expected latency, as one of this many.
const CROSS_ZONE_PENALTY_DIVISOR: u64 = 8;
/// Random jitter that is added to the expected latency, in milliseconds, so that similar servers
/// share the load.
const RANDOM_JITTER_MS: u64 = 12;
/// Up to this number of servers, all of them are compared.
const MAX_COMPARED: usize = 32;
/// How many servers of a larger number are compared: in the daemon's own zone, and anywhere. Loads are
/// known late, so the daemons prefer the same servers: a larger sample brings these more requests than
/// they can run. `docs/design/server-estimates.md` lists what was compared.
const SAMPLED_LOCAL: usize = 3;
const SAMPLED_ANYWHERE: usize = 1;

/// What a daemon knows about a server that may get a request.
pub trait ServerOption {
    /// Returns how long a response is expected to take, with the wait in the queue.
    fn expected_latency(&self) -> Millis;

    /// Returns whether the server is in the daemon's own availability zone.
    fn is_local(&self) -> bool;

    /// Returns whether the server needs a trial request.
    fn is_untried(&self) -> bool;
}

/// The servers that are compared for one request, with a random part of their costs. It can be ranked
/// again when more is known of a server.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The indices of the servers, each with its jitter in milliseconds.
    compared: Vec<(usize, u64)>,
    /// The servers that did not answer a probe. Others are preferred.
    unanswered: Vec<usize>,
}

impl Sample {
    /// Draws the servers that are compared for a request without a key. `daemons` is the number of
    /// daemons that share the servers.
    ///
    /// On average one daemon at a time tries a new server, because a server that has just started is
    /// slow; if there are many new ones, they get half the requests that they would get by their
    /// number. Such a sample has one server.
    ///
    /// All servers are compared if they are few. With many of them, the daemons would all choose the
    /// same one, by loads that are as old as the way between the daemons is long, so each compares a
    /// random sample.
    pub fn draw<T: ServerOption>(servers: &[T], daemons: usize, rng: &mut Rng) -> Sample {
        let count = servers.len();
        let is_large = count > MAX_COMPARED;
        let untried_chance = match is_large {
            true => {
                let untried = servers.iter().filter(|server| server.is_untried()).count();
                (untried as f64 / count as f64 / 2.0).max(1.0 / daemons.max(1) as f64)
            }
            false => 1.0 / daemons.max(1) as f64,
        };
        let unanswered = Vec::new();
        if rng.f64() < untried_chance {
            let untried = (0..count).filter(|index| servers[*index].is_untried());
            let untried: Vec<usize> = untried.collect();
            if let Some(chosen) = rng.choice(&untried) {
                return Sample { compared: vec![(*chosen, 0)], unanswered };
            }
        }
        let compared: Vec<usize> = match is_large {
            false => (0..count).collect(),
            true => {
                let is_local = |index: &usize| servers[*index].is_local();
                let local: Vec<usize> = (0..count).filter(is_local).collect();
                let near = (0..SAMPLED_LOCAL).filter_map(|_| rng.choice(&local).copied());
                let mut sample: Vec<usize> = near.collect();
                sample.extend((0..SAMPLED_ANYWHERE).map(|_| rng.usize(..count)));
                sample
            }
        };
        let compared = compared.into_iter();
        let compared = compared.map(|index| (index, rng.u64(0..=RANDOM_JITTER_MS))).collect();
        Sample { compared, unanswered }
    }

    /// Returns the indices of the compared servers, and the sample with their positions in that list
    /// as indices.
    pub fn into_compared(self) -> (Vec<usize>, Sample) {
        let mut indices: Vec<usize> = Vec::new();
        let mut position = |index: usize| match indices.iter().position(|known| *known == index) {
            Some(position) => position,
            None => {
                indices.push(index);
                indices.len() - 1
            }
        };
        let compared = self.compared.iter().map(|(index, jitter)| (position(*index), *jitter));
        let compared = compared.collect();
        let unanswered = self.unanswered.iter().map(|index| position(*index)).collect();
        (indices, Sample { compared, unanswered })
    }

    /// Leaves out a server that may not get the request any more.
    pub fn exclude(&mut self, index: usize) {
        self.compared.retain(|(compared, _)| *compared != index);
    }

    /// Records that a server did not answer a probe. Its load is only estimated, so others are
    /// preferred.
    pub fn on_unanswered(&mut self, index: usize) {
        self.unanswered.push(index);
    }

    /// Returns the index of the best server by what is known now, or `None` if there is none.
    pub fn best<T: ServerOption>(&self, servers: &[T]) -> Option<usize> {
        let rank = |(index, jitter): &(usize, u64)| {
            (self.unanswered.contains(index), cost(&servers[*index], *jitter))
        };
        self.compared.iter().min_by_key(|entry| rank(entry)).map(|(index, _)| *index)
    }
}

/// Returns the expected latency, with what traffic between zones costs and the jitter.
fn cost<T: ServerOption>(server: &T, jitter: u64) -> Millis {
    let latency = server.expected_latency();
    let zone = match server.is_local() {
        true => Millis::ZERO,
        false => CROSS_ZONE_PENALTY.max(Millis(latency.0 / CROSS_ZONE_PENALTY_DIVISOR)),
    };
    latency + zone + Millis(jitter)
}

/// Chooses one of the servers that may get a request without a key, by what is known now: the best one
/// of [`Sample::draw`].
pub fn choose_server<T: ServerOption>(
    servers: &[T],
    daemons: usize,
    rng: &mut Rng,
) -> Option<usize> {
    Sample::draw(servers, daemons, rng).best(servers)
}

/// Returns the server that is the best one by estimate: [`choose_server`] without what it draws at
/// random.
pub fn best_server<T: ServerOption>(servers: &[T]) -> Option<usize> {
    (0..servers.len()).min_by_key(|index| cost(&servers[*index], 0))
}
