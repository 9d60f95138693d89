//! Load by key: what servers get.

use {
    crate::support::*,
    googletest::prelude::*,
    oriolehoist_keyspace::{Holder, LoadReport},
    oriolehoist_port::ServerState,
    smol_str::SmolStr,
};

/// Plays a load that gathers on 60 neighbouring keys, as when one harbour's tide turns, and checks
/// what each server gets.
#[gtest]
fn hot_keys_are_spread_over_servers_by_their_speed() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let servers = names.map(|id| server(id, ServerState::Ready));
    let mut assigner = Assigner::new(&servers);
    // Half of the servers are twice as fast as the others.
    let work = |id: &str| if matches!(id, "a" | "b" | "c") { 50 } else { 100 };
    let mut rng = fastrand::Rng::with_seed(7);
    let mut served = [0.0; 6];
    let seconds = 10;
    for step in 0..seconds * 50 {
        let keys = (0..2).map(|_| match rng.u32(0..100) {
            0..40 => (30_000 + rng.u16(0..60), 1),
            _ => (rng.u16(..), 1),
        });
        let keys: Vec<(u16, u32)> = keys.collect();
        let routes = assigner.keeper.routes(assigner.now);
        if step >= (seconds - 4) * 50 {
            for (key, _) in &keys {
                if let Some(Holder::Server(life)) = routes.holder(*key) {
                    let index = names.iter().position(|name| life.id == *name).unwrap_or(0);
                    served[index] += f64::from(work(names[index]));
                }
            }
        }
        let work = names.map(|id| (SmolStr::new(id), work(id), 1)).to_vec();
        assigner.keeper.on_load(&LoadReport { keys, work });
        assigner.run(STEP);
    }
    let mean = served.iter().sum::<f64>() / 6.0;
    let busiest = served.iter().copied().fold(0.0, f64::max);
    // The aim is 1.25 times the fair share by speed.
    expect_that!(busiest / mean, le(1.25));
    expect_that!(assigner.keeper.assigned().len(), le(200));
}

/// Plays a load of which two fifths are for one key, and checks that the fastest server has it.
#[gtest]
fn a_key_that_is_too_hot_goes_to_the_fastest_server() {
    let names = ["a", "b", "c", "d"];
    let servers = names.map(|id| server(id, ServerState::Ready));
    let mut assigner = Assigner::new(&servers);
    let work = |id: &str| if id == "c" { 50 } else { 100 };
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..300 {
        let keys = vec![(100, u32::from(rng.u32(0..5) < 2)), (rng.u16(..), 1)];
        let work = names.map(|id| (SmolStr::new(id), work(id), 1)).to_vec();
        assigner.keeper.on_load(&LoadReport { keys, work });
        assigner.run(STEP);
    }
    let routes = assigner.keeper.routes(assigner.now);
    expect_that!(routes.holder(100), some(eq(&Holder::Server(life("c")))));
}

/// Plays a load of which two fifths are for one key and the rest gathers on 60 others, and checks
/// what the servers get that do not have that key.
#[gtest]
fn a_key_too_hot_for_any_server_does_not_keep_the_others_from_being_spread() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let servers = names.map(|id| server(id, ServerState::Ready));
    let mut assigner = Assigner::new(&servers);
    let mut rng = fastrand::Rng::with_seed(11);
    let mut served = [0.0; 6];
    let seconds = 10;
    for step in 0..seconds * 50 {
        let key = |rng: &mut fastrand::Rng| match rng.u32(0..5) {
            0 | 1 => 100,
            2 | 3 => 30_000 + rng.u16(0..60),
            _ => rng.u16(..),
        };
        let keys: Vec<(u16, u32)> = (0..8).map(|_| (key(&mut rng), 1)).collect();
        let routes = assigner.keeper.routes(assigner.now);
        let others = keys.iter().filter(|(key, _)| *key != 100 && step >= (seconds - 4) * 50);
        for (key, _) in others {
            if let Some(Holder::Server(life)) = routes.holder(*key) {
                let index = names.iter().position(|name| life.id == *name).unwrap_or(0);
                served[index] += 1.0;
            }
        }
        let work = names.map(|id| (SmolStr::new(id), 100, 1)).to_vec();
        assigner.keeper.on_load(&LoadReport { keys, work });
        assigner.run(STEP);
    }
    let routes = assigner.keeper.routes(assigner.now);
    let hot = |name: &&str| routes.holder(100) == Some(&Holder::Server(life(name)));
    let rest = names.iter().zip(served).filter(|(name, _)| !hot(name)).map(|(_, served)| served);
    let rest: Vec<f64> = rest.collect();
    let mean = rest.iter().sum::<f64>() / rest.len() as f64;
    // The aim is 1.25 times the fair share.
    expect_that!(rest.iter().copied().fold(0.0, f64::max) / mean, le(1.25));
    expect_that!(rest.iter().copied().fold(f64::MAX, f64::min) / mean, ge(0.6));
}
