//! Kinds of refusals, the response to each, and signed receipts that prove a refusal.
//!
//! ```
//! use oriolehoist_refusal::{Kind, RunState};
//!
//! assert_eq!(Kind::OwnerLost.meaning().run_state, RunState::NotRun);
//! assert_eq!(Kind::OutcomeUnknown.meaning().status, 504);
//! ```

mod kind;
mod receipt;
mod sign;

pub use {
    kind::{Kind, Meaning, Return, RunState},
    receipt::Receipt,
    sign::{KeyId, KeyRing, ReceiptError, SigningKey},
};
