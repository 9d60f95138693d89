//! What a daemon knows of its paths to servers, and of the other daemons as ways to them.
//!
//! A connection that fails is evidence of a path, not of the server at its end: other daemons may
//! reach a server that this one does not.
//!
//! The crate performs no I/O and reads no clock.
//!
//! ```
//! use {oriolehoist_reach::{Failure, Paths}, oriolehoist_time::Millis};
//!
//! let mut paths = Paths::default();
//! paths.set_servers(["a", "b"]);
//! paths.on_failure(Millis(300), "a", Millis(0), Failure::NoConnection);
//! assert!(paths.is_lost("a"));
//! assert!(!paths.is_lost("b"));
//! ```

mod paths;
mod peers;

pub use {
    paths::{Failure, PathChange, Paths, ReachSummary},
    peers::{HandOverEnd, Peers},
};
