//! Explores every sequence of coarse steps up to a fixed depth, starting from a site that serves
//! all shards.

mod simulation;

use {googletest::prelude::*, simulation::Simulation};

/// The number of steps in each sequence, unless `ORIOLEHOIST_DEPTH` is set.
const DEPTH: usize = 5;

fn depth() -> usize {
    std::env::var("ORIOLEHOIST_DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(DEPTH)
}

/// Explores all sequences of `left` further steps. Returns the number of states that were reached,
/// or the first sequence that violates an invariant.
fn explore(
    simulation: &Simulation,
    left: usize,
    path: &mut Vec<usize>,
) -> std::result::Result<u64, String> {
    if left == 0 {
        return Ok(0);
    }
    let mut count = 0;
    for step in 0..Simulation::COARSE_STEPS {
        let mut next = simulation.clone();
        next.coarse_step(step);
        path.push(step);
        if let Some(violation) = next.violation() {
            return Err(format!("{path:?}: {violation}"));
        }
        count += 1 + explore(&next, left - 1, path)?;
        path.pop();
    }
    Ok(count)
}

#[gtest]
fn no_sequence_of_coarse_steps_gives_a_shard_two_owners() {
    let mut simulation = Simulation::new(2);
    simulation.take_over(0, true);
    // Runs 40 rounds without faults, after which all shards are owned.
    for _ in 0..40 {
        simulation.coarse_step(0);
    }
    expect_that!(simulation.all_shards_owned(), eq(true));
    let explored = explore(&simulation, depth(), &mut Vec::new());
    println!("depth {}: {explored:?} states", depth());
    expect_that!(explored, ok(gt(&1000)));
}
