//! Decides when a request may be sent to a backend server: limits, queues and retry budgets.
//!
//! Everything here is driven by events and a time passed in; the runtime owns the waiting.
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
    queue::{ClassQueue, Ticket, Waiting},
    retry::{RetryBudget, RetryBudgets},
    suspects::{Crash, Fingerprint, Judgement, Suspects},
};
