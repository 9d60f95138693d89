//! State with the lifetime of the process.

mod context;
mod daemon;
mod keys;
mod metrics;
mod reach;

pub use daemon::{Configured, Daemon, Running};

pub use oriolehoist_log::{Event, init_logging};

pub(crate) use {
    context::{DaemonContext, LivePeers},
    metrics::{Metrics, Phase},
    oriolehoist_log::report,
    reach::io_kind,
};
