mod exchange;

use {
    crate::{
        idleness::Idleness,
        peers::Peers,
        rate_reports::{ColdRate, RateBasis, RequestCounts},
    },
    oriolehoist_time::Millis,
    std::hash::Hash,
};

/// The most tokens that a bucket holds, in seconds of the limit. After a pause some requests may come
/// at once.
const MAX_TOKENS_SECONDS: f64 = 0.5;
/// The least tokens that a full bucket holds: enough for a request of any rank.
const MIN_CAPACITY: f64 = 2.5;
/// The largest debt, in seconds of the limit. Requests that daemons send at the same time may
/// overdraw a bucket, and so may a limit that was lowered.
const MAX_DEBT_SECONDS: f64 = 2.0;
/// How many more tokens a request needs per rank, so that more urgent ones find some left.
const TOKENS_PER_RANK: f64 = 0.5;
/// The highest rank that counts. With a full bucket a request of any rank is admitted.
const MAX_RANK: u32 = 2;
/// The lowest rate that is used, per second. A server that gets no requests at all could never say
/// that its limit has ended.
const MIN_RATE: f64 = 0.25;
/// The time until a daemon knows of a request that another one has sent, if they report to each other:
/// one interval between reports, and their way.
const REPORT_DELAY: Millis = Millis(60);
/// The size that is assumed of a fleet whose size is not known: each daemon then uses a small part of a limit,
/// as the others may use theirs.
const UNKNOWN_FLEET: usize = 1000;
/// When a request may come back that was refused while the size of the fleet was not known.
const UNKNOWN_FLEET_RETRY: Millis = Millis(1000);
/// The first request after a server named a limit may be sent at once if the server takes as many
/// requests as there are daemons within this time, in seconds.
const FIRST_REQUESTS_SECONDS: f64 = 5.0;
/// The least part of the demand that a daemon assumes to be its own.
const MIN_SHARE: f64 = 0.01;
/// A daemon that knows of the requests of a smaller part of the daemons than this sends requests to a cold
/// server at random.
const MIN_HEARD_SHARE: f64 = 0.5;
/// The demand that is assumed at first for a server that has become cold, as a multiple of its limit. Without
/// it all daemons took the demand for low until they had heard of each other, and sent 18 requests in a second
/// to a new server, 17 allowed.
const FIRST_COLD_DEMAND: f64 = 3.0;
/// How much more demand for a cold server is assumed than is known, as a factor: some reports of requests
/// are lost or late. Without it, 1 of 5,400 simulated servers got 18 requests in a second, 17 allowed; with
/// it, the most is 16.
const COLD_DEMAND_MARGIN: f64 = 1.25;
/// The time constant of the measured demand, in seconds.
const DEMAND_TIME_CONSTANT: f64 = 1.0;

/// The rate of requests that one server takes from all daemons together.
///
/// A server that is in need names the rate in its responses. Each daemon keeps a copy of the same
/// token bucket. It takes the tokens of its own requests at once, and those of the others when they
/// report them. Equal parts of the rate would leave most of it unused, because few of the daemons
/// may have requests for the server; they remain set aside only for daemons that do not report.
#[derive(Clone, Debug)]
pub struct SharedRateLimit<K> {
    /// What the server said last: the limit, or `None` if it has none.
    limit: Option<f64>,
    /// The limit that it has because it is cold, if it is.
    cold: Option<ColdRate>,
    /// When the response that said so was received, by any daemon.
    stated_at: Millis,
    tokens: f64,
    /// Tokens that this daemon has promised to requests that were told when to return.
    promised: f64,
    /// Requests per second of all daemons.
    demand: f64,
    /// Requests per second of this daemon.
    own_demand: f64,
    /// The tokens that the last request of this daemon needed.
    needed: f64,
    updated_at: Millis,
    /// When the server was last without requests.
    idleness: Idleness,
    /// This daemon's requests since it first knew of a limit.
    own: RequestCounts,
    /// The number of daemons that share the limit, or `None` if it is not known.
    daemons: Option<usize>,
    /// The time until a daemon knows of a request that another one has sent.
    report_delay: Millis,
    peers: Peers<K>,
}

/// Returns how many tokens there must be for a request of this rank.
fn tokens_for(rank: u32) -> f64 {
    1.0 + TOKENS_PER_RANK * f64::from(rank.min(MAX_RANK))
}

impl<K> Default for SharedRateLimit<K> {
    fn default() -> SharedRateLimit<K> {
        SharedRateLimit {
            limit: None,
            cold: None,
            stated_at: Millis::ZERO,
            tokens: 0.0,
            promised: 0.0,
            demand: 0.0,
            own_demand: 0.0,
            needed: tokens_for(MAX_RANK),
            updated_at: Millis::ZERO,
            idleness: Idleness::default(),
            own: RequestCounts::default(),
            daemons: None,
            report_delay: REPORT_DELAY,
            peers: Peers::default(),
        }
    }
}

impl<K: Eq + Hash> SharedRateLimit<K> {
    /// Sets the number of daemons that share the limit, with those that are not heard of, or `None` if it
    /// is not known.
    pub fn set_daemons(&mut self, daemons: Option<usize>) {
        self.daemons = daemons;
    }

    /// Sets the time until a daemon knows of a request that another one has sent.
    pub fn set_report_delay(&mut self, delay: Millis) {
        self.report_delay = delay;
    }

    /// Records that no daemon could send requests to the server for some time, and that all may do so now.
    pub fn resume(&mut self) {
        self.idleness.resume();
    }

    /// Records that requests of all daemons may have waited for the server, and come now. If it was in use
    /// until now, its demand is known well enough.
    pub fn expect_burst(&mut self) {
        self.idleness.expect_burst();
    }

    /// Returns the limit in force, in requests per second: the lower one of what the server named and
    /// of what it gets while it is cold.
    pub fn limit(&self) -> Option<f64> {
        let cold = self.cold.map(|cold| cold.per_second);
        self.limit.into_iter().chain(cold).reduce(f64::min)
    }

    /// Returns the limit that the server has named, in requests per second.
    pub fn named_limit(&self) -> Option<f64> {
        self.limit
    }

    /// Sets the limit that the server has because it is cold, or `None` if it is not.
    pub fn set_cold(&mut self, now: Millis, cold: Option<ColdRate>) {
        if self.cold == cold {
            return;
        }
        if self.limit().is_none() {
            // Requests of daemons that did not know it yet may have come just before.
            self.restart(now, 0.0);
            let expected = cold.map_or(0.0, |cold| cold.per_second * FIRST_COLD_DEMAND);
            self.demand = self.demand.max(expected);
        }
        self.cold = cold;
    }

    /// Records what a response said, or did not say, about the limit. Its request was sent at
    /// `sent_at`. Returns whether the limit changed.
    pub fn on_response(&mut self, now: Millis, sent_at: Millis, limit: Option<f64>) -> bool {
        // A response without a limit may have been made before one that named it, if its request was
        // already on the way.
        if limit.is_none() && sent_at < self.stated_at {
            return false;
        }
        self.set_limit(now, now, limit)
    }

    /// Returns what the use of the limit is based on.
    pub fn basis(&mut self, now: Millis) -> RateBasis {
        self.refill(now);
        RateBasis {
            tokens: self.tokens,
            demand: self.demand,
            daemons: self.daemons,
            reporting: self.peers.reporting(now) + 1,
            report_age: self.peers.oldest_report(now),
            lateness: self.peers.lateness(now),
        }
    }

    /// Returns how long it takes until a request of this rank may be sent. A rank of zero is the most
    /// urgent.
    pub fn wait(&mut self, now: Millis, rank: u32) -> Millis {
        let Some(rate) = self.rate(now) else { return Millis::ZERO };
        self.refill(now);
        let missing = tokens_for(rank) - self.tokens;
        let seconds = missing / rate + self.promised / (rate * self.own_share());
        match missing > 0.0 {
            true if self.daemons.is_none() => UNKNOWN_FLEET_RETRY,
            true => Millis((seconds * 1000.0).ceil() as u64),
            false => Millis::ZERO,
        }
    }

    /// Takes a token for a request of this rank. `chance` is a random number below one.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may come back.
    pub fn try_take(&mut self, now: Millis, rank: u32, chance: f64) -> Result<(), Millis> {
        self.take_token(now, rank, chance, false)
    }

    /// Does the same for a request that another server can take as well. It is not sent to a cold server
    /// that was unused, if many daemons may have such requests at the same time.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may come back.
    pub fn try_take_spare(&mut self, now: Millis, rank: u32, chance: f64) -> Result<(), Millis> {
        self.take_token(now, rank, chance, true)
    }

    fn take_token(
        &mut self,
        now: Millis,
        rank: u32,
        chance: f64,
        is_spare: bool,
    ) -> Result<(), Millis> {
        let Some(rate) = self.rate(now) else {
            self.idleness.on_unlimited();
            return Ok(());
        };
        let wait = self.wait(now, rank);
        self.needed = tokens_for(rank);
        // Requests without a key do not ask while there is no token, see `refill`.
        if self.cold.is_none() || wait == Millis::ZERO {
            self.own.asked = self.own.asked.wrapping_add(1);
            self.count_demand(now, 1.0);
            self.own_demand += 1.0 / DEMAND_TIME_CONSTANT;
            self.idleness.on_own_request();
        }
        // Of the requests that would take the same tokens before the daemons know of each other, as
        // many are admitted on average as there are tokens.
        let delay = self.report_delay(now);
        let contenders = self.demand * delay.0 as f64 / 1000.0;
        let others = self.daemons.unwrap_or(UNKNOWN_FLEET).saturating_sub(1);
        let contenders = match self.cold {
            Some(_) => (contenders * COLD_DEMAND_MARGIN)
                .max(self.idleness.contenders(now, delay, others, is_spare)),
            None => contenders,
        };
        let is_chosen = chance * contenders < self.tokens.max(1.0);
        // Tokens that many daemons have saved up while they hear little of each other must not be spent
        // at once by all of them, so each sends at random with its part of the rate.
        let hears_few = self.limit().is_some_and(|limit| rate < limit * MIN_HEARD_SHARE);
        let is_chosen =
            is_chosen && (self.cold.is_none() || !hears_few || chance * self.own_demand < rate);
        if wait == Millis::ZERO && is_chosen {
            self.own.sent = self.own.sent.wrapping_add(1);
            self.take(1.0);
            return Ok(());
        }
        self.promised += 1.0;
        let interval = Millis((1000.0 / rate) as u64);
        Err(wait.max(if self.daemons.is_some() { interval } else { UNKNOWN_FLEET_RETRY }))
    }

    /// Counts a request that is sent whether there is a token for it or not.
    pub fn count_sent(&mut self, now: Millis) {
        if self.rate(now).is_some() {
            self.refill(now);
            self.own.sent = self.own.sent.wrapping_add(1);
            self.take(1.0);
        }
    }

    fn set_limit(&mut self, now: Millis, stated_at: Millis, limit: Option<f64>) -> bool {
        self.stated_at = self.stated_at.max(stated_at);
        if self.limit == limit {
            return false;
        }
        if self.limit().is_none() {
            // Many daemons that learn of the limit would each send a request.
            let few = limit.unwrap_or_default() * FIRST_REQUESTS_SECONDS;
            let are_few = self.daemons.is_some_and(|daemons| daemons as f64 <= few);
            self.restart(now, if are_few { 1.0 } else { 0.0 });
        }
        self.limit = limit;
        true
    }

    /// Continues from the limit that another incarnation of the server has because it is cold.
    pub fn succeed(&mut self, now: Millis, predecessor: &SharedRateLimit<K>) {
        let SharedRateLimit { cold, demand, own_demand, updated_at, idleness, .. } = predecessor;
        self.idleness = *idleness;
        if let Some(cold) = cold {
            self.cold = Some(*cold);
            // Daemons that have not heard of this one still spend the tokens of the other, unseen here.
            // Its debt is mostly from requests with keys that it had not been granted, which do not
            // count.
            (self.demand, self.own_demand) = (*demand, *own_demand);
            self.updated_at = *updated_at;
            self.restart(now, 0.0);
        }
    }

    /// Starts with this many tokens, as a limit comes into force.
    fn restart(&mut self, now: Millis, tokens: f64) {
        let seconds = now.since(self.updated_at).0 as f64 / 1000.0;
        self.decay_demand(seconds);
        (self.tokens, self.promised, self.updated_at) = (tokens, 0.0, now);
        // Daemons that do not know the size of the fleet yet learn it at different times.
        self.idleness.restart(self.daemons.is_some());
    }

    /// Returns the rate that this daemon shares with those that report.
    fn rate(&self, now: Millis) -> Option<f64> {
        let limit = self.limit()?.max(MIN_RATE);
        let daemons = self.daemons.unwrap_or(UNKNOWN_FLEET).max(1);
        let reporting = (self.peers.reporting(now) + 1).min(daemons);
        Some(limit * reporting as f64 / daemons as f64)
    }

    fn refill(&mut self, now: Millis) {
        let Some(rate) = self.rate(now) else { return };
        let seconds = now.since(self.updated_at).0 as f64 / 1000.0;
        let without_token = ((self.needed - self.tokens) / rate).clamp(0.0, seconds);
        self.updated_at = self.updated_at.max(now);
        let capacity = (rate * MAX_TOKENS_SECONDS).max(MIN_CAPACITY);
        let capacity = self.cold.map_or(capacity, |cold| capacity.min(cold.burst));
        self.tokens = (self.tokens + rate * seconds).min(capacity);
        self.promised = (self.promised - rate * self.own_share() * seconds).max(0.0);
        // The demand for a cold server is that of the time in which there are tokens. Requests without a
        // key go to other servers meanwhile, and come from all daemons at once as soon as there is a token:
        // a demand that had decayed by then brought new servers up to 21 requests in a second, 17 allowed.
        self.decay_demand(if self.cold.is_some() { seconds - without_token } else { seconds });
        self.idleness.on_tokens(seconds - without_token);
    }

    /// Returns the time until a daemon knows of a request that another one has sent, as the reports arrive
    /// at the moment.
    fn report_delay(&self, now: Millis) -> Millis {
        self.report_delay + self.peers.lateness(now)
    }

    fn decay_demand(&mut self, seconds: f64) {
        let decay = (-seconds / DEMAND_TIME_CONSTANT).exp();
        self.demand *= decay;
        self.own_demand *= decay;
    }

    /// Returns this daemon's part of the demand, and so of the tokens that it may promise.
    fn own_share(&self) -> f64 {
        match self.demand > 0.0 {
            true => (self.own_demand / self.demand).clamp(MIN_SHARE, 1.0),
            false => 1.0,
        }
    }

    fn take(&mut self, tokens: f64) {
        let max_debt = self.limit().unwrap_or_default().max(MIN_RATE) * MAX_DEBT_SECONDS;
        self.tokens = (self.tokens - tokens).max(-max_debt);
    }

    fn count_demand(&mut self, now: Millis, requests: f64) {
        self.idleness.on_request(now);
        self.demand += requests / DEMAND_TIME_CONSTANT;
    }
}
