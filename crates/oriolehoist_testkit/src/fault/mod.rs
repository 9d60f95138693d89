//! TCP proxies on the network edges, whose faults can be switched on and off at run time.

mod network;
mod pump;

pub use network::{Fault, Network};
