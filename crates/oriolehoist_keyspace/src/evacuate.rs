//! Moves keys out of availability zones that operators have evacuated.
//!
//! An evacuated server still holds its keys, gets orders and answers them. It differs from one that
//! leaves: its keys stay if no server outside the evacuated zones can take them, and it gets keys again
//! when the evacuation ends.

use {
    crate::{
        FenceCounter, RangeAssigner,
        plan::{MAX_PARTS_OF_ORPHANED_RANGE, MIN_RATE, least_busy},
        segment::Phase,
        server::ServerIndex,
    },
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::collections::BTreeSet,
};

/// The time between two rounds of moves, which share a write of the table.
const ROUND_INTERVAL: Millis = Millis(200);
/// Within this time all moves out of a zone are planned. They have to end within 3.5 s, and the last one
/// takes 1.9 s if its owner does not respond: until its grant has expired.
const PLANNING_PERIOD: Millis = Millis(1600);
/// How long a move usually takes: a write of the table, the requests that run on the keys, and a grant.
const MOVE_TIME: Millis = Millis(400);
/// The number of moves that may always be in flight.
const MIN_MOVES_IN_FLIGHT: usize = 8;

/// The evacuation of zones, as far as it concerns one service.
#[derive(Debug, Default)]
pub(crate) struct Evacuation {
    zones: BTreeSet<SmolStr>,
    next_round_at: Millis,
    /// When keys could last not leave because no server outside could take them.
    blocked_at: Millis,
}

impl RangeAssigner {
    /// Sets the evacuated zones. Their servers get no new keys, and the keys that they have are moved,
    /// those with the most load first.
    pub fn set_evacuated(&mut self, now: Millis, zones: &BTreeSet<SmolStr>) {
        if self.evacuation.zones != *zones {
            self.evacuation.zones.clone_from(zones);
            self.evacuation.next_round_at = now;
        }
        self.mark_evacuated(now);
    }

    /// Returns the number of keys that servers of evacuated zones hold or are still being asked to
    /// release.
    pub fn keys_in_evacuated_zones(&self) -> u32 {
        if self.evacuation.zones.is_empty() {
            return 0;
        }
        let is_evacuated = |index: ServerIndex| self.server(index).evacuated_since.is_some();
        let held = self.segments.iter().filter(|segment| {
            is_evacuated(segment.owner)
                || segment.previous_owners().iter().any(|previous| is_evacuated(previous.server))
        });
        held.map(|segment| segment.range.count()).sum()
    }

    /// Updates which servers are in evacuated zones, and since when.
    pub(crate) fn mark_evacuated(&mut self, now: Millis) {
        for server in &mut self.servers {
            let is_evacuated = self.evacuation.zones.contains(&server.zone);
            server.evacuated_since = is_evacuated.then(|| server.evacuated_since.unwrap_or(now));
        }
    }

    /// Plans moves out of evacuated zones, if a round is due. Returns whether there are any.
    ///
    /// The number of moves in flight is limited, so that the servers outside are not asked for all keys
    /// at once and the busiest keys wait the least. The limit is what it takes to plan all moves in time.
    pub(crate) fn evacuate(
        &mut self,
        now: Millis,
        version: u64,
        fences: &mut FenceCounter,
    ) -> bool {
        if self.evacuation.zones.is_empty() || now < self.evacuation.next_round_at {
            return false;
        }
        // The first key of each range to move, whether it can't wait, and its request rate.
        let mut leaving: Vec<(u16, bool, f32)> = Vec::new();
        let mut deadline = Millis(u64::MAX);
        for segment in &self.segments {
            let owner = self.server(segment.owner);
            // Keys of an owner that does not respond are moved as those of any lost server.
            let Some(since) = owner.evacuated_since.filter(|_| self.is_usable(now, segment.owner))
            else {
                continue;
            };
            // The segment is moved once its owner has accepted the new fencing token.
            if segment.awaits_new_fence() && self.accepts_orders(now, segment.owner) {
                continue;
            }
            deadline = deadline.min(since.max(self.evacuation.blocked_at) + PLANNING_PERIOD);
            // Moves into a zone that is evacuated now are redirected at once, and the sooner an owner
            // that fails gets no more grants, the sooner the last one expires.
            let is_urgent = segment.phase != Phase::Held || owner.consecutive_failures > 0;
            leaving.push((segment.range.first, is_urgent, self.load.rate_of(segment.range)));
        }
        if leaving.is_empty() {
            return false;
        }
        let targets = self.usable_servers(now);
        if targets.is_empty() {
            self.evacuation.blocked_at = now;
            return false;
        }
        self.evacuation.next_round_at = now + ROUND_INTERVAL;
        let held = leaving.iter().filter(|(_, is_urgent, _)| !is_urgent).count();
        let moving = self.segments.iter().filter(|segment| segment.phase != Phase::Held).count();
        let mut free = match deadline.since(now).0 / MOVE_TIME.0 {
            0 => held,
            rounds => MIN_MOVES_IN_FLIGHT
                .max(held.div_ceil(usize::try_from(rounds).unwrap_or(usize::MAX)))
                .saturating_sub(moving),
        };
        leaving.sort_by(|a, b| b.1.cmp(&a.1).then(b.2.total_cmp(&a.2)));
        let mut loads = self.server_loads(&targets);
        let mut fence = None;
        for (first, is_urgent, _) in leaving {
            if !is_urgent && free == 0 {
                break;
            }
            free -= usize::from(!is_urgent);
            let Some(index) = self.segments.iter().position(|segment| segment.range.first == first)
            else {
                continue;
            };
            for part in index..index + self.split(index, MAX_PARTS_OF_ORPHANED_RANGE) {
                let least = least_busy(&loads).unwrap_or_default();
                let rate = self.load.rate_of(self.segments[part].range).max(MIN_RATE);
                loads[least].rate += rate;
                let fence = *fence.get_or_insert_with(|| fences.issue());
                self.segments[part].reassign(loads[least].server, version, fence);
            }
        }
        fence.is_some()
    }
}
