//! Decides which backend server owns which range of keys.
//!
//! A [`RangeAssigner`] manages the keys of one service. It plans changes of ownership, returns the
//! assignments that must be stored before a plan is carried out, returns the orders that are due,
//! and is told their outcomes. It performs no I/O and reads no clock.
//!
//! A range is granted to a new owner only once the previous ownership has provably ended, in one of
//! two ways:
//!
//! - The server listening at the previous owner's address has responded to a release, and no grant
//!   for that owner can arrive late anymore: each one has been answered or has expired.
//! - The last grant that the previous owner may have received has expired, even if that server's
//!   clock runs slow.
//!
//! A restart of the server is no proof: the new incarnation may have accepted a grant that was
//! meant for the old one.
//!
//! Nor does an address prove which process listens there. A process is known only by its connection,
//! which ends with it. Grants are therefore sent in sessions of one connection each, and a new
//! session uses higher fencing tokens than all earlier ones. Another process at the same address
//! can't get a grant with a token that its predecessor had.
//!
//! ```
//! use {oriolehoist_keyspace::{FenceCounter, RangeAssigner}, oriolehoist_time::Millis};
//!
//! let mut assigner = RangeAssigner::new();
//! assert!(!assigner.plan(Millis(0), 1, &mut FenceCounter::default()), "there are no servers yet");
//! assert!(assigner.routes(Millis(0)).is_empty());
//! ```

mod assigner;
mod balance;
mod evacuate;
mod load;
mod orders;
mod outcomes;
mod plan;
mod reach;
mod relief;
mod routes;
mod segment;
mod server;
mod table;
mod takeover;
mod timing;

pub use {
    assigner::{RangeAssigner, StatedNeeds},
    load::LoadReport,
    orders::{OrderId, OrderOutcome, OutgoingOrder},
    reach::Confidence,
    routes::{Holder, KeyRoutes, RoutedRange},
    server::SessionId,
    table::{AssignedRange, AssignmentTable, FenceCounter, ServerIncarnation, TableError},
    takeover::{Takeover, earlier_leases_end_at},
    timing::{DEFAULT_GRANT_DURATION, GRANT_TIMEOUT, RELEASE_TIMEOUT, latest_grant_expiry},
};
