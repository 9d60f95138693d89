//! What lives as long as the process.

mod daemon;
mod event;
mod keys;
mod logging;
mod metrics;
mod shared;

pub use {
    daemon::{Configured, Daemon, Running},
    event::Event,
    logging::init_logging,
};

pub(crate) use {
    event::report,
    metrics::{Metrics, Phase},
    shared::Shared,
};
