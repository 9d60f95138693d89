//! Small fakes of the systems around the daemons, which speak the real protocols.

mod backend;
mod instance_list;
mod journal;
mod running;
mod store;
mod work;

pub use {
    backend::{BackendOptions, BackendServer},
    instance_list::InstanceListServer,
    journal::{Journal, OwnershipInterval, Run, RunOutcome},
    store::StoreServer,
};
