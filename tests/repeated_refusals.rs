//! Tests of the project's own interface with a server that sends a refusal once more, before the response to
//! the next request.

use {
    googletest::prelude::*,
    oriolehoist_testkit::{
        cluster::{Cluster, ClusterOptions, DaemonMode},
        site,
        users_platform::{ScriptedCall, ScriptedReply, ScriptedServer, raw_response},
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

const SERVICE_TIME: Duration = Duration::from_millis(30);

#[derive(Default)]
struct Record {
    attempts: HashMap<String, u32>,
    runs: HashMap<String, u32>,
    /// The refusal that is sent again on a connection.
    owed: HashMap<u64, Vec<u8>>,
}

/// Refuses the first attempt of each request, and repeats the refusal.
fn reply(record: &Mutex<Record>, names_refusals: bool, call: &ScriptedCall) -> ScriptedReply {
    let text = |name| call.header(name).unwrap_or_default().to_owned();
    let (id, exchange) = (text("oriolehoist-request-id"), text("oriolehoist-exchange"));
    let named = [("oriolehoist-incarnation", "7"), ("oriolehoist-exchange", exchange.as_str())];
    let mut record = record.lock().unwrap_or_else(PoisonError::into_inner);
    let before = record.owed.remove(&call.connection).unwrap_or_default();
    let attempts = record.attempts.entry(id.clone()).or_default();
    *attempts += 1;
    if id.is_empty() {
        return ScriptedReply {
            before,
            bytes: raw_response(200, &named[..1], "ok"),
            ..ScriptedReply::default()
        };
    }
    if *attempts == 1 {
        let mut headers = vec![("oriolehoist-not-run", "shed"), named[0]];
        headers.extend(names_refusals.then_some(named[1]));
        let bytes = raw_response(503, &headers, "");
        record.owed.insert(call.connection, bytes.clone());
        return ScriptedReply { before, bytes, ..ScriptedReply::default() };
    }
    *record.runs.entry(id).or_default() += 1;
    let bytes = raw_response(200, &named, "done");
    ScriptedReply { before, delay: SERVICE_TIME, bytes, ..ScriptedReply::default() }
}

async fn check(names_refusals: bool) -> eyre::Result<()> {
    let mut site = site::villacres();
    site.services[1].server_count = 1;
    let program = env!("CARGO_BIN_EXE_oriolehoist").into();
    let cluster =
        Cluster::start(ClusterOptions::new(site, 1, DaemonMode::Process(program))).await?;
    let record = Arc::new(Mutex::new(Record::default()));
    let recorded = Arc::clone(&record);
    let script = move |call: &ScriptedCall| reply(&recorded, names_refusals, call);
    let server = ScriptedServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), script).await?;
    let mut targets = cluster.targets();
    let last = targets.len() - 1;
    targets[last].address = server.address;
    cluster.apply(&cluster.site.settings(&targets)).await?;
    sleep(Duration::from_secs(2)).await;
    let client = reqwest::Client::builder().no_proxy().build()?;
    let url = format!("http://{}/almanaque/today", cluster.daemons[0].caller_address);
    let mut broken = Vec::new();
    for index in 0..20 {
        let id = format!("booking-{index}");
        let request = client.post(&url).header("oriolehoist-deadline-ms", "1000");
        let response = request.header("oriolehoist-request-id", &id).send().await?;
        let says_not_run = [408, 421, 429, 503].contains(&response.status().as_u16());
        let record = record.lock().unwrap_or_else(PoisonError::into_inner);
        let runs = record.runs.get(&id).copied().unwrap_or(0);
        if runs > 1 || (says_not_run && runs > 0) {
            broken.push(format!("{id}: {} after {runs} runs", response.status()));
        }
    }
    expect_that!(broken, is_empty());
    let record = record.lock().unwrap_or_else(PoisonError::into_inner);
    expect_that!(record.attempts.len(), gt(20));
    cluster.clean_up();
    Ok(())
}

/// Guards against a repeated refusal that names no exchange and is taken for the response to the next one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_without_an_exchange_is_not_taken_for_another() -> eyre::Result<()> {
    check(false).await
}

/// Guards against a repeated refusal that names an earlier exchange.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_of_an_earlier_exchange_is_not_taken_for_another() -> eyre::Result<()> {
    check(true).await
}
