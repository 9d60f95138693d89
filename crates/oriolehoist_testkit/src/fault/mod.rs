//! A TCP proxy on every edge, with faults that can be switched while it runs.

mod network;
mod pump;

pub use network::{Fault, Network};
