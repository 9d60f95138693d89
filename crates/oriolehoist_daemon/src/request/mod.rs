//! What lives as long as a request: from its headers to its answer.

mod callers;
mod exchange;
mod forward;
mod parse;
mod refuse;
mod route;
mod suspicion;

pub(crate) use callers::callers_router;
