//! Tests of servers that send a complete response once more, at the point where the next one is expected.

use {
    crate::load::*,
    googletest::prelude::*,
    oriolehoist_testkit::users_platform::*,
    reqwest::Method,
    serde_json::Value,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// How long a request runs.
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// How long a release waits for the work in flight.
const RELEASE_TIME: Duration = Duration::from_millis(400);
/// The time for a move of all keys. Connections for orders are kept for longer.
const MOVE_TIME: Duration = Duration::from_millis(1100);
/// The index of the first scripted server.
const FIRST: u8 = 50;
/// Requests whose path ends with this are refused at first.
const REFUSED: &str = "/refused";

/// What servers have done, and the responses that they will repeat.
#[derive(Debug, Default)]
struct Record {
    /// How often each request was sent, by its id.
    attempts: HashMap<String, u32>,
    /// How often each request ran, by its id.
    runs: HashMap<String, u32>,
    /// The response that is sent again before the next one, by server and connection.
    owed: HashMap<(u8, u64), Vec<u8>>,
    /// The connections of orders, by server.
    order_connections: HashMap<u8, Vec<u64>>,
    /// The keys whose release waits for work in flight, by server.
    releasing: Vec<(u8, [u64; 2])>,
    releases: usize,
    /// Grants of keys on which another server is still at work.
    violations: Vec<String>,
}

type SharedRecord = Arc<Mutex<Record>>;

fn lock(record: &SharedRecord) -> MutexGuard<'_, Record> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How the servers of a test name calls in their responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Naming {
    refusals: bool,
    orders: bool,
}

/// The calls that have an effect on the keys of a server, as far as the record needs it.
fn reply(record: &SharedRecord, server: u8, naming: Naming, call: &ScriptedCall) -> ScriptedReply {
    let id = call.id.clone().unwrap_or_default();
    match call.path.as_str() {
        "/health" => ScriptedReply {
            bytes: raw_response(200, &[("x-instance-id", &format!("i-{server}"))], ""),
            ..ScriptedReply::default()
        },
        "/v1/grant" | "/v1/release" => order(record, server, naming, call),
        _ => request(record, server, naming, &id, call),
    }
}

fn request(
    record: &SharedRecord,
    server: u8,
    naming: Naming,
    id: &str,
    call: &ScriptedCall,
) -> ScriptedReply {
    let mut record = lock(record);
    let before = record.owed.remove(&(server, call.connection)).unwrap_or_default();
    let attempts = record.attempts.entry(id.to_owned()).or_default();
    *attempts += 1;
    if call.path.ends_with(REFUSED) && *attempts == 1 {
        let named = [("x-not-executed", "1"), ("x-request-id", id)];
        let headers = if naming.refusals { &named[..] } else { &named[..1] };
        let bytes = raw_response(421, headers, "");
        record.owed.insert((server, call.connection), bytes.clone());
        return ScriptedReply { before, bytes, ..ScriptedReply::default() };
    }
    *record.runs.entry(id.to_owned()).or_default() += 1;
    let headers = [("x-request-id", id), ("x-response-signature", "sig")];
    let bytes = raw_response(200, &headers, &format!("raw {id} whole"));
    ScriptedReply { before, delay: SERVICE_TIME, bytes, ..ScriptedReply::default() }
}

/// Carries out an order. The response to a release is repeated before that to the next order on the
/// connection.
fn order(record: &SharedRecord, server: u8, naming: Naming, call: &ScriptedCall) -> ScriptedReply {
    let order: Value = serde_json::from_slice(&call.body).unwrap_or_default();
    let bound = |name: &str| order[name].as_u64().unwrap_or_default();
    let keys = [bound("from"), bound("target")];
    let id = call.id.clone().unwrap_or_default();
    let token = format!("{:016x}", fastrand::u64(..));
    let mut headers = Vec::new();
    if naming.orders {
        headers.push(("x-request-id", id.as_str()));
    }
    let mut record_now = lock(record);
    let before = record_now.owed.remove(&(server, call.connection)).unwrap_or_default();
    if call.path == "/v1/grant" {
        let overlaps = |other: &&(u8, [u64; 2])| {
            other.0 != server && other.1[0] <= keys[1] && keys[0] <= other.1[1]
        };
        if let Some((other, at_work)) = record_now.releasing.iter().find(overlaps).copied() {
            let text = format!("{server} was granted {keys:?} while {other} worked on {at_work:?}");
            record_now.violations.push(text);
        }
        return ScriptedReply {
            before,
            bytes: raw_response(200, &headers, ""),
            ..ScriptedReply::default()
        };
    }
    headers.push(("x-handover", token.as_str()));
    let bytes = raw_response(200, &headers, "");
    record_now.releases += 1;
    record_now.releasing.push((server, keys));
    record_now.order_connections.entry(server).or_default().push(call.connection);
    record_now.owed.insert((server, call.connection), bytes.clone());
    let record = Arc::clone(record);
    tokio::spawn(async move {
        sleep(RELEASE_TIME).await;
        lock(&record).releasing.retain(|entry| *entry != (server, keys));
    });
    // The work has ended before the response is sent.
    let delay = RELEASE_TIME + Duration::from_millis(20);
    ScriptedReply { before, delay, bytes, ..ScriptedReply::default() }
}

/// Starts a daemon with scripted servers, and waits until these serve all keys.
async fn start(
    record: &SharedRecord,
    servers: u8,
    naming: Naming,
) -> eyre::Result<(Deployment, Vec<ScriptedServer>)> {
    let deployment = deployment(1, 1, 0).await?;
    let mut scripted = Vec::new();
    for index in FIRST..FIRST + servers {
        let record = Arc::clone(record);
        let script = move |call: &ScriptedCall| reply(&record, index, naming, call);
        scripted.push(deployment.add_scripted_server(index, "keyed", script).await?);
    }
    deployment.register(&deployment.servers[0], "keyed", "draining");
    let client = Client::new(HOST, "first")?;
    let daemon = deployment.daemons[0].caller_address;
    for _ in 0..100 {
        let keys = [7, 20_000, 40_000, 60_000];
        let send = |key| client.send(daemon, Method::GET, "/k/a", Some(key), DEADLINE);
        let responses = futures::future::join_all(keys.map(send)).await;
        if responses.iter().all(|response| response.body.starts_with("raw ")) {
            deployment.unregister(&deployment.servers[0]);
            return Ok((deployment, scripted));
        }
        sleep(SECOND / 10).await;
    }
    eyre::bail!("the scripted servers do not serve all keys")
}

/// Returns the bookings that ran more than once, and those that ran although the response says that they
/// did not.
fn broken_promises(record: &SharedRecord, responses: &[ClientResponse]) -> Vec<String> {
    let record = lock(record);
    let runs = |id: &str| record.runs.get(id).copied().unwrap_or(0);
    let broken = responses.iter().filter(|response| {
        let says_not_run = matches!(response.status, Some(408 | 421 | 429 | 503));
        runs(&response.id) > 1 || (says_not_run && runs(&response.id) > 0)
    });
    broken.map(|response| format!("{response:?} ran {} times", runs(&response.id))).collect()
}

/// Sends bookings whose first attempts are refused, and one other beside each of them if `with_others`.
/// Checks that none runs twice or is refused after it has run, and that all are served.
async fn check_bookings(naming: Naming, with_others: bool) -> eyre::Result<()> {
    let record = SharedRecord::default();
    let (deployment, servers) = start(&record, 1, naming).await?;
    let client = Client::new(HOST, "booking")?;
    let daemon = deployment.daemons[0].caller_address;
    let mut responses = Vec::new();
    for key in 0..12 {
        let send = |path| client.send(daemon, Method::POST, path, Some(key), DEADLINE);
        // It arrives while the refused booking waits for its second attempt.
        let other = async {
            sleep(SERVICE_TIME * 2).await;
            match with_others {
                true => Some(send("/b/other").await),
                false => None,
            }
        };
        let (refused, other) = tokio::join!(send("/b/refused"), other);
        responses.extend([Some(refused), other].into_iter().flatten());
    }
    expect_that!(broken_promises(&record, &responses), is_empty());
    let served = responses.iter().filter(|response| response.is_served());
    expect_that!(served.count(), eq(responses.len()));
    drop(servers);
    clean_up(deployment);
    Ok(())
}

/// Guards against bookings that run twice because the repeated refusal of their first attempt is taken for
/// the response to the second one, which has the same id.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_does_not_run_twice_when_the_refusal_of_its_first_attempt_is_repeated()
-> eyre::Result<()> {
    check_bookings(Naming { refusals: true, orders: true }, false).await
}

/// Guards against a repeated refusal that names no request and is taken for the response to the next one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_without_an_id_is_not_taken_for_that_of_another_request()
-> eyre::Result<()> {
    check_bookings(Naming { refusals: false, orders: true }, true).await
}

/// Moves all keys of a server that repeats its responses to releases, and returns the record.
async fn move_keys(naming: Naming) -> eyre::Result<SharedRecord> {
    let record = SharedRecord::default();
    let (deployment, servers) = start(&record, 2, naming).await?;
    for round in 0..8 {
        let (leaving, staying) = (FIRST + round % 2, FIRST + (round + 1) % 2);
        deployment.register_address_in_state(staying, "keyed", "ready");
        deployment.register_address_in_state(leaving, "keyed", "draining");
        sleep(MOVE_TIME).await;
    }
    drop(servers);
    clean_up(deployment);
    Ok(record)
}

/// Guards against keys that are granted while their last owner is at work on them, because a repeated
/// response to a release is taken for that to the next release.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_not_granted_while_their_release_waits_when_its_predecessor_is_repeated()
-> eyre::Result<()> {
    let record = move_keys(Naming { refusals: true, orders: false }).await?;
    let record = lock(&record);
    expect_that!(record.violations, is_empty());
    expect_that!(record.releases, ge(8));
    Ok(())
}

/// Guards against a new connection for each release to a server that names orders in its responses.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn releases_share_connections_to_servers_that_name_them() -> eyre::Result<()> {
    let record = move_keys(Naming { refusals: true, orders: true }).await?;
    let record = lock(&record);
    expect_that!(record.violations, is_empty());
    expect_that!(record.releases, ge(8));
    let connections = record.order_connections.values().map(|connections| {
        let distinct: std::collections::HashSet<_> = connections.iter().collect();
        (distinct.len(), connections.len())
    });
    for (distinct, releases) in connections {
        expect_that!(distinct, lt(releases));
    }
    Ok(())
}
