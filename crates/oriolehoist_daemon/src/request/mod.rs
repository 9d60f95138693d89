//! State with the lifetime of a request: from its arrival to the response.

mod callers;
mod exchange;
mod forward;
mod parse;
mod quarantine;
mod refusal;
mod route;

pub(crate) use callers::callers_router;
