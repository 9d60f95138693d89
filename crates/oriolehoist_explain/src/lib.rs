//! What a daemon would do with a request at this moment, and why, in the form that both interfaces
//! return and `oriolectl explain` shows.
//!
//! All types are plain data, encoded as JSON. Fields whose names end with `_ms` are in milliseconds.
//!
//! ```
//! use oriolehoist_explain::{Exclusion, Step};
//! use oriolehoist_time::Millis;
//!
//! let step = Step::Send { server: "i-7".into(), is_random: false };
//! assert_eq!(step.to_string(), "send to i-7");
//! let paused = Exclusion::Paused { left_ms: Millis(1200) };
//! assert_eq!(paused.to_string(), "paused for 1200 ms");
//! ```

mod consistent;
mod error;
mod exclusion;
mod explanation;
mod query;
mod step;

pub use {
    consistent::explain_step,
    error::{ExplainError, ExplainErrorKind},
    exclusion::Exclusion,
    explanation::{ExplainedPart, ExplainedRoute, ExplainedServer, Explanation, Owner},
    query::{EXPLAIN_PATH, ExplainQuery},
    step::{ExplainedRefusal, Step},
};
