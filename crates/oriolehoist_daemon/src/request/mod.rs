//! State with the lifetime of a request: from its arrival to the response.

mod callers;
mod exchange;
mod explain;
mod forward;
mod handover;
mod parse;
mod quarantine;
mod refusal;
mod route;

pub(crate) use {
    callers::callers_router,
    explain::explain,
    handover::{HandedOverRequest, serve_handed_over},
    quarantine::server_sight,
};
