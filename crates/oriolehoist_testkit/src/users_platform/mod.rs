//! Stand-ins for the users' platform: its store, its backend servers, and daemons that run on it
//! as processes.

mod client;
mod deployment;
mod raw_server;
mod server;
mod store;

pub use {
    client::{Client, ClientResponse},
    deployment::{Daemon, Deployment, HOST},
    raw_server::{RawServer, ResponseFault},
    server::{ExecutedRequest, Server, ServerFaults},
    store::{Store, StoreFaults},
};
