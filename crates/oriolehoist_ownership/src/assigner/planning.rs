//! Which shards are free, and who gets them.

use {
    crate::assigner::{Assigner, server::ServerEntry, shard::ShardEntry},
    oriolehoist_placement::{
        Candidate, MoveBudget, PlacementInput, ServerIndex, ServerLoads, choose_owner, plan,
    },
    oriolehoist_protocol::ShardId,
    oriolehoist_time::Millis,
};

/// Time between two plans that move shards for balance.
const BALANCE_INTERVAL: Millis = Millis(500);

impl Assigner {
    /// Frees the shards that no server claims, once no server can hold them under an earlier term.
    pub(super) fn release_unclaimed(&mut self, now: Millis) {
        let all_fenced = self.servers.iter().all(ServerEntry::is_fenced);
        // Servers that live have answered by then, so that the first to answer doesn't get all.
        let waited = now.since(self.started) >= self.timing.lost_after;
        let over = waited && self.predecessors.are_over(now);
        if !all_fenced && !over {
            return;
        }
        for shard in &mut self.shards {
            shard.release();
        }
    }

    pub(super) fn forget_losses(&mut self, now: Millis) {
        let version = self.version.next();
        let mut changed = false;
        for shard in self.shards.iter_mut() {
            if shard.forget_loss(now) {
                shard.touch(version);
                changed = true;
            }
        }
        if changed {
            self.version = version;
        }
    }

    pub(super) fn mark_lost(&mut self, now: Millis) {
        let version = self.version.next();
        let mut changed = false;
        for shard in &mut self.shards {
            let Some(ServerIndex(owner)) = shard.owner() else { continue };
            let lost = !self.servers[owner].is_reachable(now, &self.timing);
            if shard.set_lost(lost) {
                shard.touch(version);
                changed = true;
            }
        }
        if changed {
            self.version = version;
        }
    }

    pub(super) fn free_lapsed(&mut self, now: Millis) {
        for index in 0..self.servers.len() {
            let server = ServerIndex(index);
            let entry = &self.servers[index];
            let lapsed = entry.has_lapsed(now) && !entry.is_reachable(now, &self.timing);
            if lapsed && self.shards.iter().any(|s| s.owner() == Some(server)) {
                self.free_shards_of(server);
            }
        }
    }

    pub(super) fn grant_free(&mut self, now: Millis) {
        if !self.shards.iter().any(ShardEntry::is_free) {
            return;
        }
        if self.is_scarce(now) {
            return;
        }
        let mut loads = ServerLoads::of(&self.placement_input(now));
        for (index, shard) in self.shards.iter_mut().enumerate().filter(|(_, s)| s.is_free()) {
            let id = ShardId(u32::try_from(index).unwrap_or(u32::MAX));
            let (weight, preferred) = (shard.weight(), shard.preferred());
            let chosen = choose_owner(&mut loads, &self.bound, id, weight, preferred);
            let Some(server) = chosen else { continue };
            self.last_epoch = self.last_epoch.next();
            self.version = self.version.next();
            let list = self.servers[server.0].change_list();
            self.moved += u64::from(shard.last_owner().is_some_and(|last| last != server));
            shard.grant(now, server, self.last_epoch, list);
            shard.touch(self.version);
        }
    }

    /// Returns whether most servers are out of reach, which rather is a fault of the network.
    ///
    /// Granting would then pile every shard on the few that answer first, so it waits a while for
    /// the others.
    fn is_scarce(&mut self, now: Millis) -> bool {
        let reachable = |entry: &&ServerEntry| entry.is_reachable(now, &self.timing);
        let scarce = self.servers.iter().filter(reachable).count() * 2 < self.servers.len();
        self.scarce_since = match scarce {
            true => self.scarce_since.or(Some(now)),
            false => None,
        };
        self.scarce_since.is_some_and(|since| now.since(since) < self.timing.lost_after)
    }

    /// Starts moves: at once off leaving servers, and at intervals for balance.
    pub(super) fn plan_moves(&mut self, now: Millis) {
        let must_move = self.must_move();
        let idle = self.shards.iter().all(ShardEntry::is_confirmed);
        let due = idle && now.since(self.balanced) >= BALANCE_INTERVAL;
        let moves = match due {
            true => self.budget.moves,
            false => 0,
        };
        if !due && !must_move {
            return;
        }
        if due {
            self.balanced = now;
        }
        let input = self.placement_input(now);
        for next in plan(&input, MoveBudget { moves, ..self.budget }) {
            let version = self.version.next();
            let shard = &mut self.shards[next.shard.index()];
            if shard.start_move(next.to) {
                shard.touch(version);
                self.version = version;
            }
        }
    }

    /// Returns whether a shard may not stay where it is.
    fn must_move(&self) -> bool {
        let leaving = self.servers.iter().any(ServerEntry::is_leaving);
        let misplaced = |(shard, entry): (ShardId, &ShardEntry)| {
            entry.planned_owner().is_some_and(|owner| !self.bound.allows(shard, owner))
        };
        leaving || self.shard_ids().zip(&self.shards).any(misplaced)
    }

    fn placement_input(&self, now: Millis) -> PlacementInput {
        let candidate = |entry: &ServerEntry| Candidate {
            eligible: entry.is_fenced() && entry.is_reachable(now, &self.timing),
            leaving: entry.is_leaving(),
        };
        PlacementInput {
            owners: self.shards.iter().map(ShardEntry::planned_owner).collect(),
            weights: self.shards.iter().map(ShardEntry::weight).collect(),
            servers: self.servers.iter().map(candidate).collect(),
            bound: self.bound.clone(),
        }
    }
}
