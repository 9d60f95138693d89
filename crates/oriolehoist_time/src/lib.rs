//! The project's one time type, and the clock that produces it.
//!
//! Decision crates take [`Millis`] as an argument and never read a clock; only the runtime owns a
//! [`Clock`].
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
