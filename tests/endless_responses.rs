//! Tests of the project's own interface with servers that send bytes without end until their connection is
//! closed.

use {
    futures::future::join_all,
    googletest::prelude::*,
    oriolehoist_testkit::{
        cluster::{Cluster, ClusterOptions, DaemonMode},
        site,
        users_platform::{ScriptedCall, ScriptedReply, ScriptedServer, raw_response},
    },
    std::{
        fs,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// The memory that a process may use. The HTTP library buffers up to 400 KB for each response.
const MEMORY_LIMIT: u64 = 260 << 20;
const CONCURRENT_REQUESTS: usize = 300;
/// How long requests are sent.
const DURATION: Duration = Duration::from_millis(1500);

fn peak_memory(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    peak.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok().map(|kib| kib << 10)
}

/// Returns whether a call is an order or a health check.
fn is_control(call: &ScriptedCall) -> bool {
    call.path.starts_with("/oriolehoist")
}

/// Responds to control calls or to requests without end.
fn reply(control: bool, head: &str, repeated: &str, call: &ScriptedCall) -> ScriptedReply {
    let exchange = call.header("oriolehoist-exchange").unwrap_or_default();
    if is_control(call) != control {
        let named = [("oriolehoist-incarnation", "7"), ("oriolehoist-exchange", exchange)];
        return ScriptedReply { bytes: raw_response(200, &named, "ok"), ..Default::default() };
    }
    let start = format!(
        "HTTP/1.1 200 OK\r\noriolehoist-incarnation: 7\r\noriolehoist-exchange: {exchange}\r\n{head}"
    );
    let repeated = repeated.repeat(64).into_bytes();
    ScriptedReply { bytes: start.into_bytes(), repeated, ..Default::default() }
}

/// Sends requests beside a service whose server responds to control calls or to requests without end.
async fn check(
    service: usize,
    control: bool,
    faults: [(&'static str, String); 2],
) -> eyre::Result<()> {
    for (head, repeated) in faults {
        let mut site = site::villacres();
        for service in &mut site.services {
            (service.server_count, service.slots, service.connections) = (1, 300, 310);
        }
        let program = env!("CARGO_BIN_EXE_oriolehoist").into();
        let cluster =
            Cluster::start(ClusterOptions::new(site, 1, DaemonMode::Process(program))).await?;
        let calls = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&calls);
        let what = format!("control={control}: {:?} {:?}", head, &repeated[..8]);
        let script = move |call: &ScriptedCall| {
            counter.fetch_add(usize::from(is_control(call) == control), Ordering::Relaxed);
            reply(control, head, &repeated, call)
        };
        let server = ScriptedServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), script).await?;
        let mut targets = cluster.targets();
        targets[service].address = server.address;
        cluster.apply(&cluster.site.settings(&targets)).await?;
        sleep(Duration::from_secs(2)).await;
        let client = reqwest::Client::builder().no_proxy().build()?;
        let url = format!("http://{}/almanaque/today", cluster.daemons[0].caller_address);
        let (started_at, client, url) = (Instant::now(), &client, &url);
        let send = |index: usize| async move {
            let mut served = 0;
            while started_at.elapsed() < DURATION {
                let request = client.get(url).header("oriolehoist-deadline-ms", "1000");
                let id = format!("endless-{index}-{}", started_at.elapsed().as_micros());
                let response = request.header("oriolehoist-request-id", id).send().await;
                served += usize::from(response.is_ok_and(|response| response.status() == 200));
            }
            served
        };
        let served: usize = join_all((0..CONCURRENT_REQUESTS).map(send)).await.into_iter().sum();
        let peak = cluster.daemons[0].pid().and_then(peak_memory);
        println!("{what}: {calls:?} calls, {served} served, peak {} MB", peak.unwrap_or(0) >> 20);
        expect_that!(peak, some(lt(MEMORY_LIMIT)), "{what}");
        expect_that!(calls.load(Ordering::Relaxed), gt(0), "{what}");
        cluster.clean_up();
    }
    Ok(())
}

fn faults() -> [(&'static str, String); 2] {
    let kilobyte = "x".repeat(1024);
    [
        ("transfer-encoding: chunked\r\n\r\n", format!("400\r\n{kilobyte}\r\n")),
        ("", format!("x-more: {kilobyte}\r\n")),
    ]
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn responses_to_requests_without_end_do_not_use_up_the_memory() -> eyre::Result<()> {
    check(1, false, faults()).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn responses_to_orders_and_health_checks_without_end_do_not_use_up_the_memory()
-> eyre::Result<()> {
    check(0, true, faults()).await
}
