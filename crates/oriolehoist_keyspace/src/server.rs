use {
    crate::{
        FenceCounter, ServerIncarnation,
        timing::{
            GRANT_TIMEOUT, LOST_MIN_FAILURES, LOST_TIMEOUT, MAX_RECOVERY_DOUBLINGS, RECOVERY_DELAY,
            RENEWAL_INTERVAL, RETRY_DELAY, latest_grant_expiry,
        },
    },
    derive_more::Display,
    oriolehoist_port::KeyRange,
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::net::SocketAddr,
};

/// The index of a server incarnation among those of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServerIndex(pub(crate) u32);

/// The number of later samples after which the weight of a measurement has halved, and the same for the
/// steady service time. With the smaller number, queues of a few seconds change the capacity.
const SAMPLE_HALF_LIFE: f32 = 60.0;
const STEADY_SAMPLE_HALF_LIFE: f32 = 200.0;
/// The number of samples that the prior counts as, against a server's own samples.
const PRIOR_WEIGHT: f32 = 4.0;

/// The lowest capacity that is assumed for a server that limits its rate, in requests per second.
const MIN_CAPACITY: f32 = 0.25;

/// A server's service time for requests, as measured by daemons.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTime {
    total_millis: f32,
    samples: f32,
}

impl ServiceTime {
    /// Adds a measurement. The weight of earlier ones decays with the number of samples that
    /// follow.
    fn add(&mut self, millis: u32, samples: u32, half_life: f32) {
        let kept = 0.5_f32.powf(samples as f32 / half_life);
        self.total_millis = self.total_millis * kept + millis as f32;
        self.samples = self.samples * kept + samples as f32;
    }

    /// Returns the mean service time of several servers in milliseconds, or `default` if there are
    /// no samples.
    pub(crate) fn mean(all: impl Iterator<Item = ServiceTime>, default: f32) -> f32 {
        let total = all.fold(ServiceTime::default(), |sum, server| ServiceTime {
            total_millis: sum.total_millis + server.total_millis,
            samples: sum.samples + server.samples,
        });
        if total.samples > 0.0 { total.total_millis / total.samples } else { default }
    }

    /// Returns the estimated service time in milliseconds, which is close to `prior` while there
    /// are few samples.
    pub(crate) fn estimate(self, prior: f32) -> f32 {
        (prior * PRIOR_WEIGHT + self.total_millis) / (PRIOR_WEIGHT + self.samples)
    }
}

/// Identifies a connection over which one server process gets its grants.
///
/// An address does not prove which process listens there, but a connection ends with the process
/// that accepted it. Each fencing token is therefore used over one connection only. The value is
/// also the lowest token used over the connection.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub(crate) u64);

/// The state of an incarnation according to the registrations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Status {
    /// It accepts keys.
    Ready,
    /// It is draining or no longer registered, and may still be running.
    Leaving,
    /// The server has restarted, so this incarnation has ended.
    Superseded,
}

/// The times until which grants to a server may be in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GrantExpiry {
    /// When the last grant expires.
    latest: Millis,
    /// When the last unanswered grant expires. Such a grant may still be carried out late.
    unanswered: Millis,
}

impl GrantExpiry {
    fn on_arrived(&mut self, now: Millis, grant_duration: Millis, answered: bool) {
        let expires_at = latest_grant_expiry(now, grant_duration);
        self.latest = self.latest.max(expires_at);
        if !answered {
            self.unanswered = self.unanswered.max(expires_at);
        }
    }

    fn extend(&mut self, other: GrantExpiry) {
        self.latest = self.latest.max(other.latest);
        self.unanswered = self.unanswered.max(other.unanswered);
    }
}

/// The grants of the probe key, which is renewed ahead of the other keys.
///
/// Probing limits the effect of losing a server: a renewal that a lost server leaves unanswered may
/// be in force for a full grant duration, and then affects only the probe key.
#[derive(Clone, Copy, Debug)]
struct Probe {
    key: u16,
    grants: GrantExpiry,
}

/// The state of one incarnation of a server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) incarnation: ServerIncarnation,
    /// `None` if the incarnation is known only from the stored table.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) slots: u32,
    /// The availability zone, or empty if it is not known.
    pub(crate) zone: SmolStr,
    pub(crate) status: Status,
    /// When the grants of this assigner expire, except those of the probe key.
    grants: GrantExpiry,
    /// When all grants of previous assigners have expired.
    adopted_expiry: Millis,
    probe: Option<Probe>,
    /// The connection for its grants, or `None` if the next grant needs a new one.
    pub(crate) session: Option<SessionId>,
    /// The highest fencing token that a grant to it may have carried because of its session, or
    /// under a previous assigner.
    pub(crate) highest_session_fence: u64,
    /// The first key that the next renewal of all keys covers, because the one before was cut short
    /// by the end of its connection.
    pub(crate) renew_from: u16,
    /// The next renewal covers all keys, because a probe succeeded or the renewal is urgent.
    pub(crate) renew_all: bool,
    /// The number of grants and probes in flight.
    pub(crate) grants_in_flight: u32,
    pub(crate) next_renewal: Millis,
    pub(crate) consecutive_failures: u32,
    /// Another server has answered an order at its address, so this incarnation has ended.
    pub(crate) answered_by_other: bool,
    /// Another server has its address, as two observations show, the later one a response to an order that
    /// named this server. The process has ended, and grants that are still on their way to its address
    /// reach a server that rejects them.
    pub(crate) is_replaced: bool,
    /// A server that started later is registered with its address, so this incarnation has ended.
    pub(crate) address_superseded: bool,
    /// When this assigner first saw it registered.
    pub(crate) first_seen_at: Millis,
    pub(crate) last_response: Millis,
    /// When an order last failed.
    pub(crate) last_failure: Millis,
    /// How often it was reached again after it had been considered lost.
    recoveries: u32,
    next_recovery_at: Millis,
    pub(crate) service_time: ServiceTime,
    /// Its service time over more requests, without those that it ran while it limited its rate: a cold
    /// server is slower.
    pub(crate) steady_service_time: ServiceTime,
    /// The requests per second that it takes, if it has named a limit.
    pub(crate) rate_limit: Option<f32>,
    /// Whether it has said that it leaves.
    pub(crate) says_leaving: bool,
    /// Since when its zone is known to be evacuated, if it is.
    pub(crate) evacuated_since: Option<Millis>,
}

impl Server {
    pub(crate) fn new(
        now: Millis,
        incarnation: ServerIncarnation,
        grants_expire_at: Millis,
    ) -> Server {
        Server {
            incarnation,
            address: None,
            slots: 1,
            zone: SmolStr::default(),
            status: Status::Leaving,
            grants: GrantExpiry::default(),
            adopted_expiry: grants_expire_at,
            probe: None,
            session: None,
            highest_session_fence: 0,
            renew_from: 0,
            // Grants of a previous assigner may be about to expire.
            renew_all: grants_expire_at > Millis::ZERO,
            grants_in_flight: 0,
            next_renewal: now,
            consecutive_failures: 0,
            answered_by_other: false,
            is_replaced: false,
            address_superseded: false,
            first_seen_at: now,
            last_response: now,
            last_failure: Millis::ZERO,
            recoveries: 0,
            next_recovery_at: now,
            service_time: ServiceTime::default(),
            steady_service_time: ServiceTime::default(),
            rate_limit: None,
            says_leaving: false,
            evacuated_since: None,
        }
    }

    /// Returns whether keys may be assigned to the server, as far as it says and its registration.
    pub(crate) fn is_available(&self) -> bool {
        self.status == Status::Ready && !self.says_leaving && !self.has_ended()
    }

    /// Returns whether it is leaving, according to its registration or to itself.
    pub(crate) fn is_leaving(&self) -> bool {
        self.status == Status::Leaving || self.says_leaving
    }

    /// Adds measured service times.
    pub(crate) fn add_service_times(&mut self, millis: u32, samples: u32) {
        self.service_time.add(millis, samples, SAMPLE_HALF_LIFE);
        if self.rate_limit.is_none() {
            self.steady_service_time.add(millis, samples, STEADY_SAMPLE_HALF_LIFE);
        }
    }

    /// Returns how many requests per second the server can run, with one of its service times. `prior` is
    /// the service time that is assumed while it has few samples, in milliseconds.
    pub(crate) fn capacity(&self, service_time: ServiceTime, prior: f32) -> f32 {
        let by_slots = self.slots as f32 * 1000.0 / service_time.estimate(prior).max(1.0);
        by_slots.min(self.rate_limit.map_or(f32::INFINITY, |limit| limit.max(MIN_CAPACITY)))
    }

    /// Returns whether another process is known to have taken its place.
    pub(crate) fn has_ended(&self) -> bool {
        self.status == Status::Superseded || self.answered_by_other || self.address_superseded
    }

    /// Returns when the server started, as far as is known: servers compare by this.
    pub(crate) fn start(&self) -> (u64, Millis) {
        (self.incarnation.started_at, self.first_seen_at)
    }

    /// Returns whether the server has not responded to orders for long enough to consider it lost.
    pub(crate) fn is_unresponsive(&self, now: Millis) -> bool {
        self.consecutive_failures >= LOST_MIN_FAILURES
            && now.since(self.last_response) >= LOST_TIMEOUT
    }

    /// Returns whether the last order failed, and the server has responded to none since the round of
    /// renewals before.
    pub(crate) fn is_failing(&self, now: Millis) -> bool {
        self.consecutive_failures > 0
            && now.since(self.last_response) > RENEWAL_INTERVAL + GRANT_TIMEOUT
    }

    /// Records that the server was reached otherwise than by an order. If it was considered lost, it
    /// gets orders again; the next time, it waits longer for that.
    pub(crate) fn on_reached(&mut self, now: Millis) {
        if self.is_unresponsive(now) && now >= self.next_recovery_at {
            let delay = RECOVERY_DELAY * (1 << self.recoveries.min(MAX_RECOVERY_DOUBLINGS));
            self.next_recovery_at = now + delay;
            self.recoveries += 1;
            self.consecutive_failures = 0;
            self.last_response = now;
        }
    }

    /// Returns when all grants that the server may have received for keys of a range have expired.
    pub(crate) fn last_grant_expiry(&self, range: KeyRange) -> Millis {
        self.grant_expiry(range).latest.max(self.adopted_expiry)
    }

    /// Returns until when a delayed grant of a range may still take effect after a release: one
    /// that this assigner sent without getting a response or, if `adopted`, one of a previous
    /// assigner.
    pub(crate) fn delayed_grant_expiry(&self, range: KeyRange, adopted: bool) -> Millis {
        let own = self.grant_expiry(range).unanswered;
        if adopted { own.max(self.adopted_expiry) } else { own }
    }

    /// Returns the expiry of the grants of this assigner for keys of a range.
    fn grant_expiry(&self, range: KeyRange) -> GrantExpiry {
        let mut expiry = self.grants;
        if let Some(probe) = self.probe.filter(|probe| range.contains(probe.key)) {
            expiry.extend(probe.grants);
        }
        expiry
    }

    /// Returns the current probe key if it lies in one of the ranges to renew.
    pub(crate) fn probe_key(&self, mut ranges: impl Iterator<Item = KeyRange>) -> Option<u16> {
        let key = self.probe?.key;
        ranges.any(|range| range.contains(key)).then_some(key)
    }

    /// Returns the probe key if the server may hold it for longer than all its other keys.
    pub(crate) fn longest_granted_key(&self) -> Option<u16> {
        let longer = |probe: &Probe| probe.grants.latest > self.grants.latest;
        self.probe.filter(longer).map(|probe| probe.key)
    }

    /// Returns the session for the next grant, and starts one if there is none. Returns `None` if
    /// no fencing token is reserved for it.
    pub(crate) fn get_or_start_session(&mut self, fences: &mut FenceCounter) -> Option<SessionId> {
        if self.session.is_none() {
            let fence = fences.issue_reserved()?;
            self.session = Some(SessionId(fence));
            self.highest_session_fence = fence;
        }
        self.session
    }

    /// Returns the fencing token with which the server gets a range that is assigned to it under
    /// `fence`, or has got it at most.
    pub(crate) fn token(&self, fence: u64) -> u64 {
        self.highest_session_fence.max(fence)
    }

    /// Records that the connection of a session has ended.
    pub(crate) fn on_session_ended(&mut self, ended: SessionId) {
        self.session = self.session.filter(|session| *session != ended);
    }

    /// Lets the next renewal of all keys, which continues one that was cut short, cover `first`.
    pub(crate) fn continue_renewal_from(&mut self, first: u16) {
        self.renew_from = if self.renew_all { self.renew_from.min(first) } else { first };
    }

    /// Schedules the next renewal soon after a failed one.
    pub(crate) fn retry_renewal(&mut self, now: Millis) {
        self.next_renewal = self.next_renewal.min(now + RETRY_DELAY);
    }

    /// Records that a grant arrived no later than `now`.
    pub(crate) fn on_grant_arrived(&mut self, now: Millis, grant_duration: Millis, answered: bool) {
        self.grants.on_arrived(now, grant_duration, answered);
    }

    /// Records that a probe of `key` arrived no later than `now`.
    pub(crate) fn on_probe_arrived(
        &mut self,
        now: Millis,
        key: u16,
        grant_duration: Millis,
        answered: bool,
    ) {
        let mut probe = Probe { key, grants: GrantExpiry::default() };
        match self.probe {
            Some(earlier) if earlier.key == key => probe = earlier,
            // Only one key is tracked separately from the others.
            Some(earlier) => self.grants.extend(earlier.grants),
            None => {}
        }
        probe.grants.on_arrived(now, grant_duration, answered);
        self.probe = Some(probe);
    }
}
