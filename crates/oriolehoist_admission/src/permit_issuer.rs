use {
    crate::WarmUpPolicy,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, HashSet, VecDeque},
        hash::Hash,
    },
};

/// The longest time for which a permit may be used, counted from when it was asked for.
pub const MAX_PERMIT_VALIDITY: Millis = Millis(1000);
/// The part of the slack that a full bucket holds. Most of the rest is for permits that are used up to their
/// validity after they were issued.
const BURST_SHARE: f64 = 0.375;
/// The lowest rate of permits, per second, so that a server whose operators allow next to nothing is tried.
const MIN_RATE: f64 = 0.25;
/// How many more tokens a request needs per rank, so that more urgent ones find some left.
const TOKENS_PER_RANK: f64 = 0.5;
/// The highest rank that counts.
const MAX_RANK: u32 = 2;
/// The most tokens that are promised, in seconds of the rate. Who was promised one may not come back.
const MAX_PROMISED_SECONDS: f64 = 1.0;
/// A bucket that was not used for this long is dropped. It is full by then.
const BUCKET_RETENTION: Millis = Millis::from_secs(600);
/// The time between two looks for such buckets.
const SWEEP_INTERVAL: Millis = Millis::from_secs(60);
/// A server that the issuer does not take for cold may have turned cold if nobody has asked for this long after a
/// daemon that was denied a permit would have asked again.
const NEW_DEMAND_AFTER: Millis = Millis(1000);
/// Permits for a limit that a server has named, as a multiple of it. A server may get half as much again over some
/// seconds; the rest is for permits that are used late, and for a full bucket.
const LIMIT_MARGIN: f64 = 1.1;
/// How many permits for such a limit may be issued at once after a pause, in seconds of the limit.
const LIMIT_BURST_SECONDS: f64 = 0.5;
/// How many more than that, so that requests of all ranks find enough of a low limit.
const LIMIT_BURST_SLACK: f64 = 2.5;

/// At which rate permits for one server are issued.
///
/// A permit is used within `validity` of its issue, so the requests of any second have permits of at most one
/// second and `validity`: `burst` + `per_second` × (1 s + `validity`) of them. That is at most the rate and the
/// slack of the [`WarmUpPolicy`], whatever any daemon knows of the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitRate {
    /// Permits per second.
    pub per_second: f64,
    /// How many may be issued at once after a pause.
    pub burst: f64,
}

impl PermitRate {
    /// Returns the rate for servers with this policy. `share` is the part of the limit that permits are issued
    /// for, from 0 to 1. The rest is that of daemons that ask for none.
    pub fn new(policy: WarmUpPolicy, share: f64) -> PermitRate {
        let share = share.clamp(0.0, 1.0);
        let (rate, slack) = (policy.rate * share, policy.slack * share);
        let burst = (slack * BURST_SHARE).max(1.0);
        let validity_secs = MAX_PERMIT_VALIDITY.0 as f64 / 1000.0;
        let safe = (rate + slack - burst) / (1.0 + validity_secs);
        PermitRate { per_second: rate.min(safe).max(MIN_RATE), burst }
    }

    /// Returns the rate for a server that has named this limit, in requests per second. `share` is as for
    /// [`PermitRate::new`].
    pub fn for_limit(limit: f64, share: f64) -> PermitRate {
        let limit = limit.max(MIN_RATE) * share.clamp(0.0, 1.0);
        let burst = limit * LIMIT_BURST_SECONDS + LIMIT_BURST_SLACK;
        PermitRate { per_second: (limit * LIMIT_MARGIN).max(MIN_RATE), burst }
    }

    /// Returns how long it takes until an empty bucket is full.
    fn time_to_fill(self) -> Millis {
        Millis((self.burst / self.per_second * 1000.0).ceil() as u64)
    }

    /// Returns the lower one of both rates, and of both bursts.
    pub fn min(self, other: PermitRate) -> PermitRate {
        PermitRate {
            per_second: self.per_second.min(other.per_second),
            burst: self.burst.min(other.burst),
        }
    }
}

/// A query for a permit, as the issuer gets it.
#[derive(Clone, Copy, Debug)]
pub struct PermitDemand<S, Q> {
    /// Tells queries from each other.
    pub query: Q,
    /// The server that the request is for.
    pub server: S,
    /// How many priorities are more urgent than that of the request.
    pub rank: u32,
    /// Why the server gets requests with permits.
    pub reason: PermitReason,
}

/// Why a server gets requests with permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitReason {
    /// It is cold.
    Cold {
        /// Since when the issuer has known it, if it has.
        since: Option<Millis>,
    },
    /// It has named a limit, and is not cold.
    Limit,
}

/// What a daemon is told that asks for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// One request may be sent, within [`MAX_PERMIT_VALIDITY`] after it was asked for.
    Issued,
    /// None may be sent now. The daemon may ask again after this time.
    Denied(Millis),
    /// The daemon that was asked does not issue permits.
    NotIssuer,
}

/// Issues permits for requests to cold servers, and to those that have named a limit, for all daemons.
///
/// Only one daemon does so at a time, while it holds a lease. Each server has a token bucket that is empty at the
/// start of a lease, so that the permits of two issuers in turn are not more than those of one. As a server turns
/// cold, the bucket is overdrawn, for the requests of daemons that do not know it yet. `S` names servers, and `Q`
/// queries.
#[derive(Clone, Debug)]
pub struct PermitIssuer<S, Q> {
    valid_since: Millis,
    valid_until: Millis,
    buckets: HashMap<S, Bucket>,
    /// When unused buckets were last looked for.
    swept_at: Millis,
    /// The queries that got a permit lately.
    answered: HashSet<Q>,
    /// The same with the times of their permits, the latest last.
    answered_at: VecDeque<(Millis, Q)>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    /// Tokens that were promised to daemons that were told when to ask again.
    promised: f64,
    updated_at: Millis,
}

impl<S, Q> Default for PermitIssuer<S, Q> {
    fn default() -> PermitIssuer<S, Q> {
        PermitIssuer {
            valid_since: Millis::ZERO,
            valid_until: Millis::ZERO,
            buckets: HashMap::new(),
            swept_at: Millis::ZERO,
            answered: HashSet::new(),
            answered_at: VecDeque::new(),
        }
    }
}

impl<S: Eq + Hash, Q: Clone + Eq + Hash> PermitIssuer<S, Q> {
    /// Sets until when this daemon may issue permits. If it might not until now, another one may have issued
    /// some, so all buckets start empty.
    pub fn set_valid_until(&mut self, now: Millis, valid_until: Millis) {
        if !self.is_valid(now) {
            self.buckets.clear();
            self.answered.clear();
            self.answered_at.clear();
            self.valid_since = now;
        }
        self.valid_until = valid_until;
    }

    /// Returns whether this daemon may issue permits.
    pub fn is_valid(&self, now: Millis) -> bool {
        now < self.valid_until
    }

    /// Decides whether one request may be sent to a server. A query that is repeated, as its answer may be lost,
    /// gets no second permit.
    pub fn ask(
        &mut self,
        now: Millis,
        rate: PermitRate,
        demand: PermitDemand<S, Q>,
    ) -> PermitReply {
        let PermitDemand { query, server, rank, reason } = demand;
        if !self.is_valid(now) {
            return PermitReply::NotIssuer;
        }
        let is_old = |(at, _): &mut (Millis, Q)| now.since(*at) >= MAX_PERMIT_VALIDITY;
        while let Some((_, old)) = self.answered_at.pop_front_if(is_old) {
            self.answered.remove(&old);
        }
        if self.answered.contains(&query) {
            return PermitReply::Issued;
        }
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.buckets.retain(|_, bucket| now.since(bucket.updated_at) < BUCKET_RETENTION);
        }
        let valid_since = self.valid_since;
        let bucket = self.buckets.entry(server).or_insert(Bucket::new(valid_since, 0.0));
        match reason {
            PermitReason::Cold { since: Some(since) } if since > bucket.updated_at => {
                *bucket = Bucket::new(since, -rate.burst);
            }
            PermitReason::Cold { since: None }
                if now.since(bucket.updated_at) >= rate.time_to_fill() + NEW_DEMAND_AFTER =>
            {
                *bucket = Bucket::new(now, 0.0);
            }
            PermitReason::Cold { .. } | PermitReason::Limit => {}
        }
        bucket.refill(now, rate);
        let needed = 1.0 + TOKENS_PER_RANK * f64::from(rank.min(MAX_RANK));
        let missing = needed.min(rate.burst) - bucket.tokens;
        if missing <= 0.0 {
            bucket.tokens -= 1.0;
            self.answered.insert(query.clone());
            self.answered_at.push_back((now, query));
            return PermitReply::Issued;
        }
        let seconds = (missing + bucket.promised) / rate.per_second;
        bucket.promised = (bucket.promised + 1.0).min(rate.per_second * MAX_PROMISED_SECONDS);
        PermitReply::Denied(Millis((seconds * 1000.0).ceil() as u64))
    }
}

impl Bucket {
    fn new(at: Millis, tokens: f64) -> Bucket {
        Bucket { tokens, promised: 0.0, updated_at: at }
    }

    fn refill(&mut self, now: Millis, rate: PermitRate) {
        let new = rate.per_second * now.since(self.updated_at).0 as f64 / 1000.0;
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + new).min(rate.burst);
        self.promised = (self.promised - new).max(0.0);
    }
}
