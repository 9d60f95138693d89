//! Types with the lifetime of a connection: connections from callers, and those to backend servers
//! and other processes.

mod backend;
mod backend_probe;
mod backend_warm_up;
mod callers;
mod client;
mod client_connection;
mod idle_pool;
mod response_reader;
mod silence;

pub(crate) use {
    backend::{Backend, BackendContext, Backends},
    backend_probe::ProbeRun,
    backend_warm_up::warm_up_policy,
    callers::serve_callers,
    client::{HttpClient, HttpClientOptions, ResponseTimeout},
    client_connection::{
        CallError, ClientConnection, ConnectionState, ExchangeProgress, ExpectedResponse,
        IdHeaders, MAX_BODY_BYTES, MAX_CONTROL_BODY_BYTES, ReceivedResponse,
    },
    idle_pool::IdlePool,
    silence::SilenceTracker,
};
