//! The operators' command line, `oriolectl`.
//!
//! Each command works on the platform's store or asks a daemon, and prints for people or, with
//! `--json`, for programs. The exit code tells how it ended: see [`ExitStatus`].
//!
//! ```
//! use oriolehoist_ctl::ExitStatus;
//!
//! assert_eq!(ExitStatus::Success.code(), 0);
//! ```

mod args;
mod command;
mod commit;
mod exit_status;
mod output;

pub use {
    args::Args,
    command::run,
    commit::{CommitError, Committed, commit_settings},
    exit_status::ExitStatus,
};
