//! Plays hundreds of daemons that know that the store is away when it returns, and have no assigner that
//! could tell them.

use {
    googletest::prelude::*,
    oriolehoist_backoff::{Backoff, CallKind, CallTime},
    oriolehoist_time::Millis,
};

const DAEMONS: u32 = 295;
/// How long the store is away. The assigner, which is the first daemon, is lost after a second.
const OUTAGE: u64 = 8000;
/// The time between two messages of the assigner.
const SYNC_INTERVAL: u64 = 200;
const STEP: u64 = 25;
/// The mean time between two calls of all daemons to a store that is away.
const CALL_INTERVAL: u64 = 167;

/// Returns how many daemons have called the store in the last seven seconds of the outage.
fn callers(seed: u64) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut daemons: Vec<Backoff> = (0..u64::from(DAEMONS)).map(Backoff::new).collect();
    for daemon in &mut daemons {
        let call = CallTime { started_at: Millis(10_000), ended_at: Millis(10_002) };
        daemon.on_failed(call, DAEMONS, rng.f64());
    }
    let mut callers = 0;
    for now in (0..OUTAGE).step_by(STEP as usize) {
        let at = Millis(10_002 + now);
        if now < 1000 && now % SYNC_INTERVAL == 0 {
            let news = daemons[0].news(at);
            for daemon in &mut daemons[1..] {
                daemon.on_news(at, &news, DAEMONS, rng.f64());
            }
            continue;
        }
        for daemon in &mut daemons[1..] {
            if now >= 1000 && daemon.try_call(at, CallKind::Election, DAEMONS, rng.f64()) {
                callers += 1;
                let ended_at = at + Millis(2);
                daemon.on_failed(CallTime { started_at: at, ended_at }, DAEMONS, rng.f64());
            }
        }
    }
    callers
}

/// Guards against a store whose return nobody notices: the delays of a daemon that learns of an outage twice,
/// by its own call and from another daemon, added up.
#[gtest]
fn a_large_fleet_calls_a_store_that_is_away_as_often_as_intended() {
    let intended = ((OUTAGE - 1000) / CALL_INTERVAL) as usize;
    for seed in 1..=20 {
        // Delays are drawn evenly up to twice their mean, so half as many daemons are due in the beginning.
        let callers = callers(seed);
        println!("seed {seed}: {callers} calls, intended {intended}");
        expect_that!(callers, all!(ge(intended / 4), le(intended)), "seed {seed}");
    }
}
