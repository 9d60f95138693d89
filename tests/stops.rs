//! Tests that a daemon that was asked to stop answers the requests that it has taken.

use {
    googletest::prelude::*,
    oriolehoist_testkit::{
        cluster::{Cluster, ClusterOptions, DaemonMode},
        site,
        standin::RunOutcome,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinSet,
        time::{sleep, sleep_until, timeout},
    },
};

/// Longer than any response takes.
const PATIENCE: Duration = Duration::from_secs(15);

/// What was received for a request that was sent whole.
struct Sent {
    id: String,
    received: String,
}

/// Sends a short request at `at`, and a long one over the same connection, whose body comes
/// `body_after` its head. Reads until the connection ends.
async fn use_connection(
    daemon: SocketAddr,
    at: Instant,
    name: String,
    body_after: Duration,
) -> Vec<Sent> {
    sleep_until(at.into()).await;
    let Ok(mut stream) = TcpStream::connect(daemon).await else { return Vec::new() };
    let mut sent = Vec::new();
    for (work, body_after) in [(10, Duration::ZERO), (4000, body_after)] {
        let id = format!("{name}-{work}");
        let head = format!(
            "POST /mareas-live/window HTTP/1.1\r\nhost: x\r\noriolehoist-key: {name}\r\n\
             work-ms: {work}\r\noriolehoist-deadline-ms: 9000\r\n\
             oriolehoist-request-id: {id}\r\ncontent-length: 4\r\n\r\n"
        );
        let mut is_sent = stream.write_all(head.as_bytes()).await.is_ok();
        sleep(body_after).await;
        is_sent &= stream.write_all(b"body").await.is_ok();
        if !is_sent {
            break;
        }
        let mut buf = vec![0; 4096];
        let mut received = String::new();
        // A response to the first request arrives at once.
        let wait = if work > 1000 { PATIENCE } else { Duration::from_secs(1) };
        while let Ok(Ok(read @ 1..)) = timeout(wait, stream.read(&mut buf)).await {
            received += &String::from_utf8_lossy(&buf[..read]);
            if received.contains("\r\n\r\n") {
                break;
            }
        }
        sent.push(Sent { id, received });
    }
    sent
}

/// Stops a daemon while callers use their connections until it is gone.
async fn check_stop(cluster: &mut Cluster, index: usize) -> eyre::Result<()> {
    let (address, started) = (cluster.daemons[index].caller_address, Instant::now());
    let mut connections = JoinSet::new();
    for number in 0..14 {
        let at = started + Duration::from_millis(250) * number;
        let body_after = Duration::from_millis(if number % 3 == 0 { 1500 } else { 0 });
        let name = format!("stop-{index}-{number}");
        connections.spawn(use_connection(address, at, name, body_after));
    }
    sleep(Duration::from_millis(600)).await;
    cluster.daemons[index].stop().await?;
    println!("exited after {:?}", started.elapsed());
    let sent: Vec<Sent> = connections.join_all().await.into_iter().flatten().collect();
    let runs = cluster.journal.runs();
    for Sent { id, received } in &sent {
        let runs: Vec<RunOutcome> =
            runs.iter().filter(|run| run.request_id == *id).map(|run| run.outcome).collect();
        let committed = runs.iter().filter(|outcome| **outcome == RunOutcome::Committed).count();
        let status = received.get(9..12).unwrap_or("none");
        println!("{id}: {runs:?}, status {status}");
        expect_that!(committed, eq(usize::from(status == "200")), "{id}: {received}");
        expect_that!(runs.is_empty() || status != "none", eq(true), "{id}");
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn work_of_seconds_and_late_bodies_are_answered_in_stops_in_series() -> eyre::Result<()> {
    let program = env!("CARGO_BIN_EXE_oriolehoist").into();
    let options = ClusterOptions::new(site::villacres(), 6, DaemonMode::Process(program));
    let mut cluster = Cluster::start(options).await?;
    let assigner = cluster.assigner("mareas-live").await?;
    for index in [assigner, (assigner + 1) % 6] {
        check_stop(&mut cluster, index).await?;
    }
    cluster.clean_up();
    Ok(())
}
