//! What must hold, judged from the servers' and the callers' records alone.

mod availability;
mod promises;

pub use {
    availability::{Availability, availability},
    promises::{
        Violation, duplicate_bookings, late_work, mismatched_responses, overlapping_owners,
        ran_though_not_run,
    },
};
