//! The interface between the router and the platform it is deployed on.
//!
//! A platform adapter implements [`Platform`]: it decodes the platform's names and formats into the
//! types of this crate and encodes them back. An adapter performs no I/O and makes no decisions;
//! the I/O is done by the runtime.
//!
//! ```
//! use oriolehoist_port::{Revision, Transaction};
//!
//! let first = Transaction::default().require_revision("oriolehoist/table", Revision::ABSENT);
//! assert_eq!(first.conditions.len(), 1);
//! ```

mod boot;
mod configuration;
mod order;
mod paging;
mod platform;
mod server;
mod store;

pub use {
    boot::{BootstrapConfig, InstanceSize, OperationalBounds},
    configuration::{CallerLimits, Configuration, Route, ServerWarmUp, ServiceSpec},
    order::{Handover, KeyRange, Order, OrderResponse},
    paging::{Coverage, NextPage, Paging},
    platform::{
        DecodeError, HeaderNames, HttpRequest, HttpResponse, Platform, ServerLoad, ServerStatements,
    },
    server::{RegisteredServer, ServerState},
    store::{
        Change, Item, LeaseId, Put, Revision, StoreEra, StoreRequest, StoreRequestKind,
        StoreResponse, Transaction,
    },
};
