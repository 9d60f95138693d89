use {
    crate::{Bindings, ServerIndex, ServerLoads},
    oriolehoist_protocol::ShardId,
};

/// Chooses an owner for a shard that has none, and adds the shard's weight to that server's load.
///
/// Prefers the last owner, because the shard then does not move, and otherwise the least loaded
/// server. Returns `None` if no server that may own the shard accepts shards.
pub fn choose_owner(
    loads: &mut ServerLoads,
    bindings: &Bindings,
    shard: ShardId,
    weight: u64,
    last_owner: Option<ServerIndex>,
) -> Option<ServerIndex> {
    let server = match last_owner {
        Some(last) if loads.accepts_shards(last) && bindings.allows(shard, last) => last,
        _ => loads.least_loaded(bindings, shard)?,
    };
    loads.transfer(weight, None, server);
    Some(server)
}
