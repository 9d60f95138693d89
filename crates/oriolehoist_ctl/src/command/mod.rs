//! The commands of `oriolectl`, with one module for each group of them.

mod daemons;
mod documents;
mod explain;
mod receipts;
mod terms;

use {
    crate::{Args, CommitError, ExitStatus, args::Command, commit::Committed, output::Output},
    oriolehoist_platform::{Store, StoreError},
    serde_json::json,
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Runs a command, prints its output, and returns its exit status.
pub async fn run(args: Args) -> ExitStatus {
    let as_json = args.json || matches!(&args.command, Command::Explain(args) if args.json);
    let output = match args.command {
        Command::Check(args) => documents::check(&args),
        Command::Apply(args) => documents::apply(&args).await,
        Command::Diff(args) => documents::compare(&args).await,
        Command::History(args) => documents::history(&args).await,
        Command::Show(args) => documents::show(&args).await,
        Command::Drain(args) => documents::drain(&args).await,
        Command::Status(args) => daemons::status(&args).await,
        Command::Explain(args) => Ok(explain::explain(&args).await),
        Command::Release(args) => terms::release(&args).await,
        Command::Why(args) => receipts::why(&args),
    };
    let output = output.unwrap_or_else(|error| error_output(&error));
    output.print(as_json);
    output.exit_status
}

fn connect(address: SocketAddr) -> Result<Store, CommitError> {
    Ok(Store::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), address)?)
}

fn error_output(error: &CommitError) -> Output {
    let text = error.to_string();
    match error {
        CommitError::Problems(problems) => {
            Output::failure(ExitStatus::Refused, text, json!({ "problems": problems }))
        }
        CommitError::Conflicts(conflicts) => {
            Output::failure(ExitStatus::Refused, text, json!({ "clashes": conflicts }))
        }
        CommitError::Store(StoreError::Unknown(_)) | CommitError::Unknown => {
            Output::failure(ExitStatus::Unknown, &text, json!({ "error": text }))
        }
        CommitError::Store(_) => {
            Output::failure(ExitStatus::Unreachable, &text, json!({ "error": text }))
        }
        CommitError::Malformed(_) | CommitError::NoSuchVersion(_) => {
            Output::failure(ExitStatus::Refused, &text, json!({ "error": text }))
        }
    }
}

fn committed_output(committed: &Committed) -> Output {
    let suffix =
        if committed.merged { ", merged with edits made since its base version" } else { "" };
    let text = format!("version {} is accepted{suffix}", committed.version);
    Output::success(text, json!({ "version": committed.version, "merged": committed.merged }))
}
