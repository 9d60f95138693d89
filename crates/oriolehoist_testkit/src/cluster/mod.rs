//! A site on this machine: daemons, fake platform services and backend servers, and the network
//! edges between them.

mod address;
#[allow(clippy::module_inception)]
mod cluster;
mod daemon;
mod queries;

pub use {
    cluster::{Cluster, ClusterOptions, ServerHandle},
    daemon::{DaemonHandle, DaemonMode},
};
