//! What must hold, judged from the servers' and the callers' records alone.

mod availability;
mod promises;

pub use {
    availability::{Availability, availability},
    promises::{
        Violation, late_work, overlapping_owners, own_answers, ran_more_than_once,
        ran_though_not_run,
    },
};
