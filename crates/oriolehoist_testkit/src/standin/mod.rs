//! Small stand-ins for outside systems, met by their protocols.

mod backend;
mod instances;
mod journal;
mod running;
mod store;
mod work;

pub use {
    backend::{BackendOptions, BackendServer},
    instances::InstanceListServer,
    journal::{Journal, OwnershipInterval, Run, RunOutcome},
    store::StoreServer,
};
