//! HTTP routes for the other daemons and for operators. Those for callers are in
//! [`request`](crate::request).

mod operators;
mod peers;

pub(crate) use {operators::operators_router, peers::peers_router};
