//! What lives as long as a connection.

mod backend;
mod callers;
mod link;

pub(crate) use {
    backend::{Backend, Backends},
    callers::serve_callers,
    link::{CallError, Link, Sent},
};
