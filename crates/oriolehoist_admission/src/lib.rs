//! Admission control for backend servers: decides when a request may be sent, with concurrency
//! limits, fair queues, retry budgets and a quarantine for requests that crash servers.
//!
//! The crate performs no I/O and reads no clock. Callers pass in events with the current time, and
//! do the waiting themselves.
//!
//! ```
//! use {
//!     oriolehoist_admission::{Class, Entry, Gate, GateLimits, Waiting},
//!     oriolehoist_time::Millis,
//! };
//!
//! let mut gate = Gate::new(GateLimits { slots: 1, queue: 1 });
//! let request = Waiting::new(Class::Interactive, "", Millis(1000));
//! assert!(matches!(gate.enter(Millis(0), request.clone()), Entry::Admitted));
//! assert!(matches!(gate.enter(Millis(0), request.clone()), Entry::Queued(_)));
//! assert!(matches!(gate.enter(Millis(0), request), Entry::Refused(_)));
//! ```

mod class;
mod gate;
mod gauge;
mod limit;
mod queue;
mod retry;
mod suspects;

pub use {
    class::Class,
    gate::{Entry, Gate, GateLimits, GateRefusal, Leave, Turn},
    gauge::{AtServer, AtServerEnd, Gauge, WorkTotal},
    limit::AdaptiveLimit,
    queue::{FairQueue, Ticket, Waiting},
    retry::{RetryBudget, RetryBudgets},
    suspects::{Crash, Fingerprint, Judgement, Suspects},
};
