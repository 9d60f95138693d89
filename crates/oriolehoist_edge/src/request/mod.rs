//! Types with the lifetime of a request.

mod exchange;
mod explain;
mod forward;
mod handed_over;
mod handover;
mod hold;
mod load_probe;
mod presence;
mod quarantine;
mod rate_limit;
mod refusal;
mod respond;
mod select;
mod statements;

pub(crate) use {
    exchange::MISDIRECTED,
    explain::explain_router,
    handed_over::handover_router,
    hold::Holds,
    presence::CallerPresence,
    refusal::CallerResponse,
    respond::{Request, respond},
    select::DRAIN_MARGIN,
    statements::{Absence, observe_report, observe_statements},
};
