//! The time type that all crates use, and the clock that produces it.
//!
//! Crates that only make decisions take the current time as a [`Millis`] argument and never read a
//! clock; only the runtime owns a [`Clock`].
//!
//! ```
//! use oriolehoist_time::{Clock, Millis};
//!
//! let clock = Clock::start();
//! let deadline = clock.now() + Millis::from_secs(2);
//! assert!(deadline.since(clock.now()) <= Millis::from_secs(2));
//! ```

mod clock;
mod millis;

pub use {clock::Clock, millis::Millis};
