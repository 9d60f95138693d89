use {
    crate::{MoveBudget, PlacementInput, ServerIndex, ServerLoads, ShardMove},
    oriolehoist_protocol::ShardId,
};

/// Plans moves: first everything off leaving servers, then the heaviest helpful moves for balance.
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

fn evacuate(
    input: &PlacementInput,
    loads: &mut ServerLoads,
    owners: &mut [Option<ServerIndex>],
) -> Vec<ShardMove> {
    let mut moves = Vec::new();
    for (index, owner) in owners.iter_mut().enumerate() {
        let leaving = owner.is_some_and(|ServerIndex(s)| input.servers[s].leaving);
        match loads.least() {
            Some(to) if leaving => {
                loads.shift(input.weights[index], *owner, to);
                *owner = Some(to);
                moves.push(ShardMove { shard: shard_at(index), to });
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
    let to = loads.least()?;
    let heaviest = loads.load(from);
    if heaviest * 100 <= loads.mean() * ratio_percent {
        return None;
    }
    let index = (0..owners.len())
        .filter(|&i| owners[i] == Some(from) && input.weights[i] > 0)
        .filter(|&i| loads.load(to) + input.weights[i] < heaviest)
        .max_by_key(|&i| input.weights[i])?;
    Some(ShardMove { shard: shard_at(index), to })
}

fn shard_at(index: usize) -> ShardId {
    ShardId(u32::try_from(index).unwrap_or(u32::MAX))
}
