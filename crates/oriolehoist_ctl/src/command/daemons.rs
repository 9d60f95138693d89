use {
    crate::{CommitError, Committed, ExitStatus, args::Status, output::Output},
    oriolehoist_time::{Clock, Millis},
    reqwest::Client,
    serde_json::{Value as Json, json},
    std::{fmt::Write, net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

/// Longest wait for a daemon's response.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a version to be in force on all daemons.
const IN_FORCE_TIMEOUT: Millis = Millis::from_secs(30);
/// Time between polls of the daemons for the version in force.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(100);

pub(super) async fn status(args: &Status) -> Result<Output, CommitError> {
    let mut text = String::new();
    let mut statuses = Vec::new();
    let mut exit_status = ExitStatus::Success;
    for address in &args.daemon {
        match fetch_status(*address).await {
            Ok(status) => {
                write_status(&mut text, &status);
                statuses.push(status);
            }
            Err(error) => {
                exit_status = ExitStatus::Unreachable;
                let _ = writeln!(text, "{address}: {error}");
                statuses.push(json!({ "address": address, "error": error.to_string() }));
            }
        }
    }
    if args.daemon.is_empty() {
        exit_status = ExitStatus::Refused;
        text.push_str("no daemon was named: use --daemon ADDRESS");
    }
    Ok(Output { exit_status, text: text.trim_end().into(), json: statuses.into() })
}

/// Waits until every daemon reports that the version, or a later one, is in force, or until
/// [`IN_FORCE_TIMEOUT`] has passed.
pub(super) async fn wait_in_force(daemons: &[SocketAddr], committed: &Committed) -> Output {
    let clock = Clock::start();
    let started = clock.now();
    let mut behind = daemons.to_vec();
    while !behind.is_empty() && clock.now().since(started) < IN_FORCE_TIMEOUT {
        let mut still_behind = Vec::new();
        for daemon in behind {
            let version = fetch_status(daemon).await.ok().and_then(|s| s["settings"].as_u64());
            if version.is_none_or(|version| version < committed.version.0) {
                still_behind.push(daemon);
            }
        }
        behind = still_behind;
        if !behind.is_empty() {
            sleep(IN_FORCE_POLL_INTERVAL).await;
        }
    }
    let json =
        json!({ "version": committed.version, "merged": committed.merged, "behind": behind });
    match behind.is_empty() {
        true => {
            Output::success(format!("version {} is in force everywhere", committed.version), json)
        }
        false => {
            let text = format!(
                "version {} is accepted, but {behind:?} did not report it in force in time",
                committed.version
            );
            Output::failure(ExitStatus::Unreachable, text, json)
        }
    }
}

async fn fetch_status(address: SocketAddr) -> Result<Json, reqwest::Error> {
    let client = Client::builder().no_proxy().timeout(RESPONSE_TIMEOUT).build()?;
    client.get(format!("http://{address}/status")).send().await?.json().await
}

/// Returns the number of other daemons. On the users' platform a status lists only their builds.
fn peer_count(status: &Json) -> u64 {
    let builds = status["builds"].as_object();
    let daemons: u64 = builds.into_iter().flatten().filter_map(|(_, count)| count.as_u64()).sum();
    let peers = status["peers"].as_array().map(|peers| peers.len() as u64);
    peers.unwrap_or(daemons.saturating_sub(1))
}

fn write_status(text: &mut String, status: &Json) {
    let unquoted = |value: &Json| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let stopping = if status["stopping"] == true { ", stopping" } else { "" };
    let _ = writeln!(
        text,
        "{} in {}: settings {}{stopping}, {} peers",
        unquoted(&status["instance"]),
        unquoted(&status["zone"]),
        status["settings"],
        peer_count(status),
    );
    if let Some(builds) = status["builds"].as_object() {
        let counts: Vec<String> =
            builds.iter().map(|(build, count)| format!("{count} of {build}")).collect();
        let build = unquoted(&status["build"]);
        let _ = writeln!(text, "  build {build}; daemons that it knows: {}", counts.join(", "));
    }
    for service in status["services"].as_array().into_iter().flatten() {
        let _ = writeln!(
            text,
            "  {}: term {} of {}, {} shards unserved, last heartbeat {} ms ago",
            unquoted(&service["service"]),
            service["term"],
            unquoted(&service["assigner"]),
            service["unserved_shards"],
            service["heard_ago"],
        );
        for server in service["assigning"]["servers"].as_array().into_iter().flatten() {
            let _ = writeln!(
                text,
                "    {}: {} shards{}{}",
                unquoted(&server["name"]),
                server["shards"],
                if server["reachable"] == true { "" } else { ", unreachable" },
                if server["leaving"] == true { ", leaving" } else { "" },
            );
        }
    }
}
