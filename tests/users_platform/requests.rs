//! Single requests.

use {
    crate::load::*,
    googletest::prelude::*,
    oriolehoist_testkit::users_platform::*,
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
        let faults = ServerFaults { work, lost_answers: 0.5, ..ServerFaults::default() };
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
        server.set_faults(ServerFaults { work, ..ServerFaults::default() });
    }
    let mut stream = TcpStream::connect(deployment.daemons[0].callers).await?;
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
