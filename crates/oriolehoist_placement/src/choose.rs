use {
    crate::{Bindings, ServerIndex, ServerLoads},
    oriolehoist_protocol::ShardId,
};

/// Chooses an owner for a shard that has none, and adds the shard's weight to that server's load.
///
/// Chooses `preferred` if that server accepts shards and may own this one, and otherwise the least
/// loaded server that does. The preferred server is usually the last owner, because the shard then
/// does not move. Returns `None` if no server that may own the shard accepts shards.
pub fn choose_owner(
    loads: &mut ServerLoads,
    bindings: &Bindings,
    shard: ShardId,
    weight: u64,
    preferred: Option<ServerIndex>,
) -> Option<ServerIndex> {
    let server = match preferred {
        Some(server) if loads.accepts_shards(server) && bindings.allows(shard, server) => server,
        _ => loads.least_loaded(bindings, shard)?,
    };
    loads.transfer(weight, None, server);
    Some(server)
}
