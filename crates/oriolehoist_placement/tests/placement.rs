//! Plans balance the load with few moves and respect budgets and bindings.

use {
    googletest::prelude::*,
    oriolehoist_placement::{
        Bindings, Candidate, MoveBudget, PlacementInput, ServerIndex, ServerLoads, choose_owner,
        plan,
    },
    oriolehoist_protocol::ShardId,
};

const SHARDS: usize = 256;
const UNLIMITED: MoveBudget = MoveBudget { max_moves: 1000, max_imbalance_percent: 100 };

fn balanced_input(servers: usize) -> PlacementInput {
    PlacementInput {
        owners: (0..SHARDS).map(|shard| Some(ServerIndex(shard % servers))).collect(),
        weights: vec![1; SHARDS],
        servers: vec![Candidate::available(); servers],
        bindings: Bindings::default(),
    }
}

fn apply_plan(input: &mut PlacementInput, budget: MoveBudget) -> usize {
    let moves = plan(input, budget);
    for shard_move in &moves {
        input.owners[shard_move.shard.index()] = Some(shard_move.to);
    }
    moves.len()
}

fn imbalance_percent(input: &PlacementInput) -> u64 {
    let loads = ServerLoads::new(input);
    let most_loaded = loads.most_loaded().map_or(0, |server| loads.load(server));
    most_loaded * 100 * input.servers.len() as u64 / input.weights.iter().sum::<u64>()
}

#[gtest]
fn adding_a_server_moves_at_most_a_tenth_more_than_its_fair_share() {
    let mut input = balanced_input(15);
    input.servers.push(Candidate::available());
    let fair_share = SHARDS / 16;
    let moves = apply_plan(&mut input, UNLIMITED);
    expect_that!(moves, le(fair_share + fair_share / 10 + 1));
    expect_that!(imbalance_percent(&input), le(125));
    // Choosing owners by shard number modulo server count would have moved nearly all shards.
    let moved_by_modulo = (0..SHARDS).filter(|shard| shard % 15 != shard % 16).count();
    expect_that!(moved_by_modulo, gt(10 * moves));
}

#[gtest]
fn losing_a_server_moves_only_its_shards() {
    let mut input = balanced_input(15);
    input.servers[3].eligible = false;
    for owner in input.owners.iter_mut().filter(|owner| **owner == Some(ServerIndex(3))) {
        *owner = None;
    }
    let mut loads = ServerLoads::new(&input);
    for (index, owner) in input.owners.iter_mut().enumerate().filter(|(_, o)| o.is_none()) {
        let shard = ShardId(index as u32);
        *owner = choose_owner(&mut loads, &input.bindings, shard, 1, Some(ServerIndex(3)));
    }
    expect_that!(input.owners, each(not(eq(&Some(ServerIndex(3))))));
    expect_that!(plan(&input, MoveBudget { max_imbalance_percent: 125, ..UNLIMITED }), is_empty());
}

#[gtest]
fn a_leaving_server_is_emptied_regardless_of_the_budget() {
    let mut input = balanced_input(15);
    input.servers[3].leaving = true;
    let owned = input.owners.iter().filter(|o| **o == Some(ServerIndex(3))).count();
    expect_that!(
        apply_plan(&mut input, MoveBudget { max_moves: 0, max_imbalance_percent: 100 }),
        eq(owned)
    );
    expect_that!(input.owners, each(not(eq(&Some(ServerIndex(3))))));
}

#[gtest]
fn hot_shards_are_spread_and_a_balanced_input_needs_no_moves() {
    let mut input = balanced_input(15);
    // Every shard of one server is hot.
    for shard in (0..SHARDS).step_by(15) {
        input.weights[shard] = 20;
    }
    let moved = apply_plan(&mut input, UNLIMITED);
    expect_that!(imbalance_percent(&input), le(125));
    expect_that!(moved, gt(0));
    expect_that!(plan(&input, MoveBudget { max_imbalance_percent: 125, ..UNLIMITED }), is_empty());
}

#[gtest]
fn a_single_hot_shard_is_not_moved_back_and_forth() {
    let mut input = balanced_input(4);
    input.weights[0] = 100_000;
    for _ in 0..10 {
        apply_plan(&mut input, UNLIMITED);
    }
    expect_that!(plan(&input, UNLIMITED), is_empty());
}

#[gtest]
fn the_budget_limits_the_moves_of_each_plan() {
    let mut input = balanced_input(15);
    input.servers.push(Candidate::available());
    expect_that!(
        plan(&input, MoveBudget { max_moves: 3, max_imbalance_percent: 100 }).len(),
        eq(3)
    );
}

#[gtest]
fn bound_shards_are_placed_only_on_allowed_servers() {
    let mut input = balanced_input(4);
    input.bindings.bind(ShardId(0), [ServerIndex(2), ServerIndex(3)]);
    input.bindings.bind(ShardId(1), []);
    apply_plan(&mut input, UNLIMITED);
    expect_that!(input.owners[0], some(any![eq(ServerIndex(2)), eq(ServerIndex(3))]));
    let mut loads = ServerLoads::new(&input);
    let owner = choose_owner(&mut loads, &input.bindings, ShardId(1), 1, Some(ServerIndex(1)));
    expect_that!(owner, none());
}
