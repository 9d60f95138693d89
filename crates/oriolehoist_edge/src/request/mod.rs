//! Types with the lifetime of a request.

mod exchange;
mod forward;
mod refuse;
mod respond;
mod select;
mod suspicion;

pub(crate) use {
    refuse::CallerResponse,
    respond::{Request, respond},
};
