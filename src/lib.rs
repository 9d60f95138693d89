//! A router between callers and backend servers that each own their keys exclusively.
//!
//! This crate re-exports the crates of the workspace. The logic is free of I/O and lives in
//! [`ownership`], [`placement`], [`admission`], [`settings`] and [`refusal`]. [`daemon`] runs it,
//! [`platform`] is the client of the platform's key-value service and instance list, and [`ctl`] is
//! the command-line client for operators.
//!
//! ```
//! use oriolehoist::prelude::*;
//!
//! let shard = ShardId::of_key("guayas-bar", 256);
//! assert!(shard.0 < 256);
//! ```

pub use {
    oriolehoist_admission as admission, oriolehoist_ctl as ctl, oriolehoist_daemon as daemon,
    oriolehoist_ownership as ownership, oriolehoist_placement as placement,
    oriolehoist_platform as platform, oriolehoist_protocol as protocol,
    oriolehoist_refusal as refusal, oriolehoist_settings as settings, oriolehoist_time as time,
};

/// The most commonly used items.
pub mod prelude {
    pub use {
        oriolehoist_admission::{AdmissionController, Class},
        oriolehoist_daemon::Daemon,
        oriolehoist_ownership::{Assigner, Follower, GrantTable, Timing},
        oriolehoist_protocol::{Epoch, ServerName, ServiceName, ShardId, Term, Version},
        oriolehoist_refusal::{Receipt, RefusalKind, RunState},
        oriolehoist_settings::{Settings, parse_settings},
        oriolehoist_time::{Clock, Millis},
    };
}
