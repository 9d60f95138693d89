//! Random schedules over the ownership machines: a shard never has two owners, and is owned again
//! once the faults have ended.

mod world;

use {
    googletest::prelude::*,
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config, RngSeed, TestRunner},
    },
    std::cell::Cell,
    world::World,
};

/// How many schedules end with a recovery, of each hundred: a recovery takes long.
const RECOVERIES_PERCENT: u32 = 30;
/// Steps of one schedule.
const STEPS: usize = 500;
/// Schedules that CI runs; `ORIOLEHOIST_SCHEDULES` asks for another number.
const SCHEDULES: u32 = 4000;
/// The seed that CI uses; `ORIOLEHOIST_SEED` asks for another.
const SEED: u64 = 20_261_203;

fn asked(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn runner(percent: u32) -> TestRunner {
    let cases = asked("ORIOLEHOIST_SCHEDULES").and_then(|n| u32::try_from(n).ok());
    TestRunner::new(Config {
        cases: cases.unwrap_or(SCHEDULES) * percent / 100,
        rng_seed: RngSeed::Fixed(asked("ORIOLEHOIST_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: 1000,
        ..Config::default()
    })
}

fn run(daemons: usize, steps: &[u32]) -> std::result::Result<World, String> {
    let mut world = World::new(daemons);
    world.take_over(0, true);
    for &step in steps {
        world.act(step);
        if let Some(violation) = world.violation() {
            return Err(violation);
        }
    }
    Ok(world)
}

fn never_two_owners(daemons: usize) {
    let moves = Cell::new(0);
    let takeovers = Cell::new(0);
    let result = runner(100).run(&vec(any::<u32>(), STEPS), |steps| {
        let world = run(daemons, &steps).map_err(TestCaseError::fail)?;
        moves.set(moves.get() + world.moves);
        takeovers.set(takeovers.get() + world.takeovers);
        Ok(())
    });
    let (moves, takeovers) = (moves.get(), takeovers.get());
    println!("{daemons} daemons: {moves} moves, {takeovers} takeovers");
    expect_that!(result, ok(anything()));
    // A world in which nothing happens would prove nothing.
    expect_that!(moves, gt(100));
    expect_that!(takeovers, gt(100));
}

#[gtest]
fn a_shard_never_has_two_owners_with_two_daemons() {
    never_two_owners(2);
}

#[gtest]
fn a_shard_never_has_two_owners_with_four_daemons() {
    never_two_owners(4);
}

#[gtest]
fn every_shard_is_owned_again_once_the_faults_have_ended() {
    let result = runner(RECOVERIES_PERCENT).run(&vec(any::<u32>(), STEPS), |steps| {
        let mut world = run(4, &steps).map_err(TestCaseError::fail)?;
        prop_assert!(world.recovers(), "a shard stays without an owner");
        Ok(())
    });
    expect_that!(result, ok(anything()));
}
