//! What is noted of the shards that a server holds, or no longer does.

use {
    crate::assigner::{Assigner, shard::ShardEntry},
    oriolehoist_placement::ServerIndex,
    oriolehoist_protocol::HeldGrant,
    oriolehoist_time::Millis,
};

impl Assigner {
    /// Takes over the live grants that a server reports, which an earlier assigner gave it.
    pub(super) fn adopt_held(&mut self, now: Millis, server: ServerIndex, held: &[HeldGrant]) {
        for HeldGrant { grant, ending } in held {
            let Some(shard) = self.shards.get_mut(grant.shard.index()) else { continue };
            if shard.adopt(now, server, grant.epoch, *ending) {
                let version = self.version.next();
                shard.touch(version);
                self.version = version;
                self.servers[server.0].change_list();
                self.servers[server.0].extend_bound(self.timing.at_most(self.timing.grant) + now);
            }
        }
    }

    pub(super) fn confirm(&mut self, server: ServerIndex, list: u64) {
        let version = self.version.next();
        let mut changed = false;
        for shard in &mut self.shards {
            if shard.confirm(server, list) {
                shard.touch(version);
                changed = true;
            }
        }
        if changed {
            self.version = version;
        }
    }

    /// Frees every shard of a server whose grants have certainly lapsed.
    pub(super) fn free_shards_of(&mut self, server: ServerIndex) {
        self.give_up_shards_of(server, ShardEntry::free_after_loss);
    }

    /// Takes every shard from a server that has restarted.
    pub(super) fn disclaim_shards_of(&mut self, server: ServerIndex) {
        self.give_up_shards_of(server, ShardEntry::disclaim);
    }

    fn give_up_shards_of(&mut self, server: ServerIndex, give_up: fn(&mut ShardEntry)) {
        let version = self.version.next();
        for shard in self.shards.iter_mut().filter(|s| s.owner() == Some(server)) {
            give_up(shard);
            shard.touch(version);
        }
        self.version = version;
        self.servers[server.0].change_list();
    }
}
