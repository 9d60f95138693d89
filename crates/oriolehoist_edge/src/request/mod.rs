//! What lives as long as a request.

mod exchange;
mod forward;
mod refuse;
mod respond;
mod select;
mod suspicion;

pub(crate) use {
    refuse::Reply,
    respond::{Request, respond},
};
