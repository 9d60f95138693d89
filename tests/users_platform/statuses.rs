//! Tests of responses whose status HTTP does not have, or that announce another protocol or a body that
//! their kind does not have.

use {
    crate::load::*,
    googletest::prelude::*,
    oriolehoist_testkit::{fault::Fault, users_platform::*},
    reqwest::Method,
    std::{
        collections::HashSet,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

const SERVER: u8 = 50;
/// Within this time a caller gets a response after a server's invalid one, as there is nothing to wait for.
const PROMPTLY: Duration = Duration::from_millis(400);

/// Status lines of responses that are none, with headers that frame a body.
const INVALID: [(&str, &str); 8] = [
    ("000 ", ""),
    ("001 One", ""),
    ("042 Answer", ""),
    ("099 Ninety-nine", ""),
    ("101 Switching Protocols", "upgrade: other\r\nconnection: upgrade\r\n"),
    ("100 Continue", "content-length: 5\r\n"),
    ("103 Early Hints", "transfer-encoding: chunked\r\n"),
    ("199 Last", "content-length: x\r\n"),
];

/// What follows the head of such a response.
#[derive(Clone, Copy, Debug)]
enum Rest {
    Nothing,
    Bytes,
    /// A complete response to the same request.
    Response,
}

const RESTS: [Rest; 3] = [Rest::Nothing, Rest::Bytes, Rest::Response];

/// Returns a valid response to a request.
fn raw_reply(call: &ScriptedCall) -> ScriptedReply {
    let id = call.id.clone().unwrap_or_default();
    let headers = [("x-request-id", id.as_str()), ("x-response-signature", "sig")];
    let bytes = raw_response(200, &headers, &format!("raw {id} whole"));
    ScriptedReply { bytes, ..ScriptedReply::default() }
}

/// Returns an invalid response to a call, or what follows its head as a body.
fn invalid(call: &ScriptedCall, (status, framing): (&str, &str), rest: Rest) -> ScriptedReply {
    let id = call.id.clone().unwrap_or_default();
    let served = raw_response(
        200,
        &[("x-request-id", &id), ("x-response-signature", "sig"), ("x-instance-id", "i-50")],
        "not the answer",
    );
    let body = match rest {
        Rest::Nothing => Vec::new(),
        Rest::Bytes => b"whole".to_vec(),
        Rest::Response => served,
    };
    let framing = match framing {
        "" if !body.is_empty() => format!("content-length: {}\r\n", body.len()),
        framing => framing.to_owned(),
    };
    let head = format!(
        "HTTP/1.1 {status}\r\nx-request-id: {id}\r\nx-response-signature: sig\r\n\
         x-not-executed: 1\r\n{framing}\r\n"
    );
    ScriptedReply { bytes: [head.into_bytes(), body].concat(), ..ScriptedReply::default() }
}

/// Guards against a body that is taken for the response, and against callers that wait for a response that
/// is not to come.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_with_an_invalid_status_is_no_answer_and_nothing_is_waited_for()
-> eyre::Result<()> {
    let deployment = deployment(1, 1, 0).await?;
    let (seen, reused) = (AtomicUsize::new(0), Arc::new(AtomicUsize::new(0)));
    let counted = Arc::clone(&reused);
    let script = move |call: &ScriptedCall| {
        let mut parts = call.path.split('/').skip(2).map(|part| part.parse::<usize>().ok());
        let mut next = || parts.next().flatten();
        match (next(), next()) {
            (Some(status), Some(rest)) => {
                let connection = call.connection as usize;
                let last = seen.swap(connection, Ordering::Relaxed);
                counted.fetch_add(usize::from(last == connection), Ordering::Relaxed);
                invalid(call, INVALID[status], RESTS[rest])
            }
            _ => ScriptedReply { bytes: raw_response(200, &[], ""), ..ScriptedReply::default() },
        }
    };
    let server = deployment.add_scripted_server(SERVER, "plain", script).await?;
    sleep(SECOND).await;
    let client = Client::new(HOST, "status")?;
    let daemon = deployment.daemons[0].caller_address;
    for (index, status) in INVALID.iter().enumerate() {
        for (rest_index, rest) in RESTS.iter().enumerate() {
            let path = format!("/p/{index}/{rest_index}");
            let response = send_until_run(&client, daemon, &path, SECOND).await;
            let is_unknown = matches!(response.status, Some(502 | 504));
            expect_that!(is_unknown, eq(true), "{status:?} {rest:?}: {response:?}");
            expect_that!(response.latency, lt(PROMPTLY), "{status:?} {rest:?}");
        }
    }
    expect_that!(
        reused.load(Ordering::Relaxed),
        eq(0),
        "requests on the connection of an invalid response"
    );
    drop(server);
    clean_up(deployment);
    Ok(())
}

/// Guards against an idempotent request that has no second attempt after an invalid response.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_sent_again_after_an_invalid_status() -> eyre::Result<()> {
    let deployment = deployment(1, 1, 1).await?;
    let reached: Arc<Mutex<HashSet<String>>> = Arc::default();
    let noted = Arc::clone(&reached);
    let script = move |call: &ScriptedCall| {
        let index = call.path.rsplit('/').next().and_then(|index| index.parse::<usize>().ok());
        match index {
            Some(index) => {
                noted.lock().expect("the lock is not poisoned").extend(call.id.clone());
                invalid(call, INVALID[index % INVALID.len()], RESTS[index % RESTS.len()])
            }
            None => raw_reply(call),
        }
    };
    let server = deployment.add_scripted_server(SERVER, "plain", script).await?;
    sleep(SECOND).await;
    let client = Client::new(HOST, "again")?;
    let daemon = deployment.daemons[0].caller_address;
    let mut responses = Vec::new();
    for index in 0..48 {
        // Each request earns a fraction of a retry.
        for _ in 0..8 {
            client.send(daemon, Method::GET, "/p/a", None, DEADLINE).await;
        }
        let path = format!("/p/{index}");
        responses.push(client.send(daemon, Method::GET, &path, None, DEADLINE).await);
    }
    let reached = reached.lock().expect("the lock is not poisoned").clone();
    responses.retain(|response| reached.contains(&response.id));
    expect_that!(responses, not(is_empty()));
    for response in responses {
        expect_that!(response.is_served(), eq(true), "{response:?}");
    }
    drop(server);
    clean_up(deployment);
    Ok(())
}

/// Guards against an order that counts as carried out, so that a server gets requests for keys that it does
/// not hold.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_gets_an_invalid_status_is_not_carried_out() -> eyre::Result<()> {
    let deployment = deployment(1, 1, 1).await?;
    let requests = Arc::new(AtomicUsize::new(0));
    let arrived = Arc::clone(&requests);
    let script = move |call: &ScriptedCall| {
        arrived.fetch_add(usize::from(call.path.starts_with("/k/")), Ordering::Relaxed);
        let index = call.body.len() % INVALID.len();
        invalid(call, INVALID[index], Rest::Response)
    };
    let server = deployment.add_scripted_server(SERVER, "keyed", script).await?;
    deployment.register(&deployment.servers[0], "keyed", "draining");
    sleep(SECOND * 4).await;
    let client = Client::new(HOST, "order")?;
    for key in (0..200_u16).map(|index| index * 327) {
        let daemon = deployment.daemons[0].caller_address;
        client.send(daemon, Method::GET, "/k/a", Some(key), DEADLINE / 5).await;
    }
    expect_that!(requests.load(Ordering::Relaxed), eq(0));
    let log = deployment.daemons[0].log();
    let orders = log.lines().filter(|line| line.contains("server=i-50"));
    let orders: Vec<&str> = orders.filter(|line| line.contains("kind=grant")).collect();
    expect_that!(orders.iter().filter(|line| line.contains("OrderFailed")).count(), gt(0));
    expect_that!(orders.iter().filter(|line| line.contains("end=done")).count(), eq(0));
    drop(server);
    clean_up(deployment);
    Ok(())
}

/// Guards against a health check that shows a path to a server by what follows an invalid status.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_health_check_that_gets_an_invalid_status_restores_no_path() -> eyre::Result<()> {
    let deployment = deployment(1, 1, 1).await?;
    let (checks, is_valid) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let (counted, answers) = (Arc::clone(&checks), Arc::clone(&is_valid));
    let script = move |call: &ScriptedCall| match call.path.as_str() {
        "/health" if answers.load(Ordering::Relaxed) => ScriptedReply {
            bytes: raw_response(200, &[("x-instance-id", "i-50")], ""),
            ..ScriptedReply::default()
        },
        "/health" => {
            let count = counted.fetch_add(1, Ordering::Relaxed);
            invalid(call, INVALID[count % INVALID.len()], Rest::Response)
        }
        _ => raw_reply(call),
    };
    let (server, edge) =
        deployment.add_scripted_server_behind_proxy(SERVER, "plain", script).await?;
    sleep(SECOND).await;
    deployment.network.add_fault(None, &edge, Fault::Reset);
    let load = Load::start(caller_addresses(&deployment), "health")?;
    sleep(SECOND).await;
    load.finish().await;
    let has_logged = |text: &str| deployment.daemons[0].log().contains(text);
    expect_that!(has_logged("PathLost: server=i-50"), eq(true));
    deployment.network.clear_all_faults();
    sleep(SECOND * 3).await;
    expect_that!(checks.load(Ordering::Relaxed), ge(2));
    expect_that!(has_logged("PathRestored: server=i-50"), eq(false));
    is_valid.store(true, Ordering::Relaxed);
    sleep(SECOND * 3).await;
    expect_that!(has_logged("PathRestored: server=i-50"), eq(true));
    drop(server);
    clean_up(deployment);
    Ok(())
}

/// The statuses from 600 to 999 have no meaning in HTTP, but a server's status is returned unchanged.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn statuses_without_a_meaning_are_returned_unchanged() -> eyre::Result<()> {
    let deployment = deployment(1, 1, 0).await?;
    let script = |call: &ScriptedCall| {
        let id = call.id.clone().unwrap_or_default();
        let status = call.path.rsplit('/').next().and_then(|status| status.parse().ok());
        let headers = [("x-request-id", id.as_str()), ("x-response-signature", "sig")];
        let interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";
        ScriptedReply {
            before: interim.to_vec(),
            bytes: raw_response(status.unwrap_or(200), &headers, &format!("raw {id} whole")),
            ..ScriptedReply::default()
        }
    };
    let server = deployment.add_scripted_server(SERVER, "plain", script).await?;
    sleep(SECOND).await;
    let client = Client::new(HOST, "unchanged")?;
    for status in [200, 299, 418, 599, 600, 789, 999] {
        let path = format!("/p/{status}");
        let daemon = deployment.daemons[0].caller_address;
        let response = send_until_run(&client, daemon, &path, SECOND).await;
        expect_that!(response.status, some(eq(status)));
        expect_that!(response.body.contains(&response.id), eq(true));
    }
    drop(server);
    clean_up(deployment);
    Ok(())
}
