//! Types with the lifetime of a connection: connections from callers, and those to backend servers
//! and other processes.

mod backend;
mod caller;
mod callers;
mod idle;
mod link;

pub(crate) use {
    backend::{Backend, Backends},
    caller::{HttpClient, HttpClientOptions},
    callers::serve_callers,
    idle::IdlePool,
    link::{CallError, ClientConnection, SendState},
};
