//! Reports that are late for all daemons for some seconds, as on machines short of processor time.

use {
    crate::{Counted, LOAD_WITHOUT_KEYS, fleet::DAEMONS, new_servers::NewServers},
    fastrand::Rng,
    googletest::prelude::*,
    oriolehoist_time::Millis,
    std::ops::Range,
};

const START: Millis = Millis(1000);
/// How long the servers are cold.
const WARM_UP_LONG: Millis = Millis(8000);
const SEEDS: u64 = 12;

/// Plays servers that are cold for 8 s, with all reports as long as `lag_ms` more on each hop for
/// `duration` from `late_from` on.
fn play(
    count: usize,
    load: f64,
    lag_ms: Range<u64>,
    late_from: Millis,
    duration: Millis,
    seed: u64,
) -> NewServers {
    let mut service = NewServers::new(count, START, load, seed).with_known_service_times();
    service.arrival_ms = Some(2..51);
    service.fleet.servers.iter_mut().for_each(|server| server.warm_up = WARM_UP_LONG);
    let mut random = Rng::with_seed(seed);
    service.fleet.measure_delays();
    service.run(Millis(1), late_from);
    for daemon in 0..DAEMONS {
        service.fleet.lag[daemon] = Millis(random.u64(lag_ms.clone()));
    }
    service.run(late_from, late_from + duration);
    service.fleet.lag.fill(Millis::ZERO);
    service.run(late_from + duration, START + WARM_UP_LONG + Millis(100));
    service
}

/// Guards against daemons that take the requests of the others for known sooner than they are.
#[gtest]
fn cold_servers_are_not_flooded_while_all_reports_are_late() {
    for (count, load, lag_ms, late_from, duration) in [
        (3, 600.0, 100..400, 200, 9000),
        (3, 600.0, 300..700, 200, 9000),
        (3, LOAD_WITHOUT_KEYS, 100..400, 200, 9000),
        (3, LOAD_WITHOUT_KEYS, 300..700, 200, 9000),
        (3, LOAD_WITHOUT_KEYS, 500..2000, 200, 9000),
        (3, LOAD_WITHOUT_KEYS, 500..2000, 2000, 3000),
        (12, LOAD_WITHOUT_KEYS, 300..700, 2000, 3000),
        (12, LOAD_WITHOUT_KEYS, 500..2000, 2000, 3000),
    ] {
        let mut counted = Counted::default();
        for seed in 1..=SEEDS {
            let (late_from, duration) = (Millis(late_from), Millis(duration));
            let service = play(count, load, lag_ms.clone(), late_from, duration, seed);
            counted.add(seed, &service.fleet.servers, START);
        }
        let late = format!("{lag_ms:?} ms late for {duration} ms from {late_from} ms on");
        counted.check(&format!("{count} cold, {load} a second, {late}"), 0.5);
    }
}
