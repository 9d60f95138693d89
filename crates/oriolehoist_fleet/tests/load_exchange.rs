//! What the daemons of a large fleet tell each other of the servers' loads.
//!
//! Every daemon exchanges news every 100 ms, and a datagram takes 1 ms.

use {
    fastrand::Rng,
    googletest::prelude::*,
    oriolehoist_fleet::{Candidate, LoadExchange, LoadNews, Relays, Source},
    oriolehoist_port::InstanceSize,
    oriolehoist_time::Millis,
};

/// The time between two messages of a daemon.
const INTERVAL_MS: u64 = 100;
/// The size of one report in a datagram, and of its headers.
const NEWS_BYTES: usize = 10;
const HEADER_BYTES: usize = 32;

/// What one daemon sent and received, a second.
#[derive(Clone, Copy, Debug, Default)]
struct Traffic {
    datagrams: usize,
    bytes: usize,
}

/// Runs a fleet for three seconds in which a server reports its load `rate` times a second to a
/// random daemon. Returns the oldest age at which a daemon learned of the last reports, and the traffic
/// of the busiest daemon, in and out.
fn run(daemons: usize, servers: u32, rate: f64, seed: u64) -> (Millis, Traffic) {
    let mut rng = Rng::with_seed(seed);
    let candidate = |index: usize| Candidate {
        zone: format!("zone-{}", index % 6).into(),
        size: InstanceSize::default(),
        responds: true,
        can_relay: true,
    };
    let plan = Relays::plan(&(0..daemons).map(candidate).collect::<Vec<_>>());
    let relays: Vec<usize> = plan.groups.iter().map(|group| group.relay).collect();
    let mut up = vec![Vec::new(); daemons];
    let mut down = vec![Vec::new(); daemons];
    for group in &plan.groups {
        up[group.relay] = relays.iter().copied().filter(|other| *other != group.relay).collect();
        down[group.relay].clone_from(&group.children);
        group.children.iter().for_each(|child| up[*child] = vec![group.relay]);
    }
    let mut exchanges = vec![LoadExchange::default(); daemons];
    let mut heard = vec![vec![Millis::ZERO; servers as usize]; daemons];
    let mut traffic = vec![Traffic::default(); daemons];
    // The reports that every daemon must have heard of at the end.
    let mut last_reported = vec![Millis::ZERO; servers as usize];
    let mut oldest = Millis::ZERO;
    for millis in 10_000..13_000 {
        let now = Millis(millis);
        for server in 0..servers {
            if rng.f64() < rate / 1000.0 {
                let daemon = rng.usize(..daemons);
                let news = LoadNews { server, load: 6, age: 0 };
                exchanges[daemon].learn(now, Source::Below, news);
                heard[daemon][server as usize] = now;
                if millis < 12_500 {
                    last_reported[server as usize] = now;
                }
            }
        }
        for from in 0..daemons {
            if !(millis + from as u64 * 7).is_multiple_of(INTERVAL_MS) {
                continue;
            }
            let since = now.since(Millis(INTERVAL_MS - 1));
            let upwards = exchanges[from].news(now, since, true);
            let downwards = exchanges[from].news(now, since, false);
            let sent = up[from].iter().map(|to| (*to, &upwards));
            let sent = sent.chain(down[from].iter().map(|to| (*to, &downwards)));
            for (to, news) in sent.filter(|(_, news)| !news.is_empty()) {
                let bytes = news.len() * NEWS_BYTES + HEADER_BYTES;
                for end in [from, to] {
                    traffic[end].datagrams += 1;
                    traffic[end].bytes += bytes;
                }
                let source = if down[to].contains(&from) { Source::Below } else { Source::Above };
                for one in news {
                    let one = LoadNews { age: one.age + 1, ..*one };
                    if exchanges[to].learn(now + Millis(1), source, one) {
                        heard[to][one.server as usize] = now;
                        oldest = oldest.max(Millis(u64::from(one.age)));
                    }
                }
            }
        }
    }
    for times in &heard {
        let missed = times.iter().zip(&last_reported).filter(|(heard, reported)| heard < reported);
        expect_that!(missed.count(), eq(0));
    }
    let busiest = traffic.iter().max_by_key(|one| one.bytes).copied().unwrap_or_default();
    (oldest, Traffic { datagrams: busiest.datagrams / 3, bytes: busiest.bytes / 3 })
}

#[gtest]
fn every_daemon_learns_of_every_load_within_half_a_second() {
    for (daemons, servers) in [(30, 80), (100, 270), (300, 809)] {
        let (oldest, traffic) = run(daemons, servers, 8.0, 7);
        println!("{daemons} daemons, {servers} servers: at most {oldest}, {traffic:?}");
        expect_that!(oldest, le(Millis(500)), "{daemons} daemons");
        // The link of a small machine has 2.5 MB a second.
        expect_that!(traffic.bytes, le(1 << 20), "{daemons} daemons");
        expect_that!(traffic.datagrams, le(800), "{daemons} daemons");
    }
}

#[gtest]
fn an_earlier_report_does_not_replace_a_later_one() {
    let mut exchange = LoadExchange::default();
    let news = |load: u16, age: u16| LoadNews { server: 1, load, age };
    expect_that!(exchange.learn(Millis(1000), Source::Above, news(4, 50)), eq(true));
    expect_that!(exchange.learn(Millis(1000), Source::Below, news(9, 300)), eq(false));
    expect_that!(exchange.news(Millis(1010), Millis(1000), false), elements_are![eq(&news(4, 60))]);
}

#[gtest]
fn what_comes_from_above_is_passed_on_downwards_only() {
    let mut exchange = LoadExchange::default();
    exchange.learn(Millis(1000), Source::Above, LoadNews { server: 1, load: 4, age: 0 });
    expect_that!(exchange.news(Millis(1000), Millis(1000), true), is_empty());
    expect_that!(exchange.news(Millis(1000), Millis(1000), false).len(), eq(1));
}

#[gtest]
fn old_reports_are_forgotten() {
    let mut exchange = LoadExchange::default();
    exchange.learn(Millis(1000), Source::Below, LoadNews { server: 1, load: 4, age: 900 });
    exchange.expire(Millis(1200));
    expect_that!(exchange.news(Millis(1200), Millis(1000), true), is_empty());
    expect_that!(
        exchange.learn(Millis(1200), Source::Below, LoadNews { server: 1, load: 2, age: 500 }),
        eq(true)
    );
}
