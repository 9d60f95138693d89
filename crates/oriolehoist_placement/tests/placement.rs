//! Placement: even load with few moves, against plainer ways.

use {
    googletest::prelude::*,
    oriolehoist_placement::{
        Bindings, Candidate, MoveBudget, PlacementInput, ServerIndex, ServerLoads, choose_owner,
        plan,
    },
    oriolehoist_protocol::ShardId,
};

const SHARDS: usize = 256;
const MANY: MoveBudget = MoveBudget { moves: 1000, ratio_percent: 100 };

fn even(servers: usize) -> PlacementInput {
    PlacementInput {
        owners: (0..SHARDS).map(|shard| Some(ServerIndex(shard % servers))).collect(),
        weights: vec![1; SHARDS],
        servers: vec![Candidate::ready(); servers],
        bound: Bindings::default(),
    }
}

fn apply(input: &mut PlacementInput, budget: MoveBudget) -> usize {
    let moves = plan(input, budget);
    for next in &moves {
        input.owners[next.shard.index()] = Some(next.to);
    }
    moves.len()
}

fn ratio_percent(input: &PlacementInput) -> u64 {
    let loads = ServerLoads::of(input);
    let greatest = loads.greatest().map_or(0, |server| loads.load(server));
    greatest * 100 * input.servers.len() as u64 / input.weights.iter().sum::<u64>()
}

#[gtest]
fn adding_a_server_moves_no_more_than_a_tenth_over_the_least() {
    let mut input = even(15);
    input.servers.push(Candidate::ready());
    let least = SHARDS / 16;
    let moves = apply(&mut input, MANY);
    expect_that!(moves, le(least + least / 10 + 1));
    expect_that!(ratio_percent(&input), le(125));
    // Owners by remainder would have moved nearly all.
    let by_remainder = (0..SHARDS).filter(|shard| shard % 15 != shard % 16).count();
    expect_that!(by_remainder, gt(10 * moves));
}

#[gtest]
fn losing_a_server_moves_only_its_shards() {
    let mut input = even(15);
    input.servers[3].eligible = false;
    for owner in input.owners.iter_mut().filter(|owner| **owner == Some(ServerIndex(3))) {
        *owner = None;
    }
    let mut loads = ServerLoads::of(&input);
    for (index, owner) in input.owners.iter_mut().enumerate().filter(|(_, o)| o.is_none()) {
        let shard = ShardId(index as u32);
        *owner = choose_owner(&mut loads, &input.bound, shard, 1, Some(ServerIndex(3)));
    }
    expect_that!(input.owners, each(not(eq(&Some(ServerIndex(3))))));
    expect_that!(plan(&input, MoveBudget { ratio_percent: 125, ..MANY }), is_empty());
}

#[gtest]
fn a_leaving_server_is_emptied_whatever_the_budget() {
    let mut input = even(15);
    input.servers[3].leaving = true;
    let owned = input.owners.iter().filter(|o| **o == Some(ServerIndex(3))).count();
    expect_that!(apply(&mut input, MoveBudget { moves: 0, ratio_percent: 100 }), eq(owned));
    expect_that!(input.owners, each(not(eq(&Some(ServerIndex(3))))));
}

#[gtest]
fn hot_shards_spread_and_a_balanced_site_rests() {
    let mut input = even(15);
    // A spring tide: every shard of one server is hot.
    for shard in (0..SHARDS).step_by(15) {
        input.weights[shard] = 20;
    }
    let moved = apply(&mut input, MANY);
    expect_that!(ratio_percent(&input), le(125));
    expect_that!(moved, gt(0));
    expect_that!(plan(&input, MoveBudget { ratio_percent: 125, ..MANY }), is_empty());
}

#[gtest]
fn a_single_hot_key_is_not_passed_around() {
    let mut input = even(4);
    input.weights[0] = 100_000;
    for _ in 0..10 {
        apply(&mut input, MANY);
    }
    expect_that!(plan(&input, MANY), is_empty());
}

#[gtest]
fn the_budget_bounds_each_plan() {
    let mut input = even(15);
    input.servers.push(Candidate::ready());
    expect_that!(plan(&input, MoveBudget { moves: 3, ratio_percent: 100 }).len(), eq(3));
}

#[gtest]
fn bound_shards_go_where_they_may_and_nowhere_else() {
    let mut input = even(4);
    input.bound.bind(ShardId(0), [ServerIndex(2), ServerIndex(3)]);
    input.bound.bind(ShardId(1), []);
    apply(&mut input, MANY);
    expect_that!(input.owners[0], some(any![eq(ServerIndex(2)), eq(ServerIndex(3))]));
    let mut loads = ServerLoads::of(&input);
    let nowhere = choose_owner(&mut loads, &input.bound, ShardId(1), 1, Some(ServerIndex(1)));
    expect_that!(nowhere, none());
}
