//! Checks of the system's invariants, based only on what servers and callers recorded.

mod availability;
mod invariants;

pub use {
    availability::{Availability, availability},
    invariants::{
        Violation, duplicate_bookings, executed_despite_not_run, mismatched_responses,
        overlapping_owners, work_after_departure,
    },
};
