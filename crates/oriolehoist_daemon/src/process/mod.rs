//! What lives as long as the process.

mod daemon;
mod keys;
mod metrics;
mod shared;

pub use daemon::{Configured, Daemon, Running};

pub use oriolehoist_log::{Event, init_logging};

pub(crate) use {
    metrics::{Metrics, Phase},
    oriolehoist_log::report,
    shared::Shared,
};
