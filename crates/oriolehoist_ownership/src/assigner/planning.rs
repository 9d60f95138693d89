//! Tracks which shards are free, grants them to servers and plans moves.

use {
    crate::assigner::{Assigner, server::ServerEntry, shard::ShardEntry},
    oriolehoist_placement::{
        Candidate, MoveBudget, PlacementInput, ServerIndex, ServerLoads, choose_owner, plan,
    },
    oriolehoist_protocol::ShardId,
    oriolehoist_time::Millis,
};

/// The interval between plans that move shards for balance.
const BALANCE_INTERVAL: Millis = Millis(500);

impl Assigner {
    /// Frees unclaimed shards once no server can have a grant for them from a previous assigner.
    pub(super) fn free_unclaimed(&mut self, now: Millis) {
        let all_fenced =
            !self.record.unlisted_servers && self.servers.iter().all(ServerEntry::is_fenced);
        // All live servers should have responded by the end of the wait. Without it, the first
        // server to respond would be given all shards.
        let waited = now.since(self.started_at) >= self.timing.lost_after;
        let expired = waited && self.predecessors.grants_have_expired(now);
        if !all_fenced && !expired {
            return;
        }
        for shard in &mut self.shards {
            shard.free_if_unclaimed();
        }
    }

    /// Clears the loss flag of shards whose owner was lost long ago.
    pub(super) fn clear_old_losses(&mut self, now: Millis) {
        let version = self.version.next();
        let mut changed = false;
        for shard in self.shards.iter_mut() {
            if shard.clear_old_loss(now) {
                shard.mark_changed(version);
                changed = true;
            }
        }
        if changed {
            self.version = version;
        }
    }

    /// Updates for each shard whether its owner is lost.
    pub(super) fn update_lost_owners(&mut self, now: Millis) {
        let version = self.version.next();
        let mut changed = false;
        for shard in &mut self.shards {
            let Some(ServerIndex(owner)) = shard.owner() else { continue };
            let lost = !self.servers[owner].is_reachable(now, &self.timing);
            if shard.set_lost(lost) {
                shard.mark_changed(version);
                changed = true;
            }
        }
        if changed {
            self.version = version;
        }
    }

    /// Frees the shards of lost servers whose grants have expired. A server that responds keeps its
    /// shards: the next renewal puts its grants in force again.
    pub(super) fn free_expired(&mut self, now: Millis) {
        for index in 0..self.servers.len() {
            let server = ServerIndex(index);
            let entry = &self.servers[index];
            let expired = entry.grants_have_expired(now) && !entry.is_reachable(now, &self.timing);
            if expired && self.shards.iter().any(|s| s.owner() == Some(server)) {
                self.free_shards_of(server);
            }
        }
    }

    /// Grants free shards to servers.
    pub(super) fn grant_free_shards(&mut self, now: Millis) {
        if !self.shards.iter().any(ShardEntry::is_free) {
            return;
        }
        if self.should_delay_grants(now) {
            return;
        }
        let mut loads = ServerLoads::new(&self.placement_input(now));
        for (index, shard) in self.shards.iter_mut().enumerate().filter(|(_, s)| s.is_free()) {
            let id = ShardId(u32::try_from(index).unwrap_or(u32::MAX));
            let (weight, preferred) = (shard.weight(), shard.preferred_owner());
            let chosen = choose_owner(&mut loads, &self.bindings, id, weight, preferred);
            let Some(server) = chosen else { continue };
            self.last_epoch = self.last_epoch.next();
            self.version = self.version.next();
            let list = self.servers[server.0].change_list();
            self.moved_shards += u64::from(shard.last_owner().is_some_and(|last| last != server));
            shard.grant(now, server, self.last_epoch, list);
            shard.mark_changed(self.version);
        }
    }

    /// Returns whether to wait before granting shards, because most servers are unreachable.
    ///
    /// The cause is then more likely a network failure than the loss of the servers. Granting
    /// immediately would place every shard on the few servers that respond first, so the assigner
    /// waits for the others for up to [`Timing::lost_after`](crate::Timing::lost_after).
    fn should_delay_grants(&mut self, now: Millis) -> bool {
        let reachable = |entry: &&ServerEntry| entry.is_reachable(now, &self.timing);
        let most_unreachable =
            self.servers.iter().filter(reachable).count() * 2 < self.servers.len();
        self.most_unreachable_since = match most_unreachable {
            true => self.most_unreachable_since.or(Some(now)),
            false => None,
        };
        self.most_unreachable_since.is_some_and(|since| now.since(since) < self.timing.lost_after)
    }

    /// Starts planned moves: immediately off servers that are leaving or may not own the shard, and
    /// every [`BALANCE_INTERVAL`] for balance, if every shard has a confirmed owner.
    pub(super) fn plan_moves(&mut self, now: Millis) {
        let must_move = self.has_mandatory_moves();
        let all_confirmed = self.shards.iter().all(ShardEntry::is_confirmed);
        let due = all_confirmed && now.since(self.last_balanced) >= BALANCE_INTERVAL;
        let max_moves = match due {
            true => self.budget.max_moves,
            false => 0,
        };
        if !due && !must_move {
            return;
        }
        if due {
            self.last_balanced = now;
        }
        let input = self.placement_input(now);
        for shard_move in plan(&input, MoveBudget { max_moves, ..self.budget }) {
            let version = self.version.next();
            let shard = &mut self.shards[shard_move.shard.index()];
            if shard.start_move(shard_move.to) {
                shard.mark_changed(version);
                self.version = version;
            }
        }
    }

    /// Returns whether any shard may have to move off its owner.
    fn has_mandatory_moves(&self) -> bool {
        let leaving = self.servers.iter().any(ServerEntry::is_leaving);
        let misplaced = |(shard, entry): (ShardId, &ShardEntry)| {
            entry.planned_owner().is_some_and(|owner| !self.bindings.allows(shard, owner))
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
            bindings: self.bindings.clone(),
        }
    }
}
