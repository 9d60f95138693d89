//! Open-loop load generators that send through a fake load balancer and record every request.

mod balancer;
mod load;
mod record;

pub use {
    balancer::Balancer,
    load::{Load, LoadProfile, start_load},
    record::{Outcome, RequestLog, RequestRecord},
};
