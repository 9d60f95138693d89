//! Types with the lifetime of a request.

mod exchange;
mod forward;
mod quarantine;
mod refusal;
mod respond;
mod select;

pub(crate) use {
    refusal::CallerResponse,
    respond::{Request, respond},
    select::DRAIN_MARGIN,
};
