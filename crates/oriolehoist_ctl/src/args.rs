use {
    argh::FromArgs,
    std::{net::SocketAddr, path::PathBuf},
};

/// Manages the settings of an oriolehoist site, queries its daemons and verifies refusal receipts.
///
/// Exit codes: 0 success, 1 refused or invalid arguments, 3 unreachable, 4 outcome unknown, 5 unknown
/// route, 6 invalid key.
#[derive(FromArgs)]
pub struct Args {
    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Check(Check),
    Apply(Apply),
    Diff(Diff),
    History(History),
    Show(Show),
    Status(Status),
    Explain(Explain),
    Why(Why),
    Drain(Drain),
    Release(Release),
}

/// Validate a settings document without applying it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// path of the settings document
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Put a settings document in force. An edit of an older version is merged with the edits made
/// since then. If both changed the same setting, the edit is refused and the conflicting values are
/// shown.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// path of the settings document
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// address of the platform's store
    #[argh(option)]
    pub(crate) store: SocketAddr,
    /// version that the document was edited from; by default the one named in its first line
    #[argh(option)]
    pub(crate) base: Option<u64>,
    /// name to record as the author of the new version
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) author: String,
    /// wait until the version is in force on the daemon that listens for operators on this address;
    /// repeatable
    #[argh(option)]
    pub(crate) wait_for: Vec<SocketAddr>,
}

/// Show which settings a document would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// path of the settings document
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// address of the platform's store
    #[argh(option)]
    pub(crate) store: SocketAddr,
    /// version to compare with; by default the one in force
    #[argh(option)]
    pub(crate) version: Option<u64>,
}

/// List the versions of the settings, newest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// address of the platform's store
    #[argh(option)]
    pub(crate) store: SocketAddr,
    /// maximum number of versions to list
    #[argh(option, default = "20", long = "most")]
    pub(crate) limit: u64,
}

/// Show the effective settings of a service and the part of the document that each comes from, or
/// the whole document in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {
    /// name of the service; if omitted, the whole document is shown, ready to be edited
    #[argh(positional)]
    pub(crate) service: Option<String>,
    /// address of the platform's store
    #[argh(option)]
    pub(crate) store: SocketAddr,
}

/// Show the status of daemons.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// address on which a daemon listens for operators; repeatable
    #[argh(option)]
    pub(crate) daemon: Vec<SocketAddr>,
}

/// Ask a daemon where a request would be sent at this moment, and why. Nothing is sent to servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    /// method of the request
    #[argh(positional)]
    pub(crate) method: String,
    /// host that callers name
    #[argh(positional)]
    pub(crate) host: String,
    /// path of the request
    #[argh(positional)]
    pub(crate) path: String,
    /// address on which the daemon listens for operators, or its metrics address
    #[argh(option)]
    pub(crate) daemon: SocketAddr,
    /// key of the request
    #[argh(option)]
    pub(crate) key: Option<String>,
    /// how long the caller would wait, in milliseconds
    #[argh(option)]
    pub(crate) deadline: Option<u64>,
    /// print JSON instead of text
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Verify the receipt of a refused request and explain the refusal.
#[derive(FromArgs)]
#[argh(subcommand, name = "why")]
pub(crate) struct Why {
    /// receipt from the oriolehoist-receipt response header
    #[argh(positional)]
    pub(crate) receipt: String,
    /// id and file of a key to verify the signature with, as ID=FILE; repeatable
    #[argh(option)]
    pub(crate) key: Vec<String>,
}

/// Take a backend server out of service, or put it back with --undo. Requests in flight at the
/// server are completed, and its keys are handed over to other servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// name of the service
    #[argh(positional)]
    pub(crate) service: String,
    /// name of the backend server
    #[argh(positional)]
    pub(crate) server: String,
    /// address of the platform's store
    #[argh(option)]
    pub(crate) store: SocketAddr,
    /// name to record as the author of the new version
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) author: String,
    /// put the server back in service
    #[argh(switch)]
    pub(crate) undo: bool,
}

/// Release the term of a service whose daemons have all stopped permanently. Make sure first that
/// none of the daemons named in the term record is still running: otherwise a key could get two
/// owners.
#[derive(FromArgs)]
#[argh(subcommand, name = "release")]
pub(crate) struct Release {
    /// name of the service
    #[argh(positional)]
    pub(crate) service: String,
    /// address of the platform's store
    #[argh(option)]
    pub(crate) store: SocketAddr,
    /// confirm that every daemon named in the term record has ended
    #[argh(switch)]
    pub(crate) all_daemons_have_ended: bool,
}
