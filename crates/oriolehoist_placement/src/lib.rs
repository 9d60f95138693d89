//! Places shards on backend servers so that load is balanced while few shards move.
//!
//! Nothing here reads a clock or uses randomness: the same input always gives the same plan.
//!
//! ```
//! use oriolehoist_placement::{
//!     Bindings, Candidate, MoveBudget, PlacementInput, ServerIndex, plan,
//! };
//!
//! let input = PlacementInput {
//!     owners: vec![Some(ServerIndex(0)); 4],
//!     weights: vec![1; 4],
//!     servers: vec![Candidate::available(), Candidate::available()],
//!     bindings: Bindings::default(),
//! };
//! let moves = plan(&input, MoveBudget { max_moves: 8, max_imbalance_percent: 125 });
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
