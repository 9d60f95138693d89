//! Puts load on one service at several multiples of its capacity, and prints a JSON line for each.
//!
//! `cargo run --release --example load -- --service caretaker-desk --factors 0.5,0.9,1.2,3`
//!
//! Arrivals are open-loop and seeded; latencies are measured from the time a request was due. A
//! fifth of the requests is urgent, two fifths are interactive and two fifths are bulk.

use {
    argh::FromArgs,
    eyre::OptionExt,
    hdrhistogram::Histogram,
    oriolehoist_testkit::{
        caller::{Balancer, LoadProfile, Outcome, RequestLog, RequestRecord, start_load},
        cluster::{Cluster, ClusterOptions, DaemonMode},
        site,
        standin::RunOutcome,
    },
    oriolehoist_time::Millis,
    serde_json::json,
    std::{collections::BTreeMap, sync::Arc},
};

/// Puts load on one service of a site at several multiples of its capacity.
#[derive(FromArgs)]
struct Args {
    /// site to run: villacres or sfax
    #[argh(option, default = "String::from(\"sfax\")")]
    site: String,
    /// name of the service
    #[argh(option, default = "String::from(\"caretaker-desk\")")]
    service: String,
    /// multiples of the capacity, separated by commas
    #[argh(option, default = "String::from(\"0.5,0.9,1.2,3\")")]
    factors: String,
    /// service time of a request, in milliseconds
    #[argh(option, default = "40", long = "work")]
    service_time: u64,
    /// deadline of the requests, in milliseconds
    #[argh(option, default = "1000")]
    deadline: u64,
    /// number of keys, for a sharded service
    #[argh(option, default = "0")]
    keys: u64,
    /// number of daemons
    #[argh(option, default = "8")]
    daemons: usize,
    /// duration of the load at each multiple, in seconds
    #[argh(option, default = "6")]
    seconds: u64,
    /// seed of the arrivals
    #[argh(option, default = "1")]
    seed: u64,
}

/// Time at the start of each load that is excluded from the results.
const WARM_UP: Millis = Millis::from_secs(1);

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let site = site::by_name(&args.site).ok_or_eyre("unknown site: use villacres or sfax")?;
    let service = site.services.iter().find(|s| s.name == args.service).cloned();
    let service = service.ok_or_eyre("the site has no service with this name")?;
    let capacity =
        service.server_count as u64 * u64::from(service.slots) * 1000 / args.service_time;
    for factor in args.factors.split(',') {
        let factor: f64 = factor.parse()?;
        let options = ClusterOptions::new(site.clone(), args.daemons, DaemonMode::Embedded);
        let cluster = Cluster::start(options).await?;
        let records = run_at_rate(&cluster, &args, (capacity as f64 * factor) as u64).await;
        println!("{}", summary(&cluster, &records, &args, factor, capacity));
        cluster.clean_up();
    }
    Ok(())
}

async fn run_at_rate(cluster: &Cluster, args: &Args, rate: u64) -> Vec<RequestRecord> {
    let balancer =
        Arc::new(Balancer::start(cluster.daemons.iter().map(|d| d.caller_address).collect()));
    let records = RequestLog::default();
    let duration = Millis::from_secs(args.seconds) + WARM_UP;
    let started = cluster.clock.now();
    let start_class_load = |class: &'static str, fifths: u64, seed_offset: u64| {
        let profile = LoadProfile {
            service: args.service.clone(),
            rate: (rate * fifths / 5).max(1),
            key_count: args.keys,
            booking_percent: 0,
            class,
            deadline: Millis(args.deadline),
            service_time: Some(Millis(args.service_time)),
            retry_unknown: false,
            path: "work".into(),
            seed: args.seed + seed_offset,
            ..LoadProfile::default()
        };
        start_load(cluster.clock, Arc::clone(&balancer), records.clone(), profile, duration)
    };
    let loads = [
        start_class_load("urgent", 1, 1),
        start_class_load("interactive", 2, 2),
        start_class_load("bulk", 2, 3),
    ];
    for load in loads {
        load.finish().await;
    }
    records.all().into_iter().filter(|r| r.scheduled_at >= started + WARM_UP).collect()
}

fn summary(
    cluster: &Cluster,
    records: &[RequestRecord],
    args: &Args,
    factor: f64,
    capacity: u64,
) -> serde_json::Value {
    let in_time = |r: &&RequestRecord| r.is_served() && r.latency() <= r.deadline;
    let goodput = records.iter().filter(in_time).count() as f64 / args.seconds as f64;
    let mut refusals: BTreeMap<&str, u64> = BTreeMap::new();
    for record in records {
        match &record.outcome {
            Outcome::Refused { kind, .. } => *refusals.entry(kind).or_default() += 1,
            Outcome::NoResponse => *refusals.entry("no-answer").or_default() += 1,
            Outcome::Served { .. } => {}
        }
    }
    let refused = |r: &&RequestRecord| matches!(r.outcome, Outcome::Refused { .. });
    let abandoned =
        cluster.journal.runs().iter().filter(|r| r.outcome == RunOutcome::Abandoned).count();
    json!({
        "service": args.service,
        "factor": factor,
        "offered_per_s": records.len() as f64 / args.seconds as f64,
        "goodput_of_capacity": (goodput / capacity as f64 * 1000.0).round() / 1000.0,
        "urgent": class_summary(records, "urgent"),
        "interactive": class_summary(records, "interactive"),
        "bulk": class_summary(records, "bulk"),
        "refusal_p99_ms": quantile(records.iter().filter(refused), 0.99),
        "refusals": refusals,
        "abandoned_runs": abandoned,
    })
}

fn class_summary(records: &[RequestRecord], class: &str) -> serde_json::Value {
    let of_class: Vec<&RequestRecord> = records.iter().filter(|r| r.class == class).collect();
    let served = of_class.iter().filter(|r| r.is_served()).count();
    json!({
        "served_percent": served * 100 / of_class.len().max(1),
        "p50_ms": quantile(of_class.iter().copied().filter(|r| r.is_served()), 0.5),
        "p99_ms": quantile(of_class.iter().copied().filter(|r| r.is_served()), 0.99),
    })
}

fn quantile<'a>(records: impl Iterator<Item = &'a RequestRecord>, quantile: f64) -> u64 {
    let mut latencies = Histogram::<u64>::new(3)
        .unwrap_or_else(|_| unreachable!("3 significant digits are supported"));
    records.for_each(|record| latencies.saturating_record(record.latency().0.max(1)));
    latencies.value_at_quantile(quantile)
}
