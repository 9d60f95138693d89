//! Tests of the requests that a daemon hands over to another one, because it does not reach the
//! server.

use {
    crate::load::*,
    googletest::prelude::*,
    oriolehoist_testkit::{fault::Fault, users_platform::*},
    reqwest::Method,
    std::{
        net::{IpAddr, SocketAddr},
        path::Path,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

const SERVERS: u8 = 2;

/// Returns a deployment of three daemons and the index of one that is cut off from all servers and
/// knows it.
async fn with_one_daemon_cut_off() -> eyre::Result<(Deployment, usize)> {
    let program = Path::new(env!("CARGO_BIN_EXE_oriolehoist"));
    let deployment =
        Deployment::start_behind_proxies(program, 3, SERVERS, SERVERS, DRAIN_PERIOD).await?;
    sleep(SECOND).await;
    let cut = (assigner_index(&deployment) + 1) % 3;
    cut_off(&deployment, cut);
    learn(&deployment, cut).await?;
    Ok((deployment, cut))
}

fn cut_off(deployment: &Deployment, daemon: usize) {
    let ip = deployment.daemons[daemon].peer_address.ip();
    for server in 0..2 * SERVERS {
        deployment.network.add_fault(Some(ip), &server_edge(server), Fault::Reset);
    }
}

/// Sends requests through a daemon until it knows that it is cut off.
async fn learn(deployment: &Deployment, daemon: usize) -> eyre::Result<()> {
    let load = Load::start(vec![deployment.daemons[daemon].caller_address], "learn")?;
    sleep(SECOND).await;
    load.finish().await;
    Ok(())
}

fn handover_address(daemon: &Daemon) -> SocketAddr {
    SocketAddr::new(daemon.peer_address.ip(), 7722)
}

/// Posts a body to a daemon's address for requests of other daemons, from the address of `from`.
async fn post(from: &Daemon, to: &Daemon, body: Vec<u8>) -> eyre::Result<u16> {
    let client = reqwest::Client::builder().no_proxy().local_address(from.peer_address.ip());
    let url = format!("http://{}/request", handover_address(to));
    Ok(client.build()?.post(url).body(body).send().await?.status().as_u16())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_makes_no_second_hop() -> eyre::Result<()> {
    let (deployment, first) = with_one_daemon_cut_off().await?;
    let second = (first + 1) % 3;
    cut_off(&deployment, second);
    learn(&deployment, second).await?;
    let handed_over = |metrics: String| {
        let lines = metrics.lines().filter(|line| line.starts_with("oriolehoist_handovers_total{"));
        lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<u64>().ok()).sum::<u64>()
    };
    let before = handed_over(deployment.daemons[second].metrics().await?);
    let load = Load::start(vec![deployment.daemons[first].caller_address], "hop")?;
    sleep(SECOND * 3).await;
    finish_and_check(&deployment, load, 0.98).await;
    expect_that!(handed_over(deployment.daemons[second].metrics().await?), eq(before));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn only_members_can_hand_over_requests() -> eyre::Result<()> {
    let (deployment, cut) = with_one_daemon_cut_off().await?;
    let to = &deployment.daemons[(cut + 1) % 3];
    let client = reqwest::Client::builder().no_proxy().build()?;
    for _ in 0..3 {
        let url = format!("http://{}/request", handover_address(to));
        let response = client.post(url).body("x").send().await?;
        expect_that!(response.status().as_u16(), eq(403));
    }
    // Another thread of the daemon writes the log.
    let lines = || to.log().lines().filter(|line| line.contains("error=\"no member\"")).count();
    for _ in 0..100 {
        if lines() > 0 {
            break;
        }
        sleep(Duration::from_millis(10)).await;
    }
    sleep(Duration::from_millis(200)).await;
    expect_that!(lines(), eq(1));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_and_oversized_messages_are_rejected() -> eyre::Result<()> {
    let (deployment, cut) = with_one_daemon_cut_off().await?;
    let (from, to) = (&deployment.daemons[cut], &deployment.daemons[(cut + 1) % 3]);
    expect_that!(post(from, to, b"\xc1not a message".to_vec()).await?, eq(400));
    // An empty map, as a version with other fields might send.
    expect_that!(post(from, to, vec![0x80]).await?, eq(400));
    // The limit is the largest body of a caller, 64 KB, and 128 KB for the rest of the message. With
    // much more, the connection may be reset before the response has been read.
    expect_that!(post(from, to, vec![0; (192 << 10) + 1]).await?, eq(413));
    let load = Load::start(vec![from.caller_address], "after")?;
    sleep(SECOND).await;
    finish_and_check(&deployment, load, 0.98).await;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_handed_over_ends_with_its_caller() -> eyre::Result<()> {
    let (deployment, cut) = with_one_daemon_cut_off().await?;
    for server in &deployment.servers {
        let service_time = SECOND * 5;
        server.set_faults(ServerFaults { service_time, ..ServerFaults::default() });
    }
    let running = || deployment.servers.iter().map(Server::running).sum::<usize>();
    let mut stream = TcpStream::connect(deployment.daemons[cut].caller_address).await?;
    let text = format!(
        "GET /p/a HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: left\r\nx-deadline-ms: 4000\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await?;
    sleep(SECOND / 4).await;
    expect_that!(running(), eq(1));
    drop(stream);
    sleep(SECOND / 2).await;
    expect_that!(running(), eq(0));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_deadline_that_is_handed_over_is_what_is_left() -> eyre::Result<()> {
    let (deployment, cut) = with_one_daemon_cut_off().await?;
    let client = Client::new(HOST, "deadline")?;
    let daemon = deployment.daemons[cut].caller_address;
    for _ in 0..10 {
        let response =
            client.send(daemon, Method::GET, "/p/a", None, Duration::from_millis(700)).await;
        expect_that!(response.is_served(), eq(true));
    }
    let arrivals = deployment.servers.iter().flat_map(Server::arrivals);
    let arrivals = arrivals.filter(|arrival| arrival.request_id.starts_with("deadline-"));
    let deadlines: Vec<u64> = arrivals.filter_map(|arrival| arrival.deadline_ms).collect();
    expect_that!(deadlines.len(), eq(10));
    expect_that!(deadlines, each(all!(ge(&500), lt(&700))));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_heads_and_pipelined_requests_pass_unchanged() -> eyre::Result<()> {
    let (deployment, cut) = with_one_daemon_cut_off().await?;
    let daemon = deployment.daemons[cut].caller_address;
    let client = reqwest::Client::builder().no_proxy().build()?;
    let request = |method: Method, path: &str, id: &str| {
        client
            .request(method, format!("http://{daemon}{path}"))
            .header("host", HOST)
            .header("x-request-id", id)
            .header("x-shard-key", "7")
    };
    let body = vec![b'x'; 60_000];
    let response = request(Method::POST, "/b/large", "large").body(body).send().await?;
    expect_that!(response.status().as_u16(), eq(200));
    expect_that!(response.headers().contains_key("x-response-signature"), eq(true));
    expect_that!(response.text().await?, ends_with(" large /b/large 60000"));
    let response = request(Method::HEAD, "/p/head", "head").send().await?;
    expect_that!(response.status().as_u16(), eq(200));

    let mut stream = TcpStream::connect(daemon).await?;
    let head = |id: &str| {
        format!(
            "POST /p/{id} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: 1500\r\n"
        )
    };
    let chunked = "transfer-encoding: chunked\r\n\r\n5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n";
    for id in ["one", "two", "three"] {
        stream.write_all(format!("{}{chunked}", head(id)).as_bytes()).await?;
    }
    let mut text = String::new();
    let mut buf = [0; 4096];
    while !text.contains("/p/three 8") {
        let read = timeout(DEADLINE, stream.read(&mut buf)).await??;
        eyre::ensure!(read > 0, "the connection ended after {text}");
        text.push_str(&String::from_utf8_lossy(&buf[..read]));
    }
    let positions: Vec<_> = ["/p/one 8", "/p/two 8", "/p/three 8"].map(|id| text.find(id)).into();
    expect_that!(positions, each(some(anything())));
    expect_that!(positions.is_sorted(), eq(true));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn what_a_server_says_of_itself_binds_the_daemon_that_handed_the_request_over()
-> eyre::Result<()> {
    let (deployment, cut) = with_one_daemon_cut_off().await?;
    for server in deployment.servers.iter().filter(|server| !server.is_sharded()) {
        server.set_faults(ServerFaults { leaving: vec!["1".into()], ..ServerFaults::default() });
    }
    let client = Client::new(HOST, "leaving")?;
    let daemon = &deployment.daemons[cut];
    client.send(daemon.caller_address, Method::GET, "/p/a", None, SECOND).await;
    expect_that!(daemon.log(), contains_substring("ServerLeaving: server=i-"));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_cut_daemon_are_served_although_another_daemon_is_killed() -> eyre::Result<()>
{
    let (mut deployment, cut) = with_one_daemon_cut_off().await?;
    let load = Load::start(vec![deployment.daemons[cut].caller_address], "killed")?;
    sleep(SECOND).await;
    let other = (0..3).find(|index| *index != cut && !deployment.daemons[*index].is_assigner());
    deployment.daemons[other.expect("there is a third daemon")].kill();
    sleep(SECOND * 4).await;
    finish_and_check(&deployment, load, 0.98).await;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_cut_daemon_are_served_although_another_daemon_is_frozen() -> eyre::Result<()>
{
    let (deployment, cut) = with_one_daemon_cut_off().await?;
    let load = Load::start(vec![deployment.daemons[cut].caller_address], "frozen")?;
    sleep(SECOND).await;
    let other = (0..3).find(|index| *index != cut && !deployment.daemons[*index].is_assigner());
    let frozen = &deployment.daemons[other.expect("there is a third daemon")];
    frozen.set_frozen(true);
    sleep(SECOND * 3).await;
    frozen.set_frozen(false);
    sleep(SECOND).await;
    finish_and_check(&deployment, load, 0.9).await;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_cut_daemon_are_served_while_another_daemon_stops() -> eyre::Result<()> {
    let (mut deployment, cut) = with_one_daemon_cut_off().await?;
    let load = Load::start(vec![deployment.daemons[cut].caller_address], "stopped")?;
    sleep(SECOND).await;
    let other = (0..3).find(|index| *index != cut && !deployment.daemons[*index].is_assigner());
    let stopping = other.expect("there is a third daemon");
    let status = deployment.daemons[stopping].stop().await?;
    expect_that!(status.is_some_and(|status| status.success()), eq(true));
    sleep(SECOND).await;
    finish_and_check(&deployment, load, 0.99).await;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_reaches_one_server_of_three_serves_others_there() -> eyre::Result<()> {
    let program = Path::new(env!("CARGO_BIN_EXE_oriolehoist"));
    let deployment = Deployment::start_behind_proxies(program, 2, 1, 3, DRAIN_PERIOD).await?;
    sleep(SECOND).await;
    for (daemon, servers) in [(0, 0..4), (1, 2..4)] {
        let ip = deployment.daemons[daemon].peer_address.ip();
        for server in servers {
            deployment.network.add_fault(Some(ip), &server_edge(server), Fault::Reset);
        }
    }
    learn(&deployment, 1).await?;
    learn(&deployment, 0).await?;
    let client = Client::new(HOST, "few")?;
    let mut served = 0;
    for _ in 0..100 {
        let daemon = deployment.daemons[0].caller_address;
        let response = client.send(daemon, Method::GET, "/p/a", None, SECOND).await;
        served += u32::from(response.is_served());
    }
    expect_that!(served, ge(98));
    clean_up(deployment);
    Ok(())
}

/// Starts a member that takes requests but responds to all of them with these bytes. Returns the ids of
/// those that it has taken.
async fn failing_member(
    deployment: &Deployment,
    response: Vec<u8>,
) -> eyre::Result<(ScriptedServer, Arc<Mutex<Vec<String>>>)> {
    let taken: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut octets = match deployment.daemons[0].peer_address.ip() {
        IpAddr::V4(ip) => ip.octets(),
        IpAddr::V6(_) => eyre::bail!("the deployment has IPv4 addresses"),
    };
    octets[3] = 200;
    let ip = IpAddr::from(octets);
    let recorded = Arc::clone(&taken);
    let respond = move |call: &ScriptedCall| {
        let text = String::from_utf8_lossy(&call.body);
        let ids = text.split("booking-").skip(1);
        let id = ids.map(|rest| rest.chars().take_while(char::is_ascii_digit).collect::<String>());
        recorded.lock().expect("the lock is not poisoned").extend(id.take(1));
        ScriptedReply { bytes: response.clone(), ..ScriptedReply::default() }
    };
    let member = ScriptedServer::start(SocketAddr::new(ip, 7722), respond).await?;
    deployment.register_absent_daemon_at(0, SocketAddr::new(ip, 8166));
    Ok((member, taken))
}

/// Sends bookings to a cut daemon beside a member that responds with these bytes, and checks that those
/// which the member has taken end as unknown, and the others don't.
async fn check_failing_member(response: Vec<u8>) -> eyre::Result<()> {
    let (deployment, cut) = with_one_daemon_cut_off().await?;
    let (member, taken) = failing_member(&deployment, response).await?;
    sleep(SECOND * 2).await;
    // With requests in flight at the other daemons, this one gets some too.
    for server in &deployment.servers {
        let service_time = SECOND / 4;
        server.set_faults(ServerFaults { service_time, ..ServerFaults::default() });
    }
    let client = Arc::new(Client::new(HOST, "booking")?);
    let daemon = deployment.daemons[cut].caller_address;
    let mut bookings = JoinSet::new();
    for _ in 0..20 {
        let client = Arc::clone(&client);
        bookings.spawn(async move {
            client.send(daemon, Method::POST, "/b/a", Some(7), SECOND * 2).await
        });
    }
    let responses = bookings.join_all().await;
    let unknown = responses.iter().filter(|response| matches!(response.status, Some(502 | 504)));
    let mut unknown: Vec<&str> =
        unknown.filter_map(|response| response.id.strip_prefix("booking-")).collect();
    unknown.sort_unstable();
    let mut taken = taken.lock().expect("the lock is not poisoned").clone();
    taken.sort_unstable();
    expect_that!(taken, not(is_empty()));
    expect_that!(unknown, eq(&taken));
    // The deadline is 1.5 s, and there is nothing to wait for.
    let unknown = responses.iter().filter(|response| matches!(response.status, Some(502 | 504)));
    expect_that!(unknown.map(|response| response.latency).max(), some(lt(SECOND)));
    drop(member);
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_that_failed_at_another_daemon_is_not_called_not_run() -> eyre::Result<()> {
    check_failing_member(raw_response(500, &[], "")).await
}

/// Guards against a booking that counts as not taken because of what follows an invalid status, and
/// against callers that wait for a response that is not to come.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_booking_whose_handover_gets_an_invalid_status_is_not_called_not_run() -> eyre::Result<()>
{
    let not_taken = String::from_utf8(raw_response(404, &[], ""))?;
    for (status, body) in
        [("000 ", &*not_taken), ("099 Ninety-nine", ""), ("101 Other", &not_taken)]
    {
        let framing = match body {
            "" => String::new(),
            body => format!("content-length: {}\r\n", body.len()),
        };
        let response = format!("HTTP/1.1 {status}\r\n{framing}\r\n{body}");
        check_failing_member(response.into_bytes()).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_says_in_a_health_check_that_it_leaves_is_heard() -> eyre::Result<()> {
    let (deployment, cut) = with_one_daemon_cut_off().await?;
    for server in deployment.servers.iter().filter(|server| !server.is_sharded()) {
        server.set_faults(ServerFaults { leaving: vec!["1".into()], ..ServerFaults::default() });
    }
    deployment.network.clear_all_faults();
    sleep(SECOND * 3).await;
    expect_that!(deployment.daemons[cut].log(), contains_substring("ServerLeaving: server=i-"));
    clean_up(deployment);
    Ok(())
}
