//! What a daemon knows of the warm-up of a server, from its registrations and its connections.

use {
    crate::{connection::Backend, process::lock},
    oriolehoist_admission::WarmUpPolicy,
    oriolehoist_port::{OperationalBounds, RegisteredServer, Revision, ServerWarmUp},
    oriolehoist_time::Millis,
    std::hash::{DefaultHasher, Hash, Hasher},
};

/// How many times the rate that a cold server takes it gets if the agreed factor makes no sense.
const DEFAULT_WARM_UP_FACTOR: f64 = 1.0;

/// Returns what cold servers get. A bound that makes no sense counts as its default.
pub(crate) fn warm_up_policy(bounds: &OperationalBounds, warm_up: ServerWarmUp) -> WarmUpPolicy {
    let or = |value: f64, default| if value.is_finite() && value > 0.0 { value } else { default };
    let factor = or(bounds.warm_up_factor, DEFAULT_WARM_UP_FACTOR);
    WarmUpPolicy {
        duration: warm_up.duration,
        rate: warm_up.requests_per_second * factor,
        slack: or(bounds.warm_up_slack, 0.0),
    }
}

/// The last registration of a server that was observed.
#[derive(Debug)]
pub(super) struct ObservedRegistration {
    revision: Option<Revision>,
    /// Whether it has been removed since.
    is_gone: bool,
    /// Whether the server was not among the first ones that this daemon knew, and callers send
    /// requests.
    started_in_traffic: bool,
}

impl ObservedRegistration {
    pub(super) fn new(started_in_traffic: bool) -> ObservedRegistration {
        ObservedRegistration { revision: None, is_gone: false, started_in_traffic }
    }
}

impl Backend {
    /// Sets what the limits on the server's request rate depend on. `daemons` is the size of the fleet, if it
    /// is known.
    pub(crate) fn set_rate_context(
        &self,
        daemons: Option<usize>,
        report_delay: Millis,
        policy: Option<WarmUpPolicy>,
    ) {
        let mut availability = lock(&self.availability);
        availability.rate_limit.set_daemons(daemons);
        availability.rate_limit.set_report_delay(report_delay);
        availability.warm_up.set_policy(policy);
    }

    /// Presumes that the server is cold from now on.
    pub(crate) fn presume_cold(&self, now: Millis) {
        self.availability().warm_up.presume(now, fastrand::u32(..));
    }

    /// Records that the server has answered.
    pub(crate) fn on_reached(&self, now: Millis) {
        lock(&self.availability).warm_up.on_reached(now);
    }

    /// Records that no connection to the server could be opened. `is_refused` is whether its machine
    /// says that no process listens.
    pub(crate) fn on_unreachable(&self, now: Millis, is_refused: bool) {
        lock(&self.availability).warm_up.on_unreachable(now, is_refused, fastrand::u32(..));
    }

    /// Records what the server's registration says about its warm-up. It was written after
    /// `written_after`.
    pub(crate) fn on_registration(
        &self,
        revision: Revision,
        written_after: Millis,
        remaining: Millis,
    ) {
        let mut known = lock(&self.registration);
        if known.revision == Some(revision) && !known.is_gone {
            return;
        }
        let now = self.clock.now();
        let event_of = |revision: Revision| {
            let mut hasher = DefaultHasher::new();
            (self.short_id, revision.0).hash(&mut hasher);
            hasher.finish() as u32
        };
        let (event, previous) = (event_of(revision), known.revision.map(event_of));
        let is_first = known.revision.replace(revision).is_none();
        let is_back = std::mem::take(&mut known.is_gone);
        let is_stated = remaining != RegisteredServer::WARM_UP_UNSTATED;
        let warm_up = &mut lock(&self.availability).warm_up;
        match remaining {
            RegisteredServer::WARM_UP_UNKNOWN => warm_up.presume(now, event),
            // The first registration of a process says that it has just started.
            _ if is_first
                && known.started_in_traffic
                && (remaining == Millis::ZERO || !is_stated) =>
            {
                warm_up.presume(now, self.short_id);
            }
            _ if is_stated => {
                warm_up.on_statement_after(now, written_after, remaining, event, previous);
            }
            _ if is_back => warm_up.presume(now, event),
            _ => {}
        }
    }

    /// Records that the server is not registered at the moment.
    pub(crate) fn on_registration_gone(&self) {
        lock(&self.registration).is_gone = true;
    }
}
