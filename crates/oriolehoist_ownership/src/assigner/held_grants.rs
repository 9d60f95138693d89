//! Tracking of the grants that servers hold.

use {
    crate::assigner::{Assigner, shard::ShardEntry},
    oriolehoist_placement::ServerIndex,
    oriolehoist_protocol::HeldGrant,
    oriolehoist_time::Millis,
};

impl Assigner {
    /// Adopts the grants that a server reports for unclaimed shards, which a previous assigner has
    /// given to it.
    pub(super) fn adopt_grants(&mut self, now: Millis, server: ServerIndex, held: &[HeldGrant]) {
        for HeldGrant { grant, ending } in held {
            let Some(shard) = self.shards.get_mut(grant.shard.index()) else { continue };
            if shard.adopt(now, server, grant.epoch, *ending) {
                let version = self.version.next();
                shard.mark_changed(version);
                self.version = version;
                self.servers[server.0].change_list();
                // The server refuses further renewals of the previous assigner, so the grant
                // lasts for at most one grant duration from now.
                self.servers[server.0]
                    .extend_grant_expiry(self.timing.max_elapsed(self.timing.grant) + now);
            }
        }
    }

    /// Confirms the server's grants in lists up to number `list`, which the server now has.
    pub(super) fn confirm_grants(&mut self, server: ServerIndex, list: u64) {
        let version = self.version.next();
        let mut changed = false;
        for shard in &mut self.shards {
            if shard.confirm(server, list) {
                shard.mark_changed(version);
                changed = true;
            }
        }
        if changed {
            self.version = version;
        }
    }

    /// Frees every shard of a server whose grants have certainly expired.
    pub(super) fn free_shards_of(&mut self, server: ServerIndex) {
        self.update_shards_of(server, ShardEntry::free_after_loss);
    }

    /// Marks every shard of a server that has restarted as unclaimed.
    pub(super) fn mark_shards_unclaimed(&mut self, server: ServerIndex) {
        self.update_shards_of(server, ShardEntry::mark_unclaimed);
    }

    fn update_shards_of(&mut self, server: ServerIndex, update: fn(&mut ShardEntry)) {
        let version = self.version.next();
        for shard in self.shards.iter_mut().filter(|s| s.owner() == Some(server)) {
            update(shard);
            shard.mark_changed(version);
        }
        self.version = version;
        self.servers[server.0].change_list();
    }
}
