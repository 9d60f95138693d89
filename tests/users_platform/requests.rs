//! Single requests.

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
    let work = Duration::from_millis(10);
    for server in &deployment.servers {
        let faults =
            ServerFaults { service_time: work, response_loss_rate: 0.5, ..ServerFaults::default() };
        server.set_faults(faults);
    }
    let load = Load::start(callers(&deployment), "unknown")?;
    sleep(SECOND * 4).await;
    let replies = load.finish().await;
    check_promises(&deployment, &replies);
    let unknown = replies.iter().filter(|(reply, _)| matches!(reply.status, Some(502 | 504)));
    expect_that!(unknown.count(), gt(0));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_run_together_and_are_answered_in_order() -> eyre::Result<()> {
    let deployment = deployment(1, 1, 2).await?;
    let work = Duration::from_millis(300);
    for server in &deployment.servers {
        server.set_faults(ServerFaults { service_time: work, ..ServerFaults::default() });
    }
    let mut stream = TcpStream::connect(deployment.daemons[0].caller_address).await?;
    let asked = Instant::now();
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
    expect_that!(asked.elapsed(), lt(work * 2));
    let places: Vec<_> = ["/p/one", "/p/two", "/p/three", "/p/four"].map(|id| text.find(id)).into();
    expect_that!(places.is_sorted(), eq(true));
    clean_up(deployment);
    Ok(())
}

/// The users' bound on how long a daemon may not know what the others have learnt.
const CONTACT: Duration = Duration::from_millis(3000);

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_is_stopped_at_all_daemons() -> eyre::Result<()> {
    let deployment = deployment(3, 2, 8).await?;
    let load = Load::start(callers(&deployment), "beside")?;
    let client = Client::new(HOST, "crash")?;
    let mut stopped = 0;
    for turn in 0..60 {
        let daemon = deployment.daemons[turn % 3].caller_address;
        let reply = client.send(daemon, Method::GET, "/p/crashing", None, DEADLINE).await;
        stopped += usize::from(reply.status == Some(503) && reply.retry_after.is_some());
        sleep(Duration::from_millis(50)).await;
    }
    let replies = load.finish().await;
    check_promises(&deployment, &replies);
    let ran = deployment
        .executed_requests()
        .into_iter()
        .filter(|ran| ran.request_id.starts_with("crash"));
    let mut began: Vec<Instant> = ran.map(|ran| ran.started_at).collect();
    began.sort();
    let third = began.get(2).copied().expect("it crashes servers until it is known");
    let late = began.iter().filter(|began| **began > third + CONTACT);
    expect_that!(late.count(), le(3));
    let dead = deployment.servers.iter().filter(|server| server.is_dead());
    // The third crash convicts it; one more may have been on its way.
    expect_that!(dead.count(), le(4));
    expect_that!(stopped, ge(50));
    // Requests beside it were at the servers that crashed, and are no suspects for long.
    expect_that!(served(&replies), ge(0.95));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn spoiled_and_extra_answers_reach_nobody() -> eyre::Result<()> {
    let deployment = deployment(2, 2, 0).await?;
    let garbles = [
        ResponseFault::ExtraResponse,
        ResponseFault::ExtraResponseBefore,
        ResponseFault::NotHttp,
        ResponseFault::Truncated,
    ];
    let mut servers = Vec::new();
    for (index, garble) in (50..).zip(garbles) {
        servers.push(deployment.add_raw_server(index, garble).await?);
    }
    sleep(SECOND).await;
    let client = Client::new(HOST, "garbled")?;
    let mut served = 0;
    for turn in 0..300 {
        let daemon = deployment.daemons[turn % 2].caller_address;
        let reply = client.send(daemon, Method::GET, "/p/a", None, DEADLINE).await;
        // A success is the whole answer to this request and no other.
        if reply.status == Some(200) {
            expect_that!(reply.body, eq(&format!("raw {} whole", reply.id)));
            served += 1;
        }
    }
    // Spoiled answers cost one further attempt each, which the budget allows for most.
    expect_that!(served, ge(270));
    clean_up(deployment);
    Ok(())
}
