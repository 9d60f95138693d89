//! The router daemon for platforms where backend servers register in a store and are granted
//! ranges of keys.
//!
//! Modules are organized by the lifetime of their types: `request`, `connection`, `version` (of the
//! daemon's view of the cluster) and `process`. One thread runs the `control` actor, another one
//! serves callers from an immutable view that the actor publishes.
//!
//! ```no_run
//! # fn example(platform: std::sync::Arc<dyn oriolehoist_port::Platform>) -> eyre::Result<()> {
//! oriolehoist_edge::run(platform, std::path::Path::new("/etc/oriolehoist/boot.toml"))
//! # }
//! ```

mod connection;
mod control;
mod process;
mod request;
mod version;
pub mod wire;

pub use process::run;
