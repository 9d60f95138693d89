//! What lives as long as a connection.

mod backend;
mod caller;
mod callers;
mod idle;
mod link;

pub(crate) use {
    backend::{Backend, Backends},
    caller::{Caller, CallerOptions},
    callers::serve_callers,
    idle::IdleLinks,
    link::{CallError, Link, Sent},
};
