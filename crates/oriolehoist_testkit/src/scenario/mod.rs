//! A small language for scripted failures.
//!
//! A scenario is a text with one directive per line; `#` starts a comment:
//!
//! ```text
//! site villacres
//! daemons 4
//! load service=mareas-live rate=150 keys=40 bookings=40 deadline=3000ms for=6s
//! at 1500ms kill owner of key-7
//! expect interruption
//! expect served-again within 2s
//! ```
//!
//! Besides its own expectations, every scenario checks the invariants: a shard has at most one
//! owner at a time, every response belongs to its request, bookings run at most once, and requests
//! that were refused as not run did not run. At least one request must also have been served.
//! `docs/PROOFS.md` lists the scenarios.

mod evaluation;
mod network;
mod parse;
mod run;
mod script;
mod settings_monitor;

pub use {
    parse::{ParseError, parse},
    run::{Report, run},
    script::{Action, Endpoint, Expectation, FaultKind, Script, Selector, Step},
};
