//! Decides when a daemon may call the store while calls fail.
//!
//! In 8 s without the store 65 daemons made 7,391 calls, since each task of each daemon repeated its
//! own. All calls of a daemon now share one delay, which grows with the number of daemons that see the
//! store away, and a daemon learns from the others what their calls have shown.

mod backoff;
mod check;
mod failures;
mod news;
mod outage;

pub use {
    backoff::{Backoff, CallKind, CallTime},
    news::{CallFailure, StoreNews},
    outage::{MIN_OUTAGE, Outage},
};
