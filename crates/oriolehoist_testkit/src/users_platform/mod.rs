//! Stand-ins for the users' platform: its store, its backend servers, and daemons that run on it
//! as processes.

mod client;
mod deployment;
mod server;
mod store;

pub use {
    client::{Client, Reply},
    deployment::{Daemon, Deployment, HOST},
    server::{Ran, Server, ServerFaults},
    store::{Store, StoreFaults},
};
