//! Types with the lifetime of a request.

mod exchange;
mod forward;
mod quarantine;
mod rate_limit;
mod refusal;
mod respond;
mod select;

pub(crate) use {
    rate_limit::{Absence, observe_report, observe_response},
    refusal::CallerResponse,
    respond::{Request, respond},
    select::DRAIN_MARGIN,
};
