//! Admission control for backend servers: decides when a request may be sent, with concurrency
//! limits, fair queues, rates that servers ask for, retry budgets and a quarantine for requests that
//! crash servers.
//!
//! The crate performs no I/O and reads no clock. Callers pass in events with the current time, and
//! do the waiting themselves.
//!
//! ```
//! use {
//!     oriolehoist_admission::{
//!         Admission, AdmissionController, AdmissionLimits, Class, QueuedRequest,
//!     },
//!     oriolehoist_time::Millis,
//! };
//!
//! let mut controller = AdmissionController::new(AdmissionLimits { slots: 1, queue: 1 });
//! let request = QueuedRequest::new(Class::Interactive, "", Millis(1000));
//! assert!(matches!(controller.admit(Millis(0), request.clone()), Admission::Admitted));
//! assert!(matches!(controller.admit(Millis(0), request.clone()), Admission::Queued(_)));
//! assert!(matches!(controller.admit(Millis(0), request), Admission::Refused(_)));
//! ```

mod availability;
mod choice;
mod class;
mod controller;
mod crash_suspects;
mod fingerprint;
mod headroom;
mod held_requests;
mod known_load;
mod limit;
mod load_estimator;
mod load_probe;
mod peers;
mod permit_issuer;
mod permit_requests;
mod queue;
mod rate_limit;
mod rate_reports;
mod reports;
mod retry;
mod route_work;
mod suspect_writes;
mod warm_up;

pub use {
    availability::{PermitNeed, StatedAvailability},
    choice::{Sample, ServerOption, best_server, choose_server},
    class::Class,
    controller::{
        Admission, AdmissionController, AdmissionLimits, AdmissionRefusal, Completion, Dequeued,
    },
    crash_suspects::{CrashId, CrashSuspects, SUSPECT_TTL, SendDecision},
    fingerprint::{Fingerprint, FingerprintBuilder, RequestFingerprints},
    headroom::{Headrooms, RouteNeed},
    held_requests::{HeldRequest, HeldRequests, HoldId},
    limit::AdaptiveLimit,
    load_estimator::{
        InFlightOutcome, InFlightRequest, LoadEstimator, MeanServiceTime, ServiceTimeTotal,
    },
    load_probe::{
        LoadProbes, PROBE_TIMEOUT, ProbeAllowance, ProbeEnd, ProbeStep, ProbeTarget,
        latency_for_admission,
    },
    permit_issuer::{
        MAX_PERMIT_VALIDITY, PermitDemand, PermitIssuer, PermitRate, PermitReason, PermitReply,
    },
    permit_requests::{NoPermit, Permit, PermitRequests},
    queue::{FairQueue, QueuedRequest, Ticket},
    rate_limit::SharedRateLimit,
    rate_reports::{GroupReport, RateReport, RequestCounts},
    reports::GroupReports,
    retry::{RetryBudget, RetryBudgets},
    route_work::{RouteWork, RouteWorks},
    suspect_writes::SuspectWrites,
    warm_up::{MAX_WARM_UP, WarmUp, WarmUpPolicy, WarmUpReport},
};
