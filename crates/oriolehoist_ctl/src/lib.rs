//! The operators' command line, `oriolectl`.
//!
//! Each command works on the platform's store or asks a daemon, and prints for people or, with
//! `--json`, for programs. The exit code tells how it ended: see [`Ending`].
//!
//! ```
//! use oriolehoist_ctl::Ending;
//!
//! assert_eq!(Ending::Done.code(), 0);
//! ```

mod args;
mod command;
mod commit;
mod ending;
mod output;

pub use {
    args::Args,
    command::run,
    commit::{CommitError, Committed, commit},
    ending::Ending,
};
