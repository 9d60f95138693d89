//! Every sequence of a few coarse steps, to a stated depth, from a site that serves.

mod world;

use {googletest::prelude::*, world::World};

/// Steps of each sequence; `ORIOLEHOIST_DEPTH` asks for another number.
const DEPTH: usize = 5;

fn depth() -> usize {
    std::env::var("ORIOLEHOIST_DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(DEPTH)
}

/// Visits every continuation of `world`; returns how many worlds there were.
fn visit(world: &World, left: usize, path: &mut Vec<usize>) -> std::result::Result<u64, String> {
    if left == 0 {
        return Ok(0);
    }
    let mut count = 0;
    for step in 0..World::COARSE_STEPS {
        let mut next = world.clone();
        next.coarse_step(step);
        path.push(step);
        if let Some(violation) = next.violation() {
            return Err(format!("{path:?}: {violation}"));
        }
        count += 1 + visit(&next, left - 1, path)?;
        path.pop();
    }
    Ok(count)
}

#[gtest]
fn no_sequence_of_coarse_steps_leads_to_two_owners() {
    let mut world = World::new(2);
    world.take_over(0, true);
    for _ in 0..40 {
        world.coarse_step(0);
    }
    expect_that!(world.is_served(), eq(true));
    let visited = visit(&world, depth(), &mut Vec::new());
    println!("depth {}: {visited:?} worlds", depth());
    expect_that!(visited, ok(gt(&1000)));
}
