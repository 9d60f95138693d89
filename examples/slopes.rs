//! Measures the cost of the control plane at several sizes, for docs/CAPACITY.md.
//!
//! `cargo build --release && cargo run --release --example slopes` prints one line for each size:
//! for the assigner alone, for the sizes of messages, and for idle daemon processes.

use {
    eyre::OptionExt,
    oriolehoist::{
        ownership::{
            Assigner, Effect, Event, Follower, GrantTable, ServerIndex, Timing, initial_record,
        },
        placement::MoveBudget,
        protocol::{
            Assignment, Heartbeat, Incarnation, InstanceName, LoadReport, Order, ServerAddress,
            ServerName, ServiceName, Term, Version, Witness,
        },
        time::Millis,
    },
    oriolehoist_testkit::{
        cluster::{Cluster, ClusterOptions, DaemonMode},
        site,
    },
    std::{fs, path::PathBuf, time::Instant},
    tokio::time::{Duration, sleep},
};

/// How long each assigner runs, in seconds of simulated time.
const SIMULATED_SECONDS: u64 = 20;
/// How long idle daemons are measured.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Clock ticks per second of processor time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() -> eyre::Result<()> {
    println!("One assigner, by shards and servers (per second of simulated time):");
    for (shards, servers) in [(256, 15), (1024, 15), (4096, 15), (1024, 60), (1024, 240)] {
        measure_assigner(shards, servers);
    }
    println!("\nMessage sizes, by shards:");
    for shards in [256, 1024, 4096] {
        measure_messages(shards);
    }
    println!("\nIdle daemon processes, by shards and daemons:");
    let runtime = tokio::runtime::Runtime::new()?;
    for (shards, daemons) in [(256, 4), (256, 8), (256, 16), (1024, 8), (4096, 8)] {
        runtime.block_on(measure_idle_daemons(shards, daemons))?;
    }
    Ok(())
}

fn holder() -> Witness {
    Witness {
        instance: InstanceName::from("a"),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], 1).into(),
    }
}

fn service_name() -> ServiceName {
    ServiceName::from("tides")
}

fn assigner(shards: u32, servers: usize) -> Assigner {
    let address = |n: usize| ServerAddress {
        name: ServerName::from(format!("server-{n}").as_str()),
        address: ([127, 0, 0, 1], 2000 + u16::try_from(n).unwrap_or(0)).into(),
    };
    let record = initial_record(service_name(), holder(), &[], (0..servers).map(address).collect());
    let budget = MoveBudget { max_moves: 4, max_imbalance_percent: 125 };
    let empty = Assignment::empty(service_name(), shards);
    Assigner::new(Millis(1000), Timing::default(), budget, record, &empty)
}

/// Runs an assigner against grant tables, and measures the time that its steps take.
fn measure_assigner(shards: u32, servers: usize) {
    let mut assigner = assigner(shards, servers);
    let mut grant_tables: Vec<GrantTable> =
        (0..servers).map(|n| GrantTable::new(service_name(), Incarnation(n as u64 + 1))).collect();
    let mut follower =
        Follower::new(Millis(1000), Incarnation(1), service_name(), shards, Timing::default());
    let mut spent = std::time::Duration::ZERO;
    let mut orders = 0_u64;
    let mut bytes = 0_u64;
    for now in (1000..1000 + SIMULATED_SECONDS * 1000).step_by(20) {
        let now = Millis(now);
        let heartbeat = heartbeat(&assigner, follower.assignment().version, false);
        let heartbeat_response = follower.on_heartbeat(now, &heartbeat);
        let start = Instant::now();
        let from = InstanceName::from("a");
        let mut effects = assigner
            .step(now, Event::HeartbeatResponse { from, sent: now, response: heartbeat_response });
        effects.extend(assigner.step(now, Event::Tick));
        spent += start.elapsed();
        while let Some(effect) = effects.pop() {
            let Effect::SendOrder { server, order } = effect else { continue };
            orders += 1;
            bytes += encoded_size(&order);
            let event = apply_order(&mut grant_tables[server.0], now, server, &order);
            let start = Instant::now();
            effects.extend(assigner.step(now, event));
            spent += start.elapsed();
        }
    }
    println!(
        "  {shards:>5} shards, {servers:>3} servers: {:>7.3} % of a core, {:>6} orders, {:>8} bytes to servers",
        spent.as_secs_f64() * 100.0 / SIMULATED_SECONDS as f64,
        orders / SIMULATED_SECONDS,
        bytes / SIMULATED_SECONDS,
    );
}

fn apply_order(table: &mut GrantTable, now: Millis, server: ServerIndex, order: &Order) -> Event {
    let order_response = table.handle_order(now, order, LoadReport::default());
    let probed = order.body == oriolehoist::protocol::OrderBody::Probe;
    Event::OrderResponse { server, sent: now, is_probe: probed, response: order_response }
}

fn heartbeat(assigner: &Assigner, follower_version: Version, knows_record: bool) -> Heartbeat {
    Heartbeat {
        service: service_name(),
        term: assigner.record().term,
        record: (!knows_record).then(|| assigner.record().clone()),
        delta: assigner.delta_since(follower_version),
        settings: Version(1),
        asks_reach: false,
    }
}

fn encoded_size(message: &impl serde::Serialize) -> u64 {
    rmp_serde::to_vec_named(message).map_or(0, |bytes| bytes.len() as u64)
}

/// Prints the sizes of heartbeats and of the stored assignment.
fn measure_messages(shards: u32) {
    let assigner = assigner(shards, 15);
    let full = encoded_size(&heartbeat(&assigner, Version(0), false));
    let unchanged = encoded_size(&heartbeat(&assigner, assigner.version(), true));
    let stored = serde_json::to_string(&assigner.assignment()).map_or(0, |text| text.len());
    println!(
        "  {shards:>5} shards: heartbeat {unchanged} bytes, with the full assignment {full}, \
         stored assignment {stored} (term {})",
        Term(1)
    );
}

/// Measures the processor time, memory and traffic of idle daemon processes.
async fn measure_idle_daemons(shards: u32, daemons: usize) -> eyre::Result<()> {
    let mut site = site::villacres();
    for service in site.services.iter_mut().filter(|service| service.keyed) {
        service.extra_settings = format!("\"shards\": {shards},");
    }
    let program = std::env::current_exe()?
        .parent()
        .and_then(|directory| directory.parent())
        .map(|directory| directory.join("oriolehoist"))
        .filter(|program: &PathBuf| program.exists())
        .ok_or_eyre("build the daemon first: cargo build --release")?;
    let options = ClusterOptions::new(site, daemons, DaemonMode::Process(program));
    let cluster = Cluster::start(options).await?;
    let assigner = cluster.assigner("mareas-live").await?;
    let requests_before = cluster.store.request_count();
    let bytes_before = cluster.network.bytes_forwarded();
    let cpu_before = cpu_seconds(&cluster)?;
    sleep(IDLE_TIME).await;
    let cpu_after = cpu_seconds(&cluster)?;
    let kilobytes = (cluster.network.bytes_forwarded() - bytes_before) as f64
        / IDLE_TIME.as_secs_f64()
        / 1024.0;
    let cpu_percent = |n: usize| (cpu_after[n] - cpu_before[n]) * 100.0 / IDLE_TIME.as_secs_f64();
    let others = (0..daemons).filter(|n| *n != assigner).map(cpu_percent).sum::<f64>();
    let max_memory =
        cluster.daemons.iter().filter_map(|d| resident_memory(d.pid()?)).max().unwrap_or(0);
    println!(
        "  {shards:>5} shards, {daemons:>2} daemons: assigner {:.2} % of a core, others {:.2} %, \
         at most {} MB, {:.1} store calls per second, {kilobytes:.0} KB/s on all connections",
        cpu_percent(assigner),
        others / (daemons - 1) as f64,
        max_memory / 1024,
        (cluster.store.request_count() - requests_before) as f64 / IDLE_TIME.as_secs_f64(),
    );
    cluster.clean_up();
    Ok(())
}

fn cpu_seconds(cluster: &Cluster) -> eyre::Result<Vec<f64>> {
    let mut seconds = Vec::new();
    for daemon in &cluster.daemons {
        let pid = daemon.pid().ok_or_eyre("the daemon has ended")?;
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The fields after the process name in parentheses; the 12th and 13th are user and system
        // time.
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        seconds.push(ticks / TICKS_PER_SECOND);
    }
    Ok(seconds)
}

/// Returns the resident memory of a process, in kilobytes.
fn resident_memory(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
