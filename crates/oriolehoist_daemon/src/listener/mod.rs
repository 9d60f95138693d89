//! The three listeners: for callers, for the other daemons and for operators.

mod operators;
mod peers;

pub(crate) use {operators::operators_router, peers::peers_router};
