use crate::{ServerIndex, ServerLoads};

/// Chooses an owner for a shard that has none, and counts its weight there.
///
/// The last owner is preferred, which moves nothing; otherwise the least loaded server is taken.
/// Returns `None` if no server may receive shards.
pub fn choose_owner(
    loads: &mut ServerLoads,
    weight: u64,
    last: Option<ServerIndex>,
) -> Option<ServerIndex> {
    let server = match last {
        Some(last) if loads.receives(last) => last,
        _ => loads.least()?,
    };
    loads.shift(weight, None, server);
    Some(server)
}
