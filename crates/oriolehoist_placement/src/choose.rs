use {
    crate::{Bindings, ServerIndex, ServerLoads},
    oriolehoist_protocol::ShardId,
};

/// Chooses an owner for a shard that has none, and counts its weight there.
///
/// The last owner is preferred, which moves nothing; otherwise the least loaded server is taken.
/// Returns `None` if no server that may own the shard receives any.
pub fn choose_owner(
    loads: &mut ServerLoads,
    bound: &Bindings,
    shard: ShardId,
    weight: u64,
    last: Option<ServerIndex>,
) -> Option<ServerIndex> {
    let server = match last {
        Some(last) if loads.receives(last) && bound.allows(shard, last) => last,
        _ => loads.least(bound, shard)?,
    };
    loads.shift(weight, None, server);
    Some(server)
}
