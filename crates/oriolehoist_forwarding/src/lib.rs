//! Decides what happens next to a request that is forwarded to a server: send it, wait, hand it over
//! to another daemon, or refuse it.
//!
//! The state machines have no I/O, clock or random source. A daemon tells them what it knows before
//! an attempt and how an attempt ended, and carries out the step that they return. The two
//! interfaces count and retry differently, so each has its own: [`PlatformRequest`] and
//! [`OwnRequest`].
//!
//! ```
//! use oriolehoist_forwarding::{PlatformRequest, PlatformTerms, Selected};
//! use oriolehoist_time::Millis;
//!
//! let terms = PlatformTerms {
//!     is_keyed: true,
//!     is_idempotent: false,
//!     is_handed_over: false,
//!     deadline: Millis(1000),
//!     objective_ends: Millis(400),
//!     latency_objective: Millis(400),
//!     max_attempts: 3,
//!     headroom: None,
//!     reserved_wait: None,
//!     may_exceed_headroom: false,
//! };
//! let mut request = PlatformRequest::new(terms);
//! assert_eq!(request.on_moving(Millis(0)), Millis(400));
//! assert_eq!(request.on_selected(7, false), Selected::Admit);
//! ```

mod hand_over;
mod own;
mod platform;
mod progress;
mod refusal;
mod stopping;

pub use {
    hand_over::{DaemonEnd, HandOverNext, WAY_ALLOWANCE},
    own::{Found, FoundNext, OwnAttemptEnd, OwnNext, OwnRequest, OwnTerms, QueueRefusal},
    platform::{
        AttemptEnd, ExpectedLoad, Gates, HEADROOM_EXEMPT_SHARE, MIN_RETRY_AFTER, PlatformNext,
        PlatformRequest, PlatformTerms, Selected,
    },
    refusal::{MayHaveRun, Refusal},
    stopping::Stop,
};
