//! Clients of the platform on which the instances run: its key-value service and its list of
//! instances.
//!
//! The key-value service offers compare-and-swap, leases and watches, and may be unavailable at
//! times. Every call is counted by kind, since the service limits the number of calls.
//!
//! ```no_run
//! # async fn example() -> Result<(), oriolehoist_platform::StoreError> {
//! use oriolehoist_platform::{Revision, Store};
//!
//! let local = std::net::Ipv4Addr::LOCALHOST;
//! let store = Store::new(local.into(), (local, 7000).into())?;
//! let written = store.compare_and_swap("term/mareas-live", Revision::ABSENT, "{}").await?;
//! # let _ = written;
//! # Ok(())
//! # }
//! ```

mod calls;
mod error;
mod instances;
mod message;
mod store;

pub use {
    calls::{CallCounts, CallKind},
    error::StoreError,
    instances::{Instance, InstanceList, InstanceRole, InstanceState},
    message::{CasRequest, Entry, LeaseRequest, LeaseResponse, WatchRequest, WatchResponse},
    store::{CasOutcome, Store},
};

pub use oriolehoist_port::{LeaseId, Revision};
