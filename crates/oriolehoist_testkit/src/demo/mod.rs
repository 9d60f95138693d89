//! A demo that runs a complete site in one process.

mod args;
mod report;

pub use args::{load_profile, run_from_args};

use {
    crate::{
        caller::{Balancer, LoadProfile, RequestLog, start_load},
        cluster::{Cluster, ClusterOptions, DaemonMode},
        demo::report::report,
        site::Site,
    },
    oriolehoist_time::Millis,
    std::{sync::Arc, time::Duration},
    tokio::time::{interval, sleep},
};

/// The number of daemons at each of the users' sites.
const DAEMONS: usize = 8;

/// The configuration of a demo.
#[derive(Clone, Debug)]
pub struct Demo {
    /// The site to run.
    pub site: Site,
    /// The loads that are sent to the site.
    pub loads: Vec<LoadProfile>,
    /// How long the loads run. If it is `None`, the site runs without a load until Ctrl-C.
    pub seconds: Option<u64>,
    /// Whether the owner of a key is killed halfway through.
    pub kill_owner: bool,
}

/// Runs a demo. Returns whether every invariant held.
///
/// # Errors
///
/// Returns an error if the site can't be started.
pub async fn run(demo: Demo) -> eyre::Result<bool> {
    println!("Starting {} with {DAEMONS} daemons ...", demo.site.name);
    let options = ClusterOptions::new(demo.site.clone(), DAEMONS, DaemonMode::Embedded);
    let cluster = Cluster::start(options).await?;
    print_instructions(&cluster);
    let all_held = match demo.seconds {
        Some(seconds) => run_loads(&cluster, &demo, seconds).await?,
        None => {
            println!("\nRunning. Stop with Ctrl-C; pass `-- --seconds 10` to run a load instead.");
            tokio::signal::ctrl_c().await?;
            true
        }
    };
    cluster.clean_up();
    Ok(all_held)
}

fn print_instructions(cluster: &Cluster) {
    println!("\n{:<10} {:<14} {:<22} operators", "daemon", "zone", "callers");
    for daemon in &cluster.daemons {
        println!(
            "{:<10} {:<14} {:<22} {}",
            daemon.name, daemon.zone, daemon.caller_address, daemon.operator_address
        );
    }
    let (_, store) = cluster.operator_endpoints();
    let (callers, operators) =
        (cluster.daemons[0].caller_address, cluster.daemons[0].operator_address);
    let keyed = cluster.site.keyed_service().name;
    let key = cluster.work_dir().join("receipt.key");
    println!("\nTry, in another terminal:");
    println!("  curl -i -H 'oriolehoist-key: bar-42' http://{callers}/{keyed}/window");
    println!(
        "  curl -i -X POST -H 'oriolehoist-key: bar-42' -H 'oriolehoist-request-id: b1' \
         -d slot=7 http://{callers}/{keyed}/book"
    );
    println!("  curl -i http://{callers}/{keyed}/window    # refused: the key is missing");
    println!("\nThen, as an operator:");
    println!("  cargo run --release --bin oriolectl -- status --daemon {operators}");
    println!("  cargo run --release --bin oriolectl -- show {keyed} --store {store}");
    println!("  cargo run --release --bin oriolectl -- drain {keyed} {keyed}-1 --store {store}");
    println!("  cargo run --release --bin oriolectl -- why RECEIPT --key k1={}", key.display());
}

async fn run_loads(cluster: &Cluster, demo: &Demo, seconds: u64) -> eyre::Result<bool> {
    let balancer =
        Arc::new(Balancer::start(cluster.daemons.iter().map(|d| d.caller_address).collect()));
    let records = RequestLog::default();
    let started = cluster.clock.now();
    let duration = Millis::from_secs(seconds);
    println!("\nRunning {} loads for {seconds} s ...", demo.loads.len());
    let loads: Vec<_> = demo
        .loads
        .iter()
        .map(|profile| {
            let (balancer, records) = (Arc::clone(&balancer), records.clone());
            start_load(cluster.clock, balancer, records, profile.clone(), duration)
        })
        .collect();
    let progress = tokio::spawn(show_progress(records.clone(), seconds));
    if demo.kill_owner {
        sleep(Duration::from(duration) / 2).await;
        let owner = cluster.last_server_for_key("key-7")?;
        println!("  killing {}", cluster.servers[owner].target.server);
        cluster.kill_servers(&[owner]).await?;
    }
    for load in loads {
        load.finish().await;
    }
    progress.abort();
    Ok(report(cluster, &records.all(), started))
}

async fn show_progress(records: RequestLog, seconds: u64) {
    let mut ticks = interval(Duration::from_secs(1));
    ticks.tick().await;
    for second in 1..=seconds {
        ticks.tick().await;
        let all = records.all();
        let served = all.iter().filter(|r| r.is_served()).count();
        println!("  {second:>3} s: {served} served, {} not served", all.len() - served);
    }
}
