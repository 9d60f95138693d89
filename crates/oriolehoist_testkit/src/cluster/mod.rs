//! Daemons with stand-ins and faulty edges around them.

mod address;
#[allow(clippy::module_inception)]
mod cluster;
mod daemon;
mod questions;

pub use {
    cluster::{Cluster, ClusterOptions, ServerHandle},
    daemon::{DaemonHandle, DaemonMode},
};
