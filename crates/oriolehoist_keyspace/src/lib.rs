//! Decides which backend server owns which range of keys.
//!
//! A [`Keeper`] is one service's part of the assigner. It plans, says what must be stored before
//! it is acted on, gives the orders that are due, and learns how they ended. It does no I/O and
//! reads no clock. A range gets a new owner only on a proof that the earlier one has ended:
//!
//! - whoever listens at the earlier owner's address answered a release, and no grant that was sent
//!   there is without an answer;
//! - its last possible grant has lapsed, by a clock that may run slow.
//!
//! That a server has started again proves nothing by itself: the new life may have answered a
//! grant that was meant for the earlier one.
//!
//! ```
//! use {oriolehoist_keyspace::{Fences, Keeper}, oriolehoist_time::Millis};
//!
//! let mut keeper = Keeper::new();
//! assert!(!keeper.plan(Millis(0), 1, &mut Fences::default()), "there are no servers yet");
//! assert!(keeper.routes(Millis(0)).is_empty());
//! ```

mod keeper;
mod load;
mod orders;
mod plan;
mod routes;
mod server;
mod slice;
mod table;
mod timing;

pub use {
    keeper::Keeper,
    load::LoadReport,
    orders::{Flight, OrderEnd, OrderToSend},
    routes::{Holder, KeyRoutes, RoutedRange},
    table::{Assigned, Fences, Life, Table},
    timing::{HOLD, ORDER_TIMEOUT, RELEASE_TIMEOUT, hold_end},
};
