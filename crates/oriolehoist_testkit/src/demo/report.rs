use {
    crate::{
        caller::{Outcome, RequestRecord},
        cluster::Cluster,
        oracle::{
            availability, duplicate_bookings, executed_despite_not_run, mismatched_responses,
            overlapping_owners,
        },
    },
    hdrhistogram::Histogram,
    oriolehoist_time::Millis,
    std::collections::BTreeMap,
};

/// The users' bound on the time until a key is served again.
const MAX_OUTAGE: Millis = Millis(2000);
/// The highest latency that a histogram records, in milliseconds.
const MAX_LATENCY_MS: u64 = 120_000;

/// Prints the results of a demo. Returns whether every invariant held.
pub(super) fn report(cluster: &Cluster, records: &[RequestRecord], started: Millis) -> bool {
    print_latencies(records);
    print_refusals(records);
    let availability = availability(records, started, cluster.clock.now());
    println!(
        "\nOutages: {} keys affected, longest {}, total {}",
        availability.affected_keys, availability.longest_outage, availability.total_outage
    );
    println!(
        "Requests to the store: {}, of which writes: {}",
        cluster.store.request_count(),
        cluster.store.write_count()
    );
    let (runs, ownership_intervals) =
        (cluster.journal.runs(), cluster.journal.ownership_intervals());
    let long_outage = (availability.longest_outage > MAX_OUTAGE).then(|| {
        format!(
            "key {} was not served for {}",
            availability.longest_outage_key, availability.longest_outage
        )
    });
    let checks = [
        ("at most one owner at a time", overlapping_owners(&ownership_intervals, &runs)),
        ("each response belongs to its request", mismatched_responses(records)),
        ("bookings run at most once", duplicate_bookings(records, &runs)),
        ("requests refused as \"not run\" did not run", executed_despite_not_run(records, &runs)),
        ("served again within 2 s", long_outage.into_iter().collect()),
    ];
    println!();
    for (invariant, violations) in &checks {
        let verdict = if violations.is_empty() { "held" } else { "VIOLATED" };
        println!("{verdict:<10}{invariant}");
        violations.iter().take(5).for_each(|violation| println!("          {violation}"));
    }
    checks.iter().all(|(_, violations)| violations.is_empty())
}

fn print_latencies(records: &[RequestRecord]) {
    let mut groups: BTreeMap<_, Vec<&RequestRecord>> = BTreeMap::new();
    for record in records {
        groups.entry((record.service.as_str(), record.class)).or_default().push(record);
    }
    println!(
        "\n{:<16} {:<12} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "service", "class", "sent", "served", "p50 ms", "p99 ms", "max ms"
    );
    for ((service, class), group) in groups {
        let Ok(mut latencies) = Histogram::<u64>::new_with_max(MAX_LATENCY_MS, 3) else { return };
        let served: Vec<_> = group.iter().filter(|r| r.is_served()).collect();
        served.iter().for_each(|record| latencies.saturating_record(record.latency().0.max(1)));
        println!(
            "{service:<16} {class:<12} {:>8} {:>8} {:>8} {:>8} {:>8}",
            group.len(),
            served.len(),
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.99),
            latencies.max()
        );
    }
}

fn print_refusals(records: &[RequestRecord]) {
    let mut kinds: BTreeMap<&str, u64> = BTreeMap::new();
    for record in records {
        match &record.outcome {
            Outcome::Refused { kind, .. } => *kinds.entry(kind).or_default() += 1,
            Outcome::NoResponse => *kinds.entry("no response").or_default() += 1,
            Outcome::Served { .. } => {}
        }
    }
    for (kind, count) in kinds {
        println!("not served, {kind}: {count}");
    }
}
