//! Tests of calls other than callers' requests whose responses have no end, and of many such responses at once.

use {
    crate::load::*,
    futures::future::join_all,
    googletest::prelude::*,
    oriolehoist_testkit::{fault::Fault, users_platform::*},
    reqwest::Method,
    std::{
        net::{IpAddr, SocketAddr},
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// The memory that a process may use on the smallest machines.
const MEMORY_LIMIT: u64 = 120 << 20;
/// The index of the first faulty server.
const FIRST: u8 = 50;

fn check_memory(daemon: &Daemon, what: &str) {
    let peak = daemon.peak_memory();
    println!("{what}: peak {} MB", peak.unwrap_or_default() >> 20);
    expect_that!(peak, some(lt(MEMORY_LIMIT)), "{what}");
}

/// A response to any call, from the server with this index.
fn sound_reply(index: u8, call: &ScriptedCall, body: &str) -> ScriptedReply {
    let (server, token) = (format!("i-{index}"), format!("{:016x}", fastrand::u64(..)));
    let mut headers = vec![
        ("x-instance-id", server.as_str()),
        ("x-response-signature", "sig"),
        ("x-server-load", "1,0,6,100"),
    ];
    headers.extend(call.id.as_deref().map(|id| ("x-request-id", id)));
    if call.path == "/v1/release" {
        headers.push(("x-handover", &token));
    }
    ScriptedReply { bytes: raw_response(200, &headers, body), ..ScriptedReply::default() }
}

/// Starts servers whose responses to calls with this path have no end. Returns the number of such calls
/// with the servers.
async fn add_faulty_servers(
    deployment: &Deployment,
    count: u8,
    service: &str,
    path: &'static str,
    fault: ResponseFault,
) -> eyre::Result<(Arc<AtomicUsize>, Vec<ScriptedServer>)> {
    let (calls, mut servers) = (Arc::new(AtomicUsize::new(0)), Vec::new());
    for index in FIRST..FIRST + count {
        let counter = Arc::clone(&calls);
        let script = move |call: &ScriptedCall| {
            if !call.path.starts_with(path) {
                return sound_reply(index, call, "");
            }
            counter.fetch_add(1, Ordering::Relaxed);
            ScriptedReply::endless(fault, call.id.as_deref().unwrap_or_default())
        };
        servers.push(deployment.add_scripted_server(index, service, script).await?);
    }
    Ok((calls, servers))
}

/// Sends requests to some faulty servers, again and again, and others meanwhile to a server in order whose
/// responses have this length.
async fn check_beside_others(
    fault: ResponseFault,
    servers: u8,
    requests: usize,
    length: usize,
) -> eyre::Result<()> {
    let deployment = deployment(1, 1, 0).await?;
    let (calls, faulty) = add_faulty_servers(&deployment, servers, "plain", "/p/", fault).await?;
    let body = "x".repeat(length);
    let script = move |call: &ScriptedCall| {
        let body = if call.path.starts_with("/k/") { body.as_str() } else { "" };
        sound_reply(1, call, body)
    };
    let sound = deployment.add_scripted_server(1, "keyed", script).await?;
    deployment.register(&deployment.servers[0], "keyed", "draining");
    let daemon = &deployment.daemons[0];
    let client = Client::new(HOST, "many")?;
    for _ in 0..50 {
        let address = daemon.caller_address;
        let response = client.send(address, Method::GET, "/k/a", Some(7), DEADLINE).await;
        if response.body.len() == length {
            break;
        }
        sleep(SECOND / 10).await;
    }
    let started_at = Instant::now();
    let send = || async {
        while started_at.elapsed() < DEADLINE {
            client.send(daemon.caller_address, Method::GET, "/p/a", None, DEADLINE).await;
        }
    };
    let others = async {
        let mut served = Vec::new();
        while started_at.elapsed() < DEADLINE {
            let address = daemon.caller_address;
            let response = client.send(address, Method::GET, "/k/a", Some(7), DEADLINE).await;
            served.push(response.status == Some(200) && response.body.len() == length);
        }
        served
    };
    let (_, served) = tokio::join!(join_all((0..requests).map(|_| send())), others);
    let (total, lost) = (served.len(), served.iter().filter(|served| !**served).count());
    let what = format!("{fault:?} of {servers} servers, {requests} requests at once");
    println!("{what}: {calls:?} calls, {lost} of {total} others of {length} bytes lost");
    check_memory(daemon, &what);
    expect_that!(calls.load(Ordering::Relaxed), ge(usize::from(servers)), "{what}");
    expect_that!(lost, eq(0), "{what}");
    drop((faulty, sound));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_without_end_of_30_servers_leave_memory_for_other_responses() -> eyre::Result<()> {
    for fault in [ResponseFault::EndlessChunks, ResponseFault::EndlessBody] {
        check_beside_others(fault, 30, 300, 15_000).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_few_bodies_without_end_leave_memory_for_large_responses() -> eyre::Result<()> {
    check_beside_others(ResponseFault::EndlessBody, 8, 16, 400_000).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_end_of_30_servers_leave_memory_for_other_responses() -> eyre::Result<()> {
    check_beside_others(ResponseFault::EndlessHead, 30, 300, 15_000).await
}

/// Plays a fault of the responses to calls with this path, and sends requests to a server in order.
async fn check_calls(service: &str, path: &'static str) -> eyre::Result<()> {
    for fault in [ResponseFault::EndlessHead, ResponseFault::EndlessBody] {
        let mut deployment = deployment(1, 1, 1).await?;
        let (calls, servers) = add_faulty_servers(&deployment, 3, service, path, fault).await?;
        if service == "keyed" {
            deployment.register(&deployment.servers[0], "keyed", "draining");
        }
        let load = Load::start(vec![deployment.daemons[0].caller_address], "beside")?;
        sleep(SECOND * 3).await;
        let responses = load.finish().await;
        let plain: Vec<_> = responses.into_iter().filter(|entry| entry.1 == "/p/a").collect();
        let (count, served) = (calls.load(Ordering::Relaxed), served_share(&plain));
        println!("{path} {fault:?}: {count} calls, {served:.3} of the others served");
        check_memory(&deployment.daemons[0], &format!("{path} {fault:?}"));
        expect_that!(count, gt(0), "{path} {fault:?}");
        expect_that!(served, ge(0.95), "{path} {fault:?}");
        expect_that!(deployment.daemons[0].is_running(), eq(true));
        drop(servers);
        deployment.servers.clear();
        clean_up(deployment);
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn responses_to_grants_without_end_do_not_use_up_the_memory() -> eyre::Result<()> {
    check_calls("keyed", "/v1/grant").await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn responses_to_keyed_requests_without_end_do_not_use_up_the_memory() -> eyre::Result<()> {
    check_calls("keyed", "/k/").await
}

/// A member of the deployment that sends bytes without end to all calls at these ports, and counts them.
async fn add_faulty_member(
    deployment: &Deployment,
    fault: ResponseFault,
    ports: &[u16],
) -> eyre::Result<(Arc<AtomicUsize>, Vec<ScriptedServer>)> {
    let mut octets = match deployment.daemons[0].peer_address.ip() {
        IpAddr::V4(ip) => ip.octets(),
        IpAddr::V6(_) => eyre::bail!("the deployment has IPv4 addresses"),
    };
    octets[3] = 200;
    let (calls, mut listeners) = (Arc::new(AtomicUsize::new(0)), Vec::new());
    for port in ports {
        let counter = Arc::clone(&calls);
        let script = move |call: &ScriptedCall| {
            counter.fetch_add(1, Ordering::Relaxed);
            ScriptedReply::endless(fault, call.id.as_deref().unwrap_or_default())
        };
        listeners.push(ScriptedServer::start((octets, *port).into(), script).await?);
    }
    deployment.register_absent_daemon_at(0, SocketAddr::from((octets, 8166)));
    Ok((calls, listeners))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn responses_of_another_daemon_without_end_do_not_use_up_the_memory() -> eyre::Result<()> {
    for fault in [ResponseFault::EndlessChunks, ResponseFault::EndlessHead] {
        let deployment = deployment(1, 1, 1).await?;
        let (calls, listeners) = add_faulty_member(&deployment, fault, &[8166, 7722]).await?;
        let load = Load::start(vec![deployment.daemons[0].caller_address], "beside")?;
        sleep(SECOND * 4).await;
        let served = served_share(&load.finish().await);
        println!("daemon {fault:?}: {calls:?} calls, {served:.3} served");
        check_memory(&deployment.daemons[0], &format!("daemon {fault:?}"));
        expect_that!(calls.load(Ordering::Relaxed), gt(0));
        expect_that!(served, ge(0.95));
        drop(listeners);
        clean_up(deployment);
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn responses_of_the_store_without_end_do_not_use_up_the_memory() -> eyre::Result<()> {
    let deployment = deployment(1, 1, 1).await?;
    deployment.store.set_faults(StoreFaults { endless: true, ..StoreFaults::default() });
    let load = Load::start(vec![deployment.daemons[0].caller_address], "beside")?;
    sleep(Duration::from_millis(2500)).await;
    let served = served_share(&load.finish().await);
    println!("store: {served:.3} served");
    check_memory(&deployment.daemons[0], "store");
    expect_that!(served, ge(0.95));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn responses_to_releases_without_end_do_not_use_up_the_memory() -> eyre::Result<()> {
    let deployment = deployment(1, 1, 1).await?;
    let fault = ResponseFault::EndlessBody;
    let (calls, servers) =
        add_faulty_servers(&deployment, 3, "keyed", "/v1/release", fault).await?;
    deployment.register(&deployment.servers[0], "keyed", "draining");
    sleep(SECOND * 2).await;
    deployment.register(&deployment.servers[0], "keyed", "ready");
    for index in FIRST..FIRST + 3 {
        deployment.register_address_in_state(index, "keyed", "draining");
    }
    sleep(SECOND * 3).await;
    println!("releases: {calls:?} calls");
    check_memory(&deployment.daemons[0], "releases");
    expect_that!(calls.load(Ordering::Relaxed), gt(0));
    drop(servers);
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn health_checks_of_lost_paths_without_end_do_not_use_up_the_memory() -> eyre::Result<()> {
    let program = Path::new(env!("CARGO_BIN_EXE_oriolehoist"));
    let deployment = Deployment::start_behind_proxies(program, 1, 1, 1, DRAIN_PERIOD).await?;
    let (calls, mut servers) = (Arc::new(AtomicUsize::new(0)), Vec::new());
    for index in FIRST..FIRST + 5 {
        let counter = Arc::clone(&calls);
        let script = move |call: &ScriptedCall| {
            if call.path != "/health" {
                return sound_reply(index, call, "");
            }
            counter.fetch_add(1, Ordering::Relaxed);
            ScriptedReply::endless(ResponseFault::EndlessBody, "")
        };
        servers.push(deployment.add_scripted_server_behind_proxy(index, "plain", script).await?);
    }
    let load = Load::start(vec![deployment.daemons[0].caller_address], "beside")?;
    sleep(SECOND).await;
    for (_, edge) in &servers {
        deployment.network.add_fault(None, edge, Fault::Reset);
    }
    sleep(SECOND * 2).await;
    deployment.network.clear_all_faults();
    sleep(SECOND * 3).await;
    load.finish().await;
    println!("health checks: {calls:?} calls");
    check_memory(&deployment.daemons[0], "health checks");
    expect_that!(calls.load(Ordering::Relaxed), gt(0));
    drop(servers);
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn load_probes_without_end_do_not_use_up_the_memory() -> eyre::Result<()> {
    // Enough daemons for relays, without which servers are not probed.
    let deployment = deployment(24, 1, 0).await?;
    let fault = ResponseFault::EndlessBody;
    let (calls, servers) = add_faulty_servers(&deployment, 5, "plain", "/health", fault).await?;
    sleep(SECOND * 2).await;
    let (daemon, client) = (&deployment.daemons[0], Client::new(HOST, "probed")?);
    for _ in 0..20 {
        let send = || client.send(daemon.caller_address, Method::GET, "/p/a", None, DEADLINE);
        let responses = join_all((0..3).map(|_| send())).await;
        expect_that!(responses.iter().filter(|one| one.status != Some(200)).count(), eq(0));
        sleep(SECOND / 10).await;
    }
    println!("load probes: {calls:?} calls");
    check_memory(daemon, "load probes");
    expect_that!(calls.load(Ordering::Relaxed), gt(0));
    drop(servers);
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn responses_to_requests_handed_over_without_end_do_not_use_up_the_memory() -> eyre::Result<()>
{
    let program = Path::new(env!("CARGO_BIN_EXE_oriolehoist"));
    let deployment = Deployment::start_behind_proxies(program, 3, 2, 2, DRAIN_PERIOD).await?;
    let cut = &deployment.daemons[(assigner_index(&deployment) + 1) % 3];
    for server in 0..4 {
        let edge = server_edge(server);
        deployment.network.add_fault(Some(cut.peer_address.ip()), &edge, Fault::Reset);
    }
    let load = Load::start(vec![cut.caller_address], "learn")?;
    sleep(SECOND).await;
    load.finish().await;
    let fault = ResponseFault::EndlessChunks;
    let (calls, listeners) = add_faulty_member(&deployment, fault, &[7722]).await?;
    sleep(SECOND * 2).await;
    for server in &deployment.servers {
        let service_time = SECOND / 4;
        server.set_faults(ServerFaults { service_time, ..ServerFaults::default() });
    }
    let client = Client::new(HOST, "handed")?;
    let send = || client.send(cut.caller_address, Method::GET, "/p/a", None, DEADLINE);
    let responses = join_all((0..60).map(|_| send())).await;
    let served = responses.iter().filter(|response| response.is_served()).count();
    println!("handed over: {calls:?} calls, {served} of 60 served");
    check_memory(cut, "handed over");
    expect_that!(calls.load(Ordering::Relaxed), gt(0));
    drop(listeners);
    clean_up(deployment);
    Ok(())
}
