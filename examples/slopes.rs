//! Measures what control costs at several sizes, for docs/CAPACITY.md.
//!
//! `cargo build --release && cargo run --release --example slopes` prints one line for each size:
//! the decisions by themselves, the messages' sizes, and whole daemon processes at rest.

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

/// How many simulated seconds the decisions are driven for.
const SECONDS: u64 = 20;
/// How long whole daemons are watched at rest.
const REST: Duration = Duration::from_secs(5);
/// How many clock ticks the system counts in a second of processor time.
const TICKS_PER_SECOND: f64 = 100.0;

fn main() -> eyre::Result<()> {
    println!("Decisions of one assigner, by shards and servers (per second of its work):");
    for (shards, servers) in [(256, 15), (1024, 15), (4096, 15), (1024, 60), (1024, 240)] {
        decisions(shards, servers);
    }
    println!("\nMessages, by shards:");
    for shards in [256, 1024, 4096] {
        messages(shards);
    }
    println!("\nWhole daemons at rest, by shards and daemons:");
    let runtime = tokio::runtime::Runtime::new()?;
    for (shards, daemons) in [(256, 4), (256, 8), (256, 16), (1024, 8), (4096, 8)] {
        runtime.block_on(whole(shards, daemons))?;
    }
    Ok(())
}

fn me() -> Witness {
    Witness {
        instance: InstanceName::from("a"),
        incarnation: Incarnation(1),
        address: ([127, 0, 0, 1], 1).into(),
    }
}

fn service() -> ServiceName {
    ServiceName::from("tides")
}

fn assigner(shards: u32, servers: usize) -> Assigner {
    let address = |n: usize| ServerAddress {
        name: ServerName::from(format!("server-{n}").as_str()),
        address: ([127, 0, 0, 1], 2000 + u16::try_from(n).unwrap_or(0)).into(),
    };
    let record = initial_record(service(), me(), &[], (0..servers).map(address).collect());
    let budget = MoveBudget { max_moves: 4, max_imbalance_percent: 125 };
    let known = Assignment::empty(service(), shards);
    Assigner::new(Millis(1000), Timing::default(), budget, record, &known)
}

/// Drives an assigner against grant tables, and measures the time that its steps take.
fn decisions(shards: u32, servers: usize) {
    let mut assigner = assigner(shards, servers);
    let mut tables: Vec<GrantTable> =
        (0..servers).map(|n| GrantTable::new(Incarnation(n as u64 + 1))).collect();
    let mut follower =
        Follower::new(Millis(1000), Incarnation(1), service(), shards, Timing::default());
    let mut spent = std::time::Duration::ZERO;
    let mut orders = 0_u64;
    let mut bytes = 0_u64;
    for now in (1000..1000 + SECONDS * 1000).step_by(20) {
        let now = Millis(now);
        let beat = beat(&assigner, follower.assignment().version, false);
        let answer = follower.on_heartbeat(now, &beat);
        let start = Instant::now();
        let from = InstanceName::from("a");
        let mut effects =
            assigner.step(now, Event::HeartbeatResponse { from, sent: now, response: answer });
        effects.extend(assigner.step(now, Event::Tick));
        spent += start.elapsed();
        while let Some(effect) = effects.pop() {
            let Effect::SendOrder { server, order } = effect else { continue };
            orders += 1;
            bytes += size(&order);
            let event = answer_of(&mut tables[server.0], now, server, &order);
            let start = Instant::now();
            effects.extend(assigner.step(now, event));
            spent += start.elapsed();
        }
    }
    println!(
        "  {shards:>5} shards, {servers:>3} servers: {:>7.3} % of a core, {:>6} orders, {:>8} bytes to servers",
        spent.as_secs_f64() * 100.0 / SECONDS as f64,
        orders / SECONDS,
        bytes / SECONDS,
    );
}

fn answer_of(table: &mut GrantTable, now: Millis, server: ServerIndex, order: &Order) -> Event {
    let answer = table.handle_order(now, order, LoadReport::default());
    let probed = order.body == oriolehoist::protocol::OrderBody::Probe;
    Event::OrderResponse { server, sent: now, is_probe: probed, response: answer }
}

fn beat(assigner: &Assigner, held: Version, knows_record: bool) -> Heartbeat {
    Heartbeat {
        service: service(),
        term: assigner.record().term,
        record: (!knows_record).then(|| assigner.record().clone()),
        delta: assigner.delta_since(held),
        settings: Version(1),
    }
}

fn size(message: &impl serde::Serialize) -> u64 {
    rmp_serde::to_vec_named(message).map_or(0, |bytes| bytes.len() as u64)
}

fn messages(shards: u32) {
    let assigner = assigner(shards, 15);
    let whole = size(&beat(&assigner, Version(0), false));
    let quiet = size(&beat(&assigner, assigner.version(), true));
    let stored = serde_json::to_string(&assigner.assignment()).map_or(0, |text| text.len());
    println!(
        "  {shards:>5} shards: heartbeat {quiet} bytes, with the whole assignment {whole}, \
         stored assignment {stored} (term {})",
        Term(1)
    );
}

/// Watches daemon processes that have nothing to do.
async fn whole(shards: u32, daemons: usize) -> eyre::Result<()> {
    let mut site = site::villacres();
    for service in site.services.iter_mut().filter(|service| service.keyed) {
        service.extra_settings = format!("\"shards\": {shards},");
    }
    let program = std::env::current_exe()?
        .parent()
        .and_then(|folder| folder.parent())
        .map(|folder| folder.join("oriolehoist"))
        .filter(|program: &PathBuf| program.exists())
        .ok_or_eyre("build the daemon first: cargo build --release")?;
    let options = ClusterOptions::new(site, daemons, DaemonMode::Process(program));
    let cluster = Cluster::start(options).await?;
    let assigner = cluster.assigner("mareas-live").await?;
    let calls = cluster.store.request_count();
    let wire = cluster.network.bytes_forwarded();
    let before = cpu_seconds(&cluster)?;
    sleep(REST).await;
    let after = cpu_seconds(&cluster)?;
    let wire = (cluster.network.bytes_forwarded() - wire) as f64 / REST.as_secs_f64() / 1024.0;
    let share = |n: usize| (after[n] - before[n]) * 100.0 / REST.as_secs_f64();
    let others = (0..daemons).filter(|n| *n != assigner).map(share).sum::<f64>();
    let memory = cluster.daemons.iter().filter_map(|d| resident(d.pid()?)).max().unwrap_or(0);
    println!(
        "  {shards:>5} shards, {daemons:>2} daemons: assigner {:.2} % of a core, others {:.2} %, \
         at most {} MB, {:.1} store calls a second, {wire:.0} KB/s on all wires",
        share(assigner),
        others / (daemons - 1) as f64,
        memory / 1024,
        (cluster.store.request_count() - calls) as f64 / REST.as_secs_f64(),
    );
    cluster.clean_up();
    Ok(())
}

fn cpu_seconds(cluster: &Cluster) -> eyre::Result<Vec<f64>> {
    let mut list = Vec::new();
    for daemon in &cluster.daemons {
        let pid = daemon.pid().ok_or_eyre("the daemon has ended")?;
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The fields after the name in brackets; user and system time are the 12th and 13th.
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        list.push(ticks / TICKS_PER_SECOND);
    }
    Ok(list)
}

/// Returns the resident memory of a process, in kilobytes.
fn resident(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
