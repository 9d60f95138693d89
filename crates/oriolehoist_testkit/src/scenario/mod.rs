//! A small language for scripted failures.
//!
//! A scenario is a text of one directive a line; `#` starts a comment:
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
//! Whatever a scenario expects, the standing promises are judged in each: one owner, own answers,
//! at most once, and not run means not run. `docs/PROOFS.md` lists the scenarios.

mod judge;
mod network;
mod parse;
mod run;
mod script;
mod watch;

pub use {
    parse::{ParseError, parse},
    run::{Report, run},
    script::{Action, End, Expectation, FaultKind, Script, Selector, Step},
};
