use {
    crate::{MoveBudget, PlacementInput, ServerIndex, ServerLoads, ShardMove},
    oriolehoist_protocol::ShardId,
};

/// Plans moves: first every shard off a server that leaves or may not own it, then the heaviest
/// helpful moves for balance.
///
/// Balance is left alone while the greatest load is within the budget's ratio of the mean, and a
/// shard moves only if the receiver ends below the giver's present load, so a plan never swaps
/// one hot server for another.
pub fn plan(input: &PlacementInput, budget: MoveBudget) -> Vec<ShardMove> {
    let mut loads = ServerLoads::of(input);
    let mut owners = input.owners.clone();
    let mut moves = evacuate(input, &mut loads, &mut owners);
    for _ in 0..budget.moves {
        match next_for_balance(input, &loads, &owners, budget.ratio_percent) {
            Some(next) => {
                let weight = input.weights[next.shard.index()];
                loads.shift(weight, owners[next.shard.index()], next.to);
                owners[next.shard.index()] = Some(next.to);
                moves.push(next);
            }
            None => break,
        }
    }
    moves
}

/// Moves what may not stay where it is.
fn evacuate(
    input: &PlacementInput,
    loads: &mut ServerLoads,
    owners: &mut [Option<ServerIndex>],
) -> Vec<ShardMove> {
    let mut moves = Vec::new();
    for (index, owner) in owners.iter_mut().enumerate() {
        let shard = shard_at(index);
        let must_go = owner.is_some_and(|server| {
            input.servers[server.0].leaving || !input.bound.allows(shard, server)
        });
        match loads.least(&input.bound, shard) {
            Some(to) if must_go => {
                loads.shift(input.weights[index], *owner, to);
                *owner = Some(to);
                moves.push(ShardMove { shard, to });
            }
            _ => {}
        }
    }
    moves
}

fn next_for_balance(
    input: &PlacementInput,
    loads: &ServerLoads,
    owners: &[Option<ServerIndex>],
    ratio_percent: u64,
) -> Option<ShardMove> {
    let from = loads.greatest()?;
    let heaviest = loads.load(from);
    if heaviest * 100 <= loads.mean() * ratio_percent {
        return None;
    }
    let helps = |index: usize| {
        let shard = shard_at(index);
        let to = loads.least(&input.bound, shard)?;
        (loads.load(to) + input.weights[index] < heaviest).then_some(ShardMove { shard, to })
    };
    (0..owners.len())
        .filter(|&index| owners[index] == Some(from) && input.weights[index] > 0)
        .filter_map(helps)
        .max_by_key(|next| input.weights[next.shard.index()])
}

fn shard_at(index: usize) -> ShardId {
    ShardId(u32::try_from(index).unwrap_or(u32::MAX))
}
