//! Tests that a daemon that was asked to stop takes only requests that end before it exits.

use {
    crate::load::*,
    googletest::prelude::*,
    oriolehoist_testkit::{fault::Fault, users_platform::*},
    std::{
        collections::HashMap,
        net::SocketAddr,
        path::Path,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinSet,
        time::{sleep, sleep_until, timeout},
    },
};

/// The grace time of the deployments.
const GRACE: Duration = Duration::from_secs(6);
/// Requests that were sent later than this after the SIGTERM may not be cut off.
const LATE: Duration = Duration::from_secs(3);
/// How long the servers work in these tests.
const WORK: Duration = Duration::from_millis(3500);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What callers do on one connection.
#[derive(Clone, Copy, Debug)]
struct Plan {
    /// When the connection is opened, after the SIGTERM.
    opened: Duration,
    /// How long after that the first request is sent.
    idle: Duration,
    /// How long after its head the body of the first request is sent.
    body_after: Duration,
    /// How many requests are sent at once.
    pipelined: usize,
    path: &'static str,
    deadline: Duration,
}

/// How a request ended.
#[derive(Clone, Debug)]
struct Sent {
    id: String,
    path: &'static str,
    /// When its last byte was sent, after the SIGTERM.
    sent: Duration,
    /// When the response was complete or the connection ended, after the SIGTERM.
    ended: Duration,
    response: Option<Response>,
    /// Whether it was sent behind another one without waiting for that.
    is_behind: bool,
}

#[derive(Clone, Debug)]
struct Response {
    status: u16,
    closes: bool,
    says_when_to_retry: bool,
}

/// Reads one response, or returns `None` if the connection ends before its end.
async fn read_response(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Response> {
    loop {
        if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).to_ascii_lowercase();
            let value =
                |name: &str| head.lines().find_map(|line| line.strip_prefix(name).map(str::trim));
            let length: usize = value("content-length:")?.parse().ok()?;
            if buf.len() >= end + 4 + length {
                let response = Response {
                    status: head.split(' ').nth(1)?.parse().ok()?,
                    closes: value("connection:") == Some("close"),
                    says_when_to_retry: value("retry-after:").is_some(),
                };
                buf.drain(..end + 4 + length);
                return Some(response);
            }
        }
        if !matches!(stream.read_buf(buf).await, Ok(read) if read > 0) {
            return None;
        }
    }
}

/// Sends requests over one connection until it ends, and from then on none.
async fn use_connection(
    daemon: SocketAddr,
    stopped_at: Instant,
    plan: Plan,
    name: String,
) -> Vec<Sent> {
    let mut requests: Vec<Sent> = Vec::new();
    sleep_until((stopped_at + plan.opened).into()).await;
    let Ok(Ok(mut stream)) = timeout(SECOND, TcpStream::connect(daemon)).await else {
        return requests;
    };
    sleep(plan.idle).await;
    let mut body_after = plan.body_after;
    let mut buf = Vec::new();
    loop {
        let first = requests.len();
        for index in 0..plan.pipelined {
            let id = format!("{name}-{}", requests.len());
            let method = if plan.path.starts_with("/b") { "POST" } else { "GET" };
            let (path, deadline, key) = (plan.path, plan.deadline.as_millis(), fastrand::u16(..));
            let head = format!(
                "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
                 x-shard-key: {key}\r\nx-deadline-ms: {deadline}\r\ncontent-length: 4\r\n\r\n"
            );
            let mut is_sent = stream.write_all(head.as_bytes()).await.is_ok();
            sleep(std::mem::take(&mut body_after)).await;
            is_sent &= stream.write_all(b"body").await.is_ok();
            let now = stopped_at.elapsed();
            if !is_sent {
                break;
            }
            let (path, response, is_behind) = (plan.path, None, index > 0);
            requests.push(Sent { id, path, sent: now, ended: now, response, is_behind });
        }
        let mut closes = first == requests.len();
        for request in &mut requests[first..] {
            request.response = read_response(&mut stream, &mut buf).await;
            request.ended = stopped_at.elapsed();
            closes |= request.response.as_ref().is_none_or(|response| response.closes);
        }
        if closes {
            return requests;
        }
    }
}

/// Connections of all kinds, opened until the daemon accepts no more.
fn plans(deadline: Duration) -> Vec<Plan> {
    let mut plans = Vec::new();
    for (index, opened) in (0..=2900).step_by(290).map(millis).enumerate() {
        let path = ["/p/a", "/b/a", "/k/a"][index % 3];
        let plan =
            Plan { opened, idle: millis(0), body_after: millis(0), pipelined: 1, path, deadline };
        plans.push(Plan { path: "/b/a", ..plan });
        plans.push(Plan { idle: millis(700), ..plan });
        plans.push(Plan { idle: millis(1100), path: "/b/a", ..plan });
        plans.push(Plan { body_after: millis(1900), path: "/b/a", ..plan });
        plans.push(Plan { pipelined: 3, path: "/p/a", ..plan });
    }
    plans
}

/// Checks that no request was cut off that the daemon had to finish, and that refusals are true.
fn check_ends(deployment: &Deployment, stopped_at: Instant, requests: &[Sent], text: &str) {
    let mut runs: HashMap<String, Vec<Duration>> = HashMap::new();
    for run in deployment.executed_requests() {
        let at = run.started_at.saturating_duration_since(stopped_at);
        runs.entry(run.request_id).or_default().push(at);
    }
    let runs_of = |request: &Sent| runs.get(&request.id).cloned().unwrap_or_default();
    let is_cut = |request: &&Sent| {
        let unread = runs_of(request).is_empty()
            && (request.is_behind || request.ended < request.sent + millis(200));
        request.response.is_none() && !unread
    };
    let cut: Vec<&Sent> = requests.iter().filter(is_cut).collect();
    let bookings = cut.iter().filter(|request| request.path == "/b/a").count();
    let late = cut.iter().filter(|request| request.sent > LATE).count();
    let has_status = |status| {
        let is = move |request: &&Sent| {
            request.response.as_ref().is_some_and(|response| response.status == status)
        };
        requests.iter().filter(is).count()
    };
    println!(
        "{text}: {} requests, {} served, {} refused as not run, {} cut ({bookings} bookings, {late} \
         sent later than 3 s)",
        requests.len(),
        has_status(200),
        has_status(503),
        cut.len(),
    );
    for request in &cut {
        println!("cut: {request:?}, runs from {:?}", runs_of(request));
    }
    expect_that!(cut, is_empty(), "{text}");
    for request in requests {
        let runs = runs_of(request);
        if request.path == "/b/a" {
            expect_that!(runs.len(), le(1), "{request:?}");
        }
        if let Some(Response { status: 503, says_when_to_retry, .. }) = request.response {
            expect_that!(runs, is_empty(), "{request:?}");
            expect_that!(says_when_to_retry, eq(true), "{request:?}");
        }
    }
}

/// Starts a deployment whose servers are known to work this long.
async fn working(
    daemons: u8,
    route_timeout: Duration,
    service_time: Duration,
) -> eyre::Result<Deployment> {
    let program = Path::new(env!("CARGO_BIN_EXE_oriolehoist"));
    let mut deployment =
        Deployment::start_behind_proxies(program, daemons, 4, 4, DRAIN_PERIOD).await?;
    deployment.publish_route_times(route_timeout, route_timeout);
    for server in &deployment.servers {
        server.set_faults(ServerFaults { service_time, ..ServerFaults::default() });
    }
    sleep(CONFIG_BOUND).await;
    let mut warming = JoinSet::new();
    for address in caller_addresses(&deployment) {
        for index in 0..8 {
            let client = Client::new(HOST, &format!("warm-{address}-{index}"))?;
            warming.spawn(async move {
                let (path, key) = if index % 2 == 0 { ("/k/a", index << 13) } else { ("/p/a", 0) };
                let method = reqwest::Method::GET;
                client.send(address, method, path, Some(key), route_timeout).await
            });
        }
    }
    warming.join_all().await;
    Ok(deployment)
}

/// Stops a daemon while callers use their connections until it is gone, and checks how these ended.
async fn check_stop(
    deployment: &mut Deployment,
    index: usize,
    deadline: Duration,
    signals: u32,
) -> eyre::Result<Vec<Sent>> {
    let daemon = &mut deployment.daemons[index];
    let (address, stopped_at) = (daemon.caller_address, Instant::now());
    let mut connections = JoinSet::new();
    for (number, plan) in plans(deadline).into_iter().enumerate() {
        let name = format!("stop-{index}-{number}");
        connections.spawn(use_connection(address, stopped_at, plan, name));
    }
    for _ in 1..signals {
        daemon.terminate();
        sleep(millis(400)).await;
    }
    let exited = timeout(GRACE, daemon.stop()).await;
    let text = format!("deadline {deadline:?}, {signals} signals");
    println!("{text}: exited after {:?}", stopped_at.elapsed());
    expect_that!(exited.is_ok(), eq(true), "{text}");
    let requests: Vec<Sent> = connections.join_all().await.into_iter().flatten().collect();
    check_ends(deployment, stopped_at, &requests, &text);
    Ok(requests)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn work_of_seconds_is_not_cut_by_a_stop() -> eyre::Result<()> {
    let mut deployment = working(2, millis(4000), WORK).await?;
    check_stop(&mut deployment, 0, millis(4000), 1).await?;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_deadlines_beyond_the_grace_time_are_not_cut_by_a_stop() -> eyre::Result<()> {
    let mut deployment = working(2, millis(9000), WORK).await?;
    check_stop(&mut deployment, 0, millis(9000), 1).await?;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn stops_in_series_and_repeated_signals_cut_no_request() -> eyre::Result<()> {
    let mut deployment = working(3, millis(4000), WORK).await?;
    let assigner = assigner_index(&deployment);
    for index in [assigner, (assigner + 1) % 3] {
        check_stop(&mut deployment, index, millis(4000), 3).await?;
    }
    clean_up(deployment);
    Ok(())
}

// A caller that is refused before the load balancer has noticed comes back to the same daemon.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn short_work_is_served_until_callers_reach_other_daemons() -> eyre::Result<()> {
    for deadline in [millis(1500), millis(9000)] {
        let mut deployment = working(2, deadline, millis(10)).await?;
        let requests = check_stop(&mut deployment, 0, deadline, 1).await?;
        let early = requests.iter().filter(|request| request.sent < SECOND * 2).count();
        let is_served = |request: &&Sent| {
            let response = request.response.as_ref();
            request.sent < SECOND * 2 && response.is_some_and(|response| response.status == 200)
        };
        let served = requests.iter().filter(is_served).count();
        expect_that!(served, eq(early), "deadline {deadline:?}");
        clean_up(deployment);
    }
    Ok(())
}

// The daemon that has taken them from their callers is not stopping.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bookings_handed_over_to_a_stopping_daemon_are_not_cut() -> eyre::Result<()> {
    let mut deployment = working(3, millis(9000), millis(10)).await?;
    let ip = deployment.daemons[0].peer_address.ip();
    for server in 0..8 {
        deployment.network.add_fault(Some(ip), &server_edge(server), Fault::Reset);
    }
    let address = deployment.daemons[0].caller_address;
    let load = Load::start(vec![address], "learn")?;
    sleep(SECOND).await;
    load.finish().await;
    let client = Arc::new(Client::new(HOST, "handed-over")?);
    let long_work = ServerFaults { service_time: WORK, ..ServerFaults::default() };
    deployment.servers.iter().for_each(|server| server.set_faults(long_work.clone()));
    let mut bookings = JoinSet::new();
    let mut stopping = deployment.daemons.remove(1);
    let stopping = tokio::spawn(async move {
        sleep(SECOND).await;
        stopping.stop().await
    });
    for index in 0..20_u16 {
        let client = Arc::clone(&client);
        bookings.spawn(async move {
            let (method, key) = (reqwest::Method::POST, index * 3276);
            client.send(address, method, "/b/a", Some(key), millis(9000)).await
        });
        sleep(millis(250)).await;
    }
    stopping.await??;
    let responses = bookings.join_all().await;
    let count = |status| responses.iter().filter(|response| response.status == status).count();
    let (served, refused) = (count(Some(200)), count(Some(503)));
    println!("{served} served, {refused} refused as not run, of {}", responses.len());
    for response in &responses {
        expect_that!(response.status, any![some(eq(200)), some(eq(503))], "{response:?}");
    }
    expect_that!(served, ge(responses.len() / 2));
    let responses: Responses = responses.into_iter().map(|response| (response, "/b/a")).collect();
    check_invariants(&deployment, &responses);
    clean_up(deployment);
    Ok(())
}

// A move takes as long as the work at the owner that drains.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_keys_that_move_are_not_cut_by_a_stop() -> eyre::Result<()> {
    for service_time in [WORK, millis(10)] {
        let mut deployment = working(2, millis(9000), service_time).await?;
        for server in &deployment.servers[..2] {
            deployment.register(server, "keyed", "draining");
        }
        let assigner = assigner_index(&deployment);
        check_stop(&mut deployment, assigner, millis(9000), 1).await?;
        clean_up(deployment);
    }
    Ok(())
}
