use {
    crate::{CommitError, Committed, ExitStatus, args::Status, output::Output},
    oriolehoist_time::{Clock, Millis},
    reqwest::Client,
    serde_json::{Value as Json, json},
    std::{fmt::Write, net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

/// The longest wait for a daemon's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest wait for a version to be in force.
const IN_FORCE_WAIT: Millis = Millis::from_secs(30);
/// Time between looks at whether it is.
const IN_FORCE_STEP: Duration = Duration::from_millis(100);

pub(super) async fn status(args: &Status) -> Result<Output, CommitError> {
    let mut text = String::new();
    let mut list = Vec::new();
    let mut ending = ExitStatus::Success;
    for address in &args.daemon {
        match ask(*address).await {
            Ok(status) => {
                write_status(&mut text, &status);
                list.push(status);
            }
            Err(error) => {
                ending = ExitStatus::Unreachable;
                let _ = writeln!(text, "{address}: {error}");
                list.push(json!({ "address": address, "error": error.to_string() }));
            }
        }
    }
    if args.daemon.is_empty() {
        ending = ExitStatus::Refused;
        text.push_str("name a daemon with --daemon");
    }
    Ok(Output { ending, text: text.trim_end().into(), json: list.into() })
}

/// Waits until every daemon reports that a version is in force.
pub(super) async fn wait_in_force(daemons: &[SocketAddr], done: &Committed) -> Output {
    let clock = Clock::start();
    let started = clock.now();
    let mut behind = daemons.to_vec();
    while !behind.is_empty() && clock.now().since(started) < IN_FORCE_WAIT {
        let mut still = Vec::new();
        for daemon in behind {
            let version = ask(daemon).await.ok().and_then(|s| s["settings"].as_u64());
            if version.is_none_or(|version| version < done.version.0) {
                still.push(daemon);
            }
        }
        behind = still;
        if !behind.is_empty() {
            sleep(IN_FORCE_STEP).await;
        }
    }
    let json = json!({ "version": done.version, "merged": done.merged, "behind": behind });
    match behind.is_empty() {
        true => Output::done(format!("version {} is in force everywhere", done.version), json),
        false => {
            let text =
                format!("version {} is accepted; not yet in force: {behind:?}", done.version);
            Output::failed(ExitStatus::Unreachable, text, json)
        }
    }
}

async fn ask(address: SocketAddr) -> Result<Json, reqwest::Error> {
    let client = Client::builder().no_proxy().timeout(ANSWER_TIMEOUT).build()?;
    client.get(format!("http://{address}/status")).send().await?.json().await
}

fn write_status(text: &mut String, status: &Json) {
    let word = |value: &Json| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let stopping = if status["stopping"] == true { ", stopping" } else { "" };
    let _ = writeln!(
        text,
        "{} in {}: settings {}{stopping}, {} peers",
        word(&status["instance"]),
        word(&status["zone"]),
        status["settings"],
        status["peers"].as_array().map_or(0, Vec::len),
    );
    for service in status["services"].as_array().into_iter().flatten() {
        let _ = writeln!(
            text,
            "  {}: term {} of {}, {} shards unserved, heard {} ms ago",
            word(&service["service"]),
            service["term"],
            word(&service["assigner"]),
            service["unserved_shards"],
            service["heard_ago"],
        );
        for server in service["assigning"]["servers"].as_array().into_iter().flatten() {
            let _ = writeln!(
                text,
                "    {}: {} shards{}{}",
                word(&server["name"]),
                server["shards"],
                if server["reachable"] == true { "" } else { ", out of reach" },
                if server["leaving"] == true { ", leaving" } else { "" },
            );
        }
    }
}
