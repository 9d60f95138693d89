//! How long each server of a service takes for a request: pooled over what all daemons have measured,
//! and how the estimates are sent to them.
//!
//! A daemon of a large fleet sends each server a request every few seconds. Alone, it learns the
//! speeds of the servers within minutes; all daemons together learn them within a second or two.
//!
//! The crate performs no I/O and reads no clock.
//!
//! ```
//! use {oriolehoist_capacity::ServiceTimes, oriolehoist_time::Millis};
//!
//! let mut service_times = ServiceTimes::default();
//! service_times.add(Millis(0), "fast", 5_000, 50);
//! service_times.add(Millis(0), "slow", 15_000, 50);
//! let estimate = service_times.estimate(Millis(0), &"slow").map(|estimate| estimate.millis);
//! assert!(estimate.is_some_and(|millis| (290.0..300.0).contains(&millis)));
//! ```

mod announced;
mod service_times;

pub use {
    announced::{Announced, Change, Cursor, MAX_ANNOUNCED, Speed, refresh_interval},
    service_times::{Estimate, ServiceTimes},
};
