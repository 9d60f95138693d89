//! Chooses an owner for each shard so that load is even and few shards move.
//!
//! Pure functions: the same input always gives the same plan.
//!
//! ```
//! use oriolehoist_placement::{
//!     Bindings, Candidate, MoveBudget, PlacementInput, ServerIndex, plan,
//! };
//!
//! let input = PlacementInput {
//!     owners: vec![Some(ServerIndex(0)); 4],
//!     weights: vec![1; 4],
//!     servers: vec![Candidate::ready(), Candidate::ready()],
//!     bound: Bindings::default(),
//! };
//! let moves = plan(&input, MoveBudget { moves: 8, ratio_percent: 125 });
//! assert_eq!(moves.len(), 2);
//! ```

mod choose;
mod input;
mod plan;

pub use {
    choose::choose_owner,
    input::{Bindings, Candidate, MoveBudget, PlacementInput, ServerIndex, ServerLoads, ShardMove},
    plan::plan,
};
