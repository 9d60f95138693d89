use {
    argh::FromArgs,
    std::{net::SocketAddr, path::PathBuf},
};

/// Works with the settings, the daemons and the receipts of an oriolehoist site.
///
/// Exit codes: 0 done, 1 refused, 2 wrong arguments, 3 unreachable, 4 outcome unknown.
#[derive(FromArgs)]
pub struct Args {
    /// print JSON for programs
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
    Why(Why),
    Drain(Drain),
    Release(Release),
}

/// Check a settings document without applying it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// the document
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Put a settings document in force. An edit of an older version is merged if it touches other
/// settings than the edits since, and refused with both sides shown if it clashes.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// the document
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// where the platform's store is
    #[argh(option)]
    pub(crate) store: SocketAddr,
    /// the version that the document was made from; by default the one that its first line names
    #[argh(option)]
    pub(crate) base: Option<u64>,
    /// who applies it
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) author: String,
    /// the operators' address of a daemon to wait for until the version is in force; repeatable
    #[argh(option)]
    pub(crate) wait_for: Vec<SocketAddr>,
}

/// Show what a document would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// the document
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// where the platform's store is
    #[argh(option)]
    pub(crate) store: SocketAddr,
    /// compare with this version instead of the one in force
    #[argh(option)]
    pub(crate) version: Option<u64>,
}

/// List the versions of the settings, the newest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// where the platform's store is
    #[argh(option)]
    pub(crate) store: SocketAddr,
    /// how many to list
    #[argh(option, default = "20")]
    pub(crate) most: u64,
}

/// Show the effective values of a service with the branches that they come from, or the whole
/// document in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Show {
    /// the service; without it the document is shown, ready to be edited
    #[argh(positional)]
    pub(crate) service: Option<String>,
    /// where the platform's store is
    #[argh(option)]
    pub(crate) store: SocketAddr,
}

/// Ask daemons how they are.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// the operators' address of a daemon; repeatable
    #[argh(option)]
    pub(crate) daemon: Vec<SocketAddr>,
}

/// Verify and explain the receipt of a refusal.
#[derive(FromArgs)]
#[argh(subcommand, name = "why")]
pub(crate) struct Why {
    /// the receipt, from the header oriolehoist-receipt
    #[argh(positional)]
    pub(crate) receipt: String,
    /// a key to verify with, as ID=FILE; repeatable
    #[argh(option)]
    pub(crate) key: Vec<String>,
}

/// Take a backend server out of service, or back in with --undo. Its work in flight is finished
/// and its keys are handed over.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// the service
    #[argh(positional)]
    pub(crate) service: String,
    /// the server
    #[argh(positional)]
    pub(crate) server: String,
    /// where the platform's store is
    #[argh(option)]
    pub(crate) store: SocketAddr,
    /// who asks for it
    #[argh(option, default = "String::from(\"operator\")")]
    pub(crate) author: String,
    /// put the server back into service
    #[argh(switch)]
    pub(crate) undo: bool,
}

/// Release a service's term whose daemons have all gone for good. Only for an operator who has made
/// sure that no daemon named in the record runs any more: keys could get two owners otherwise.
#[derive(FromArgs)]
#[argh(subcommand, name = "release")]
pub(crate) struct Release {
    /// the service
    #[argh(positional)]
    pub(crate) service: String,
    /// where the platform's store is
    #[argh(option)]
    pub(crate) store: SocketAddr,
    /// confirms that every daemon that the record names has ended
    #[argh(switch)]
    pub(crate) all_daemons_have_ended: bool,
}
