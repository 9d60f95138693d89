//! The command-line client for operators, `oriolectl`.
//!
//! Each command reads or writes the platform's store, queries daemons or works on local files. It
//! prints human-readable text or, with `--json`, JSON. The exit code tells how the command ended:
//! see [`ExitStatus`].
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
