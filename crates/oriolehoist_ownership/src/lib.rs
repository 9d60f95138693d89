//! Decides who owns each shard, so that a shard never has two owners at once.
//!
//! Three pure state machines, none of which reads a clock or a socket:
//!
//! - [`GrantTable`] is what a backend server keeps: its grants and the terms it has seen;
//! - [`Follower`] is what every daemon keeps for a service: the assignment that it routes by, and
//!   its duties as a witness;
//! - [`Assigner`] is what the daemon that holds the service's term runs.
//!
//! `docs/DESIGN.md` gives the reasons, and the cases in which a shard stays without an owner.
//!
//! ```
//! use {
//!     oriolehoist_ownership::GrantTable,
//!     oriolehoist_protocol::{Epoch, Incarnation, ShardId, Term},
//!     oriolehoist_time::Millis,
//! };
//!
//! let table = GrantTable::new(Incarnation(7));
//! assert!(table.check(Millis(1), ShardId(0), Epoch::first(Term(1))).is_err());
//! ```

mod assigner;
mod follower;
mod grants;
mod record;
mod timing;

pub use {
    assigner::{Assigner, AssignerStatus, Effect, Event, ServerIndex, ServerStatus, ShardBinding},
    follower::{Follower, Rank},
    grants::{GrantRefusal, GrantTable, Work},
    record::{PeerView, choose_witnesses, initial_record, successor_record},
    timing::Timing,
};
