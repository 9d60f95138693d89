//! Kinds of refusals, the response to each, and signed receipts that prove a refusal.
//!
//! ```
//! use oriolehoist_refusal::{RefusalKind, RunState};
//!
//! assert_eq!(RefusalKind::OwnerLost.response().run_state, RunState::NotRun);
//! assert_eq!(RefusalKind::OutcomeUnknown.response().status, 504);
//! ```

mod kind;
mod receipt;
mod sign;

pub use {
    kind::{RefusalKind, ResponseTemplate, RetryAdvice, RunState},
    receipt::Receipt,
    sign::{KeyId, KeyRing, ReceiptError, SigningKey},
};
