//! Callers: open-loop load through the balancer's stand-in, with a record of every request.

mod balancer;
mod load;
mod record;

pub use {
    balancer::Balancer,
    load::{Load, LoadProfile, start_load},
    record::{Outcome, RequestLog, RequestRecord},
};
