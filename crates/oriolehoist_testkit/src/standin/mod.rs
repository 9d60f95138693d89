//! Small fakes of the platform's store and instance list, and of backend servers. They speak the
//! same protocols as the real systems.

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
