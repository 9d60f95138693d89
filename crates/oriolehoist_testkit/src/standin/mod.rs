//! Small fakes of the platform's store and instance list, and of backend servers. They speak the
//! same protocols as the real systems.

mod backend;
mod guards;
mod instance_list;
mod journal;
mod request;
mod store;

pub use {
    backend::{BackendOptions, BackendServer},
    instance_list::InstanceListServer,
    journal::{Journal, OwnershipInterval, Run, RunOutcome},
    store::StoreServer,
};
