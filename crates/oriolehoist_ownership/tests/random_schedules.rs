//! Runs random schedules of steps and faults against the ownership state machines. A shard must
//! never have two owners, and must be owned again after the faults have ended.

mod simulation;

use {
    googletest::prelude::*,
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config, RngSeed, TestRunner},
    },
    simulation::Simulation,
    std::cell::Cell,
};

/// The percentage of schedules that the recovery test runs, since recoveries are slow.
const RECOVERY_SCHEDULES_PERCENT: u32 = 30;
/// The number of steps in each schedule.
const STEPS: usize = 500;
/// The number of schedules in CI, unless `ORIOLEHOIST_SCHEDULES` is set.
const SCHEDULES: u32 = 4000;
/// The seed in CI, unless `ORIOLEHOIST_SEED` is set.
const SEED: u64 = 20_261_203;

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn runner(percent: u32) -> TestRunner {
    let cases = env_number("ORIOLEHOIST_SCHEDULES").and_then(|n| u32::try_from(n).ok());
    TestRunner::new(Config {
        cases: cases.unwrap_or(SCHEDULES) * percent / 100,
        rng_seed: RngSeed::Fixed(env_number("ORIOLEHOIST_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: 1000,
        ..Config::default()
    })
}

fn run_schedule(daemons: usize, steps: &[u32]) -> std::result::Result<Simulation, String> {
    let mut simulation = Simulation::new(daemons);
    simulation.take_over(0, true);
    for &step in steps {
        simulation.random_step(step);
        if let Some(violation) = simulation.violation() {
            return Err(violation);
        }
    }
    Ok(simulation)
}

fn check_single_owner(daemons: usize) {
    let moves = Cell::new(0);
    let takeovers = Cell::new(0);
    let result = runner(100).run(&vec(any::<u32>(), STEPS), |steps| {
        let simulation = run_schedule(daemons, &steps).map_err(TestCaseError::fail)?;
        moves.set(moves.get() + simulation.moves);
        takeovers.set(takeovers.get() + simulation.takeovers);
        Ok(())
    });
    let (moves, takeovers) = (moves.get(), takeovers.get());
    println!("{daemons} daemons: {moves} moves, {takeovers} takeovers");
    expect_that!(result, ok(anything()));
    // Without moves and takeovers the schedules would not test anything.
    expect_that!(moves, gt(100));
    expect_that!(takeovers, gt(100));
}

#[gtest]
fn a_shard_never_has_two_owners_with_two_daemons() {
    check_single_owner(2);
}

#[gtest]
fn a_shard_never_has_two_owners_with_four_daemons() {
    check_single_owner(4);
}

#[gtest]
fn every_shard_is_owned_again_once_the_faults_have_ended() {
    let result = runner(RECOVERY_SCHEDULES_PERCENT).run(&vec(any::<u32>(), STEPS), |steps| {
        let mut simulation = run_schedule(4, &steps).map_err(TestCaseError::fail)?;
        prop_assert!(
            simulation.recovers(),
            "the site does not recover after the faults have ended"
        );
        Ok(())
    });
    expect_that!(result, ok(anything()));
}
