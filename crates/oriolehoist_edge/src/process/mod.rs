//! Types with the lifetime of the process.

mod daemon;
mod evacuations;
mod metrics;
mod permits;
mod reach;
mod routes;
mod shared;
mod store_calls;
mod suspects;
mod warm_up;

pub use daemon::run;
pub(crate) use {
    metrics::Metrics,
    shared::{LoadPeers, Shared, lock},
};
