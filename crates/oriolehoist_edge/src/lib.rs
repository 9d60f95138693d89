//! The daemon on a platform that registers servers and grants keys by range.
//!
//! Folders follow how long things live: `request`, `connection`, `version` (of what the daemon
//! believes) and `process`. One thread runs `control`; another serves callers from an immutable
//! view that control publishes.
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

pub use process::run;
