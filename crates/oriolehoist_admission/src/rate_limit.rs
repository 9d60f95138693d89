mod exchange;

use {
    crate::{peers::Peers, rate_reports::RequestCounts},
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
    /// When the response that said so was received, by any daemon.
    stated_at: Millis,
    tokens: f64,
    /// Tokens that this daemon has promised to requests that were told when to return.
    promised: f64,
    /// Requests per second of all daemons.
    demand: f64,
    /// Requests per second of this daemon.
    own_demand: f64,
    updated_at: Millis,
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
            stated_at: Millis::ZERO,
            tokens: 0.0,
            promised: 0.0,
            demand: 0.0,
            own_demand: 0.0,
            updated_at: Millis::ZERO,
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

    /// Returns the limit that the server has named, in requests per second.
    pub fn limit(&self) -> Option<f64> {
        self.limit
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
        self.admit(now, rank, chance)?;
        self.on_sent();
        Ok(())
    }

    /// Decides whether a request of this rank may be sent, as [`SharedRateLimit::try_take`] does, and counts it as
    /// one that asked. Its token is taken by [`SharedRateLimit::on_sent`].
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may come back.
    pub fn admit(&mut self, now: Millis, rank: u32, chance: f64) -> Result<(), Millis> {
        let Some(rate) = self.rate(now) else { return Ok(()) };
        let wait = self.wait(now, rank);
        self.own.asked = self.own.asked.wrapping_add(1);
        self.count_demand(1.0);
        self.own_demand += 1.0 / DEMAND_TIME_CONSTANT;
        // Of the requests that would take the same tokens before the daemons know of each other, as
        // many are admitted on average as there are tokens.
        let contenders = self.demand * self.report_delay.0 as f64 / 1000.0;
        let is_chosen = chance * contenders < self.tokens.max(1.0);
        if wait == Millis::ZERO && is_chosen {
            return Ok(());
        }
        self.promised += 1.0;
        let interval = Millis((1000.0 / rate) as u64);
        Err(wait.max(if self.daemons.is_some() { interval } else { UNKNOWN_FLEET_RETRY }))
    }

    /// Takes the token of a request that is sent.
    pub fn on_sent(&mut self) {
        if self.limit.is_some() {
            self.own.sent = self.own.sent.wrapping_add(1);
            self.take(1.0);
        }
    }

    fn set_limit(&mut self, now: Millis, stated_at: Millis, limit: Option<f64>) -> bool {
        self.stated_at = self.stated_at.max(stated_at);
        if self.limit == limit {
            return false;
        }
        if self.limit.is_none() {
            // Many daemons that learn of the limit would each send a request.
            let few = limit.unwrap_or_default() * FIRST_REQUESTS_SECONDS;
            let are_few = self.daemons.is_some_and(|daemons| daemons as f64 <= few);
            self.restart(now, if are_few { 1.0 } else { 0.0 });
        }
        self.limit = limit;
        true
    }

    /// Starts with this many tokens, as a limit comes into force.
    fn restart(&mut self, now: Millis, tokens: f64) {
        let seconds = now.since(self.updated_at).0 as f64 / 1000.0;
        self.decay_demand(seconds);
        (self.tokens, self.promised, self.updated_at) = (tokens, 0.0, now);
    }

    /// Returns the rate that this daemon shares with those that report.
    fn rate(&self, now: Millis) -> Option<f64> {
        let limit = self.limit?.max(MIN_RATE);
        let daemons = self.daemons.unwrap_or(UNKNOWN_FLEET).max(1);
        let reporting = (self.peers.reporting(now) + 1).min(daemons);
        Some(limit * reporting as f64 / daemons as f64)
    }

    fn refill(&mut self, now: Millis) {
        let Some(rate) = self.rate(now) else { return };
        let seconds = now.since(self.updated_at).0 as f64 / 1000.0;
        self.updated_at = self.updated_at.max(now);
        let capacity = (rate * MAX_TOKENS_SECONDS).max(MIN_CAPACITY);
        self.tokens = (self.tokens + rate * seconds).min(capacity);
        self.promised = (self.promised - rate * self.own_share() * seconds).max(0.0);
        self.decay_demand(seconds);
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
        let max_debt = self.limit.unwrap_or_default().max(MIN_RATE) * MAX_DEBT_SECONDS;
        self.tokens = (self.tokens - tokens).max(-max_debt);
    }

    fn count_demand(&mut self, requests: f64) {
        self.demand += requests / DEMAND_TIME_CONSTANT;
    }
}
