//! Decides when a daemon probes a server for its load before it sends a request there.

use {
    crate::choice::{Sample, ServerOption},
    oriolehoist_time::Millis,
};

/// The age up to which a report of a server's load makes a probe unnecessary. Small fleets know loads
/// within this time.
const KNOWN_LOAD_AGE: Millis = Millis(40);
/// The age up to which a report of a server that answers probes counts as current.
const CURRENT_LOAD_AGE: Millis = Millis(100);
/// The time from the start of a probe, with the set-up of a connection, after which it has failed.
pub const PROBE_TIMEOUT: Millis = Millis(40);
/// The maximum time that one request waits for probes.
const MAX_PROBE_TIME: Millis = Millis(60);
/// The maximum number of probes for one request without a key.
const MAX_PROBES: u32 = 3;
/// A request whose deadline is closer than this is not delayed by a probe.
const MIN_TIME_LEFT: Millis = Millis(100);
/// How long a server that did not answer a probe is not probed. Each further failure doubles it.
const BASE_BACKOFF: Millis = Millis(250);
/// Upper bound of that time.
const MAX_BACKOFF: Millis = Millis(2000);
/// A server that has failed to answer this many probes in a row is reported once.
const REPORTED_FAILURES: u32 = 10;

/// The part of a current wait, as one of this many, that is added to the latency that decides on
/// admission. All daemons fill a queue up to the objective once they know it well, and requests are late
/// then as soon as the machine is slower for a moment. `docs/design/load-probes.md` lists what was
/// compared.
const WAIT_MARGIN_DIVISOR: u64 = 2;

/// What a daemon knows of a server at the moment when a probe may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The age of the newest report of its load, from any source.
    pub report_age: Millis,
    /// Whether it is cold or presumed cold, leaving, paused or limits its request rate, its zone is
    /// evacuated, its path is lost, or this daemon may open no further connection to it.
    pub is_excluded: bool,
    /// Whether its estimated load is at least half of its slots.
    pub is_half_used: bool,
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeEnd {
    /// The server reported its load.
    Answered,
    /// No response arrived in time.
    TimedOut,
    /// There was no connection, or no response with a load.
    Failed,
    /// The response belongs to a request, or another process sent it.
    Foreign,
}

impl ProbeEnd {
    /// Returns the name of the end in metrics.
    pub fn name(self) -> &'static str {
        match self {
            ProbeEnd::Answered => "answered",
            ProbeEnd::TimedOut => "timed-out",
            ProbeEnd::Failed => "failed",
            ProbeEnd::Foreign => "foreign",
        }
    }
}

/// The load probes of one daemon to one server.
#[derive(Clone, Debug, Default)]
pub struct LoadProbes {
    /// Whether the server has reported how long work takes at the moment, as servers do that answer
    /// health checks at once.
    is_supported: bool,
    /// The probes without an answer since the last one with an answer.
    failures: u32,
    /// The time before which no probe is sent after a failure.
    retry_at: Millis,
}

impl LoadProbes {
    /// Records that the server has reported how long work takes at the moment. Returns whether that
    /// is new.
    pub fn on_supported(&mut self) -> bool {
        !std::mem::replace(&mut self.is_supported, true)
    }

    /// Returns whether the server answers probes as far as is known.
    pub fn is_supported(&self) -> bool {
        self.is_supported
    }

    /// Returns whether the load is known well enough to hold requests back because of it.
    pub fn is_current(&self, report_age: Millis) -> bool {
        self.is_supported && report_age <= CURRENT_LOAD_AGE
    }

    /// Returns whether a probe would improve what is known of the load, and may be sent.
    pub fn is_due(&self, now: Millis, is_keyed: bool, target: ProbeTarget) -> bool {
        self.is_supported
            && now >= self.retry_at
            && target.report_age > KNOWN_LOAD_AGE
            && !target.is_excluded
            // The owner gets the request with less load in any case.
            && (!is_keyed || target.is_half_used)
    }

    /// Records the end of a probe. Returns whether the server has now failed so many in a row that
    /// operators need to know it.
    pub fn on_end(&mut self, now: Millis, end: ProbeEnd) -> bool {
        if end == ProbeEnd::Answered {
            self.failures = 0;
            return false;
        }
        let backoff = Millis(BASE_BACKOFF.0 << self.failures.min(8));
        self.retry_at = now + backoff.min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.failures == REPORTED_FAILURES
    }
}

/// Returns the latency that decides whether a server can finish a request in time. `is_current` is
/// whether the load that `wait` and `latency` follow from is current.
pub fn latency_for_admission(wait: Millis, latency: Millis, is_current: bool) -> Millis {
    match is_current {
        true => latency + Millis(wait.0 / WAIT_MARGIN_DIVISOR),
        false => latency,
    }
}

/// The time and the number of probes that one request may use.
#[derive(Clone, Copy, Debug)]
pub struct ProbeAllowance {
    ends_at: Millis,
    probes_left: u32,
}

impl ProbeAllowance {
    /// Creates the allowance of a request that is about to be sent at `now`. A request with a key has
    /// one probe, as only the owner can serve it.
    pub fn new(now: Millis, deadline: Millis, is_keyed: bool) -> ProbeAllowance {
        let probes_left = match deadline.since(now) {
            left if left < MIN_TIME_LEFT => 0,
            _ if is_keyed => 1,
            _ => MAX_PROBES,
        };
        ProbeAllowance { ends_at: now + MAX_PROBE_TIME, probes_left }
    }

    /// Takes one probe. Returns the maximum wait for its response, or `None` if there is no probe or
    /// no time left.
    pub fn take(&mut self, now: Millis) -> Option<Millis> {
        let left = self.ends_at.since(now).min(PROBE_TIMEOUT);
        if self.probes_left == 0 || left == Millis::ZERO {
            return None;
        }
        self.probes_left -= 1;
        Some(left)
    }
}

/// The step of a request without a key that has a sample of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Probe the server with this index, wait at most this long, and ask again.
    Probe(usize, Millis),
    /// Send the request to the server with this index.
    Send(usize),
}

impl Sample {
    /// Decides on the next step: probe the best server as long as its load is not known, or send the
    /// request there. `is_due` returns whether a probe of the server with an index is due. Returns
    /// `None` if the sample is empty.
    pub fn next_step<T: ServerOption>(
        &self,
        now: Millis,
        servers: &[T],
        allowance: &mut ProbeAllowance,
        is_due: impl Fn(usize) -> bool,
    ) -> Option<ProbeStep> {
        let best = self.best(servers)?;
        let wait = is_due(best).then(|| allowance.take(now)).flatten();
        Some(wait.map_or(ProbeStep::Send(best), |wait| ProbeStep::Probe(best, wait)))
    }
}
