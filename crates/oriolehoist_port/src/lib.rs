//! What the product needs of the platform that it runs on.
//!
//! A platform's adapter implements [`Platform`]: it decodes the platform's names and formats into
//! the types of this crate and encodes them back, without I/O and without decisions. The runtime
//! does the I/O.
//!
//! ```
//! use oriolehoist_port::{Commit, Revision};
//!
//! let first = Commit::default().expect("oriolehoist/table", Revision::ABSENT);
//! assert_eq!(first.conditions.len(), 1);
//! ```

mod boot;
mod configuration;
mod order;
mod platform;
mod server;
mod store;

pub use {
    boot::{Boot, Bounds},
    configuration::{CallerLimits, Configuration, Route, ServiceSpec},
    order::{Handover, KeyRange, Order, OrderAnswer},
    platform::{DecodeError, HeaderNames, HttpAnswer, HttpCall, Platform, ServerLoad},
    server::{RegisteredServer, ServerState},
    store::{Change, Commit, Item, LeaseId, Put, Revision, StoreAnswer, StoreCall, StoreCallKind},
};
