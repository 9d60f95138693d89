//! Tests of the responses to single requests.

use {
    crate::load::*,
    googletest::prelude::*,
    oriolehoist_testkit::users_platform::*,
    reqwest::Method,
    std::time::{Duration, Instant},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
};

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_have_run_is_not_refused_as_not_run() -> eyre::Result<()> {
    let deployment = deployment(2, 2, 2).await?;
    let request_duration = Duration::from_millis(10);
    for server in &deployment.servers {
        let faults = ServerFaults {
            service_time: request_duration,
            response_loss_rate: 0.5,
            ..ServerFaults::default()
        };
        server.set_faults(faults);
    }
    let load = Load::start(caller_addresses(&deployment), "unknown")?;
    sleep(SECOND * 4).await;
    let responses = load.finish().await;
    check_invariants(&deployment, &responses);
    let unknown =
        responses.iter().filter(|(response, _)| matches!(response.status, Some(502 | 504)));
    expect_that!(unknown.count(), gt(0));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() -> eyre::Result<()> {
    let deployment = deployment(1, 1, 2).await?;
    let request_duration = Duration::from_millis(300);
    for server in &deployment.servers {
        server
            .set_faults(ServerFaults { service_time: request_duration, ..ServerFaults::default() });
    }
    let mut stream = TcpStream::connect(deployment.daemons[0].caller_address).await?;
    let sent_at = Instant::now();
    for id in ["one", "two", "three", "four"] {
        let text = format!(
            "GET /p/{id} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: 1500\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).await?;
    }
    let mut text = String::new();
    let mut buf = [0; 4096];
    while !text.contains("/p/four") {
        let read = tokio::time::timeout(DEADLINE, stream.read(&mut buf)).await??;
        eyre::ensure!(read > 0, "the connection ended after {text}");
        text.push_str(&String::from_utf8_lossy(&buf[..read]));
    }
    expect_that!(sent_at.elapsed(), lt(request_duration * 2));
    let positions: Vec<_> =
        ["/p/one", "/p/two", "/p/three", "/p/four"].map(|id| text.find(id)).into();
    expect_that!(positions.is_sorted(), eq(true));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_always_has_a_request_in_flight_is_not_cut_by_a_planned_stop()
-> eyre::Result<()> {
    let mut deployment = deployment(2, 1, 2).await?;
    let service_time = Duration::from_millis(700);
    for server in &deployment.servers {
        server.set_faults(ServerFaults { service_time, ..ServerFaults::default() });
    }
    let stream = TcpStream::connect(deployment.daemons[0].caller_address).await?;
    let (mut input, mut output) = stream.into_split();
    let sending = tokio::spawn(async move {
        for index in 0..200 {
            let text = format!(
                "GET /p/{index} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: piped-{index}\r\n\
                 x-deadline-ms: 1500\r\n\r\n"
            );
            if output.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
    });
    let receiving = tokio::spawn(async move {
        let mut text = String::new();
        // An error ends the connection like the end of the input.
        let _ = input.read_to_string(&mut text).await;
        text
    });
    sleep(SECOND).await;
    let status = deployment.daemons[0].stop().await?;
    expect_that!(status.is_some_and(|status| status.success()), eq(true));
    let text = receiving.await?;
    sending.abort();
    let executed = deployment.executed_requests();
    expect_that!(executed.len(), ge(10));
    let cut = executed.iter().filter(|run| !text.contains(&format!("{}\r\n", run.request_id)));
    expect_that!(cut.count(), eq(0));
    expect_that!(text.to_lowercase().matches("connection: close").count(), eq(1));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_behind_a_long_one_is_not_read_at_the_end_of_a_planned_stop() -> eyre::Result<()>
{
    let mut deployment = deployment(2, 1, 2).await?;
    let service_time = Duration::from_millis(1300);
    for server in &deployment.servers {
        server.set_faults(ServerFaults { service_time, ..ServerFaults::default() });
    }
    let mut stream = TcpStream::connect(deployment.daemons[0].caller_address).await?;
    let request = |id: &str| {
        format!(
            "GET /p/{id} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: 1500\r\n\r\n"
        )
    };
    let sending = tokio::spawn(async move {
        sleep(Duration::from_millis(1900)).await;
        stream.write_all(request("long").as_bytes()).await?;
        // The daemon closes connections from 2.2 s after the request to stop on.
        sleep(Duration::from_millis(800)).await;
        stream.write_all(request("behind").as_bytes()).await?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await?;
        eyre::Ok(text.to_lowercase())
    });
    let status = deployment.daemons[0].stop().await?;
    expect_that!(status.is_some_and(|status| status.success()), eq(true));
    let text = sending.await??;
    expect_that!(text, contains_substring("x-request-id: long"));
    expect_that!(text, contains_substring("connection: close"));
    let executed: Vec<String> =
        deployment.executed_requests().into_iter().map(|run| run.request_id).collect();
    expect_that!(executed, elements_are![eq("long")]);
    clean_up(deployment);
    Ok(())
}

/// The required bound on how long it may take until a daemon knows what the others have learned.
const PEER_SYNC_BOUND: Duration = Duration::from_millis(3000);

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_is_stopped_at_all_daemons() -> eyre::Result<()> {
    let deployment = deployment(3, 2, 8).await?;
    let load = Load::start(caller_addresses(&deployment), "beside")?;
    let client = Client::new(HOST, "crash")?;
    let mut rejected = 0;
    for index in 0..60 {
        let daemon = deployment.daemons[index % 3].caller_address;
        let response = client.send(daemon, Method::GET, "/p/crashing", None, DEADLINE).await;
        rejected += usize::from(response.status == Some(503) && response.retry_after.is_some());
        sleep(Duration::from_millis(50)).await;
    }
    let responses = load.finish().await;
    check_invariants(&deployment, &responses);
    let executed = deployment
        .executed_requests()
        .into_iter()
        .filter(|run| run.request_id.starts_with("crash"));
    let mut start_times: Vec<Instant> = executed.map(|run| run.started_at).collect();
    start_times.sort();
    let third = start_times.get(2).copied().expect("at least three requests reach a server");
    let late = start_times.iter().filter(|started_at| **started_at > third + PEER_SYNC_BOUND);
    expect_that!(late.count(), le(3));
    let crashed = deployment.servers.iter().filter(|server| server.is_dead());
    // The request is quarantined at the third crash. One more may have been in flight by then.
    expect_that!(crashed.count(), le(4));
    expect_that!(rejected, ge(50));
    // Other requests in flight at the crashed servers are crash suspects for a short time only.
    expect_that!(served_share(&responses), ge(0.95));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn spoiled_and_extra_answers_reach_nobody() -> eyre::Result<()> {
    let deployment = deployment(2, 2, 0).await?;
    let faults = [
        ResponseFault::ExtraResponse,
        ResponseFault::ExtraResponseBefore,
        ResponseFault::NotHttp,
        ResponseFault::Truncated,
    ];
    let mut servers = Vec::new();
    for (server_index, fault) in (50..).zip(faults) {
        servers.push(deployment.add_raw_server(server_index, fault).await?);
    }
    sleep(SECOND).await;
    let client = Client::new(HOST, "garbled")?;
    let mut served = 0;
    for index in 0..300 {
        let daemon = deployment.daemons[index % 2].caller_address;
        let response = client.send(daemon, Method::GET, "/p/a", None, DEADLINE).await;
        // A successful response is complete and belongs to this request.
        if response.status == Some(200) {
            expect_that!(response.body, eq(&format!("raw {} whole", response.id)));
            served += 1;
        }
    }
    // Each malformed response costs one more attempt, which the retry budget allows in most cases.
    expect_that!(served, ge(270));
    clean_up(deployment);
    Ok(())
}
