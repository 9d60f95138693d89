//! One module for each group of commands.

mod daemons;
mod documents;
mod receipts;
mod terms;

use {
    crate::{Args, CommitError, ExitStatus, args::Command, commit::Committed, output::Output},
    oriolehoist_platform::{Store, StoreError},
    serde_json::json,
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Runs a command, prints what it found, and returns how it ended.
pub async fn run(args: Args) -> ExitStatus {
    let output = match args.command {
        Command::Check(args) => documents::check(&args),
        Command::Apply(args) => documents::apply(&args).await,
        Command::Diff(args) => documents::diff(&args).await,
        Command::History(args) => documents::history(&args).await,
        Command::Show(args) => documents::show(&args).await,
        Command::Drain(args) => documents::drain(&args).await,
        Command::Status(args) => daemons::status(&args).await,
        Command::Release(args) => terms::release(&args).await,
        Command::Why(args) => receipts::why(&args),
    };
    let output = output.unwrap_or_else(|error| failure(&error));
    output.print(args.json);
    output.ending
}

fn store(address: SocketAddr) -> Result<Store, CommitError> {
    Ok(Store::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), address)?)
}

fn failure(error: &CommitError) -> Output {
    let text = error.to_string();
    match error {
        CommitError::Problems(problems) => {
            Output::failed(ExitStatus::Refused, text, json!({ "problems": problems }))
        }
        CommitError::Conflicts(clashes) => {
            Output::failed(ExitStatus::Refused, text, json!({ "clashes": clashes }))
        }
        CommitError::Store(StoreError::Unknown(_)) | CommitError::Unknown => {
            Output::failed(ExitStatus::Unknown, &text, json!({ "error": text }))
        }
        CommitError::Store(_) => {
            Output::failed(ExitStatus::Unreachable, &text, json!({ "error": text }))
        }
        CommitError::Malformed(_) | CommitError::NoSuchVersion(_) => {
            Output::failed(ExitStatus::Refused, &text, json!({ "error": text }))
        }
    }
}

fn committed(done: &Committed) -> Output {
    let how = if done.merged { ", merged with edits made meanwhile" } else { "" };
    let text = format!("version {} is accepted{how}", done.version);
    Output::done(text, json!({ "version": done.version, "merged": done.merged }))
}
