//! The daemon that runs on an entry instance and routes requests to backend servers.
//!
//! State is grouped into modules by its lifetime: `request`, `connection`, `version` (of settings
//! and assignments) and `process`. A single thread runs the actor in `control`, which drives the
//! I/O-free decision crates. The traffic threads serve callers from an immutable snapshot, the
//! view, which the actor publishes after each change.
//!
//! ```no_run
//! # async fn example() -> eyre::Result<()> {
//! use oriolehoist_daemon::Daemon;
//!
//! let file = oriolehoist_settings::parse_instance_file(&std::fs::read_to_string("instance.jsonc")?)?;
//! let running = Daemon::configure(file)?.start().await?;
//! running.stop().await;
//! # Ok(())
//! # }
//! ```

mod connection;
mod control;
mod listener;
mod process;
mod request;
mod version;

pub use process::{Configured, Daemon, Event, Running, init_logging};
