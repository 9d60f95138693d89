use {
    crate::{MoveBudget, PlacementInput, ServerIndex, ServerLoads, ShardMove},
    oriolehoist_protocol::ShardId,
};

/// Plans the moves of shards between servers.
///
/// First moves every shard off servers that are leaving or that may not own it, then moves shards
/// for balance, heaviest first.
///
/// No shard moves for balance while the load of the most loaded server is within the budget's
/// percentage of the mean. A shard moves for balance only if the destination ends up with less load
/// than the source has now, so that a plan never replaces one overloaded server with another.
pub fn plan(input: &PlacementInput, budget: MoveBudget) -> Vec<ShardMove> {
    let mut loads = ServerLoads::new(input);
    let mut owners = input.owners.clone();
    let mut moves = evacuate(input, &mut loads, &mut owners);
    for _ in 0..budget.max_moves {
        match next_balancing_move(input, &loads, &owners, budget.max_imbalance_percent) {
            Some(shard_move) => {
                let weight = input.weights[shard_move.shard.index()];
                loads.transfer(weight, owners[shard_move.shard.index()], shard_move.to);
                owners[shard_move.shard.index()] = Some(shard_move.to);
                moves.push(shard_move);
            }
            None => break,
        }
    }
    moves
}

/// Moves shards off servers that are leaving or that may not own them. A shard that no other server
/// can be given stays where it is.
fn evacuate(
    input: &PlacementInput,
    loads: &mut ServerLoads,
    owners: &mut [Option<ServerIndex>],
) -> Vec<ShardMove> {
    let mut moves = Vec::new();
    for (index, owner) in owners.iter_mut().enumerate() {
        let shard = shard_at(index);
        let must_move = owner.is_some_and(|server| {
            input.servers[server.0].leaving || !input.bindings.allows(shard, server)
        });
        match loads.least_loaded(&input.bindings, shard) {
            Some(to) if must_move => {
                loads.transfer(input.weights[index], *owner, to);
                *owner = Some(to);
                moves.push(ShardMove { shard, to });
            }
            _ => {}
        }
    }
    moves
}

/// Returns the heaviest shard of the most loaded server that can move for balance, if any.
fn next_balancing_move(
    input: &PlacementInput,
    loads: &ServerLoads,
    owners: &[Option<ServerIndex>],
    max_imbalance_percent: u64,
) -> Option<ShardMove> {
    let from = loads.most_loaded()?;
    let greatest_load = loads.load(from);
    if greatest_load * 100 <= loads.mean_load() * max_imbalance_percent {
        return None;
    }
    let balancing_move = |index: usize| {
        let shard = shard_at(index);
        let to = loads.least_loaded(&input.bindings, shard)?;
        (loads.load(to) + input.weights[index] < greatest_load).then_some(ShardMove { shard, to })
    };
    (0..owners.len())
        .filter(|&index| owners[index] == Some(from) && input.weights[index] > 0)
        .filter_map(balancing_move)
        .max_by_key(|shard_move| input.weights[shard_move.shard.index()])
}

fn shard_at(index: usize) -> ShardId {
    ShardId(u32::try_from(index).unwrap_or(u32::MAX))
}
