//! Why a request was refused: the closed list of kinds, what each means, and signed receipts.
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
