use {
    crate::{PermitRequests, SharedRateLimit, WarmUp},
    oriolehoist_time::Millis,
    std::hash::Hash,
};

/// The longest time for which a server gets no requests because it said so. One that asks for more
/// is tried again after this time, so that a wrong value does not leave it out for good.
const MAX_PAUSE: Millis = Millis::from_secs(600);

/// Whether the requests to a server need permits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitNeed {
    /// They need none.
    None,
    /// The server has named this limit, in requests per second. Without an issuer they may go without permits.
    Limit(f64),
    /// The server is cold until this time. None may go without a permit.
    Cold(Millis),
}

/// What one server has said about the requests that it takes, as one daemon has heard it.
///
/// That it leaves, and that it wants no requests for some time, binds the daemon that it was said
/// to. Its limit binds all daemons together. A new incarnation of the server has said nothing.
#[derive(Clone, Debug)]
pub struct StatedAvailability<K> {
    /// The rate of requests that it takes from all daemons together.
    pub rate_limit: SharedRateLimit<K>,
    /// Whether it is cold.
    pub warm_up: WarmUp,
    /// How this daemon asks for permits.
    pub permits: PermitRequests,
    /// When this daemon first heard that it leaves. A server that leaves does not return.
    leaving_since: Option<Millis>,
    /// Until when it wants no requests from this daemon.
    paused_until: Millis,
}

impl<K> Default for StatedAvailability<K> {
    fn default() -> StatedAvailability<K> {
        StatedAvailability {
            rate_limit: SharedRateLimit::default(),
            warm_up: WarmUp::default(),
            permits: PermitRequests::default(),
            leaving_since: None,
            paused_until: Millis::ZERO,
        }
    }
}

impl<K: Eq + Hash> StatedAvailability<K> {
    /// Returns the limit in force, in requests per second: the lower one of what the server named and of what
    /// it gets while it is cold.
    pub fn limit(&self, now: Millis) -> Option<f64> {
        let cold = self.warm_up.cold_policy(now).map(|policy| policy.rate);
        self.rate_limit.limit().into_iter().chain(cold).reduce(f64::min)
    }

    /// Returns the limit for the placement of keys, in requests per second. Of a server that can't be
    /// reached from here, keys are not moved because it may be cold when it is back.
    pub fn placement_limit(&self, now: Millis) -> Option<f64> {
        match self.warm_up.is_unreachable() {
            true => self.rate_limit.limit(),
            false => self.limit(now),
        }
    }

    /// Records that the server said that it leaves. Returns whether that is news.
    pub fn on_leaving(&mut self, now: Millis) -> bool {
        let is_new = self.leaving_since.is_none();
        self.leaving_since.get_or_insert(now);
        is_new
    }

    /// Records that the server wants no requests for `duration`. Returns whether it got any until
    /// now.
    pub fn on_pause(&mut self, now: Millis, duration: Millis) -> bool {
        let is_new = !self.is_paused(now);
        self.paused_until = self.paused_until.max(now + duration.min(MAX_PAUSE));
        is_new && self.is_paused(now)
    }

    /// Returns for how long this daemon has known that the server leaves, or `None` if it does not.
    pub fn leaving_for(&self, now: Millis) -> Option<Millis> {
        self.leaving_since.map(|since| now.since(since))
    }

    /// Returns until when the server wants no requests.
    pub fn paused_until(&self) -> Millis {
        self.paused_until
    }

    /// Returns whether the server wants no requests at the moment.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Returns whether nothing that the server has said keeps requests from it, now or later.
    pub fn is_unbound(&self, now: Millis) -> bool {
        self.leaving_since.is_none() && !self.is_paused(now)
    }

    /// Returns whether a request may be sent, apart from the limit of the rate: the server is not
    /// paused, and did not say longer than `drain_period` ago that it leaves.
    pub fn admits(&self, now: Millis, drain_period: Millis) -> bool {
        let has_left = self.leaving_for(now).is_some_and(|leaving| leaving >= drain_period);
        !has_left && !self.is_paused(now)
    }

    /// Returns how long it takes until a request of this rank may be sent. A rank of zero is the
    /// most urgent.
    pub fn wait(&mut self, now: Millis, rank: u32) -> Millis {
        self.limit_wait(now, rank).max(self.paused_until.since(now))
    }

    /// Returns how long the limits on the request rate keep a request of this rank from being sent.
    pub fn limit_wait(&mut self, now: Millis, rank: u32) -> Millis {
        self.rate_limit.wait(now, rank).max(self.permit_wait(now))
    }

    /// Returns whether requests need permits.
    pub fn permit_need(&self, now: Millis) -> PermitNeed {
        match (self.warm_up.cold_until(now), self.rate_limit.limit()) {
            (Some(until), _) => PermitNeed::Cold(until),
            (None, Some(limit)) => PermitNeed::Limit(limit),
            (None, None) => PermitNeed::None,
        }
    }

    /// Returns how long it takes until a permit may be asked for, or none is needed any more.
    pub fn permit_wait(&mut self, now: Millis) -> Millis {
        match self.permit_need(now) {
            PermitNeed::Cold(until) => self.permits.wait(now).min(until.since(now)),
            PermitNeed::Limit(limit) => self.permits.wait_if_answered(now, limit),
            PermitNeed::None => {
                // What was told holds for as long as permits are needed.
                self.permits.on_free();
                Millis::ZERO
            }
        }
    }
}
