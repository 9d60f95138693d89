//! The daemon that runs on an entry instance.
//!
//! Folders follow how long things live: `request`, `connection`, `version` (of settings and
//! assignments) and `process`. One thread runs `control`, an actor that drives the decision
//! crates; other threads serve callers from an immutable view that control publishes.
//!
//! ```no_run
//! # async fn example() -> eyre::Result<()> {
//! use oriolehoist_daemon::Daemon;
//!
//! let text = std::fs::read_to_string("instance.jsonc")?;
//! let file = oriolehoist_settings::parse_instance_file(&text)?;
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
