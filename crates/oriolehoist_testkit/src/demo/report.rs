use {
    crate::{
        caller::{Outcome, RequestRecord},
        cluster::Cluster,
        oracle::{
            availability, duplicate_bookings, mismatched_responses, overlapping_owners,
            ran_though_not_run,
        },
    },
    hdrhistogram::Histogram,
    oriolehoist_time::Millis,
    std::collections::BTreeMap,
};

/// The time that the users allow for a key to be served again.
const SERVED_AGAIN: Millis = Millis(2000);
/// The greatest time that a histogram takes, in milliseconds.
const MAX_TIME_MS: u64 = 120_000;

/// Prints what came of a demonstration. Returns whether every promise was kept.
pub(super) fn report(cluster: &Cluster, records: &[RequestRecord], started: Millis) -> bool {
    print_times(records);
    print_refusals(records);
    let availability = availability(records, started, cluster.clock.now());
    println!(
        "\nUnavailable: {} keys for some time, longest {}, together {}",
        availability.affected_keys, availability.longest_outage, availability.total_outage
    );
    println!(
        "Calls to the store: {}, of these writes: {}",
        cluster.store.request_count(),
        cluster.store.write_count()
    );
    let (runs, ownership_intervals) =
        (cluster.journal.runs(), cluster.journal.ownership_intervals());
    let late = (availability.longest_outage > SERVED_AGAIN).then(|| {
        format!(
            "{} was not served for {}",
            availability.longest_outage_key, availability.longest_outage
        )
    });
    let checks = [
        ("one owner at a time", overlapping_owners(&ownership_intervals, &runs)),
        ("the whole answer to its own request", mismatched_responses(records)),
        ("bookings at most once", duplicate_bookings(records, &runs)),
        ("\"not run\" means not run", ran_though_not_run(records, &runs)),
        ("served again within 2 s", late.into_iter().collect()),
    ];
    println!();
    for (promise, violations) in &checks {
        let verdict = if violations.is_empty() { "kept" } else { "BROKEN" };
        println!("{verdict:<8}{promise}");
        violations.iter().take(5).for_each(|violation| println!("          {violation}"));
    }
    checks.iter().all(|(_, violations)| violations.is_empty())
}

fn print_times(records: &[RequestRecord]) {
    let mut groups: BTreeMap<_, Vec<&RequestRecord>> = BTreeMap::new();
    for record in records {
        groups.entry((record.service.as_str(), record.class)).or_default().push(record);
    }
    println!(
        "\n{:<16} {:<12} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "service", "class", "sent", "served", "p50 ms", "p99 ms", "max ms"
    );
    for ((service, class), group) in groups {
        let Ok(mut times) = Histogram::<u64>::new_with_max(MAX_TIME_MS, 3) else { return };
        let served: Vec<_> = group.iter().filter(|r| r.is_served()).collect();
        served.iter().for_each(|record| times.saturating_record(record.latency().0.max(1)));
        println!(
            "{service:<16} {class:<12} {:>8} {:>8} {:>8} {:>8} {:>8}",
            group.len(),
            served.len(),
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99),
            times.max()
        );
    }
}

fn print_refusals(records: &[RequestRecord]) {
    let mut kinds: BTreeMap<&str, u64> = BTreeMap::new();
    for record in records {
        match &record.outcome {
            Outcome::Refused { kind, .. } => *kinds.entry(kind).or_default() += 1,
            Outcome::NoResponse => *kinds.entry("no answer").or_default() += 1,
            Outcome::Served { .. } => {}
        }
    }
    for (kind, count) in kinds {
        println!("not served, {kind}: {count}");
    }
}
