//! Decides which backend server owns each shard, so that a shard never has two owners at once.
//!
//! The crate consists of three state machines. None of them reads a clock or performs I/O:
//!
//! - [`GrantTable`] runs in a backend server and tracks its grants and the highest term it has
//!   seen.
//! - [`Follower`] runs in every daemon for each service. It tracks the assignment to route by, and
//!   grants leases to the assigner if the daemon is one of its witnesses.
//! - [`Assigner`] runs in the daemon that holds the term of a service. It grants shards to servers.
//!
//! `docs/DESIGN.md` explains the design, and in which cases a shard remains without an owner.
//!
//! ```
//! use {
//!     oriolehoist_ownership::GrantTable,
//!     oriolehoist_protocol::{Epoch, Incarnation, ServiceName, ShardId, Term},
//!     oriolehoist_time::Millis,
//! };
//!
//! let table = GrantTable::new(ServiceName::from("tides"), Incarnation(7));
//! assert!(table.check(Millis(1), ShardId(0), Epoch::first(Term(1))).is_err());
//! ```

mod assigner;
mod follower;
mod grants;
mod record;
mod timing;

pub use {
    assigner::{Assigner, AssignerStatus, Effect, Event, ServerIndex, ServerStatus, ShardBinding},
    follower::{Follower, TakeoverRank},
    grants::{GrantRefusal, GrantTable, WorkToken},
    record::{
        WitnessCandidate, choose_witnesses, initial_record, settled_record, successor_record,
    },
    timing::Timing,
};
