//! Moves keys from busy servers to others.

use {
    crate::{
        FenceCounter, RangeAssigner,
        plan::{Load, least_busy, max_segments},
        relief::RELIEF_UTILIZATION,
        segment::Phase,
        server::ServerIndex,
    },
    oriolehoist_port::KeyRange,
    oriolehoist_time::Millis,
};

/// The interval between rounds of balancing, which lets the load settle after a move.
const BALANCE_INTERVAL: Millis = Millis(400);
/// The interval while a server is congested, and how many times as many segments may then change owner at
/// the same time.
const RELIEF_INTERVAL: Millis = Millis(200);
const RELIEF_MOVES: usize = 2;
/// A server whose utilization exceeds the mean by this factor gives keys away.
pub(crate) const OVERLOAD_RATIO: f32 = 1.15;
/// A server whose utilization is below this keeps its keys.
const MIN_UTILIZATION: f32 = 0.25;
/// A key that alone uses more than this share of its owner's capacity is too hot for it.
const HOT_KEY_UTILIZATION: f32 = 0.6;
/// A server with at least this utilization has a queue that grows.
const CONGESTED_UTILIZATION: f32 = 0.9;
/// The utilization of a server that gets a key from a congested one, as a part of that one's.
pub(crate) const MAX_MOVED_UTILIZATION: f32 = 0.8;
/// How many times the capacity of its owner another server must have to take over such a key.
const MIN_CAPACITY_GAIN: f32 = 1.25;
/// The maximum number of moves from overloaded servers that one round of balancing starts, for few
/// servers. No round takes place while more segments than this are changing owner.
const MAX_MOVES_PER_ROUND: usize = 8;
/// With many servers, one of this many may get keys in a round of balancing.
const SERVERS_PER_MOVE: usize = 12;
/// The maximum number of keys that one balancing move may cover.
pub(crate) const MAX_KEYS_PER_MOVE: u16 = 1 << 11;

impl RangeAssigner {
    /// Moves the hottest keys of overloaded servers to the least utilized ones.
    ///
    /// This handles load that is concentrated on few keys. The cost of a move is its share of all
    /// keys, so the fewest keys with the most load are moved.
    pub(crate) fn balance(&mut self, now: Millis, version: u64, fences: &mut FenceCounter) -> bool {
        let (interval, factor) = match self.is_congested {
            true => (RELIEF_INTERVAL, RELIEF_MOVES),
            false => (BALANCE_INTERVAL, 1),
        };
        if now.since(self.last_balanced_at) < interval {
            return false;
        }
        let moving = self.segments.iter().filter(|segment| segment.phase != Phase::Held).count();
        let max_moves = MAX_MOVES_PER_ROUND.max(self.servers.len() / SERVERS_PER_MOVE) * factor;
        if moving > max_moves {
            return false;
        }
        self.last_balanced_at = now;
        self.load.decay(now);
        self.steady_load.decay(now);
        let usable = self.usable_servers(now);
        let mut loads = self.server_loads(&usable);
        let most = busiest(&loads, &[]).map(|most| loads[most].utilization());
        // Moves out of evacuated zones have precedence.
        self.is_congested = !self.is_relief_off
            && most.is_some_and(|most| most >= RELIEF_UTILIZATION)
            && self.keys_in_evacuated_zones() == 0;
        if self.is_congested {
            return self.relieve(now, &usable, max_moves - moving, version, fences);
        }
        let rate: f32 = loads.iter().map(|load| load.rate).sum();
        let mean = rate / loads.iter().map(|load| load.capacity).sum::<f32>().max(0.001);
        let mut fence = None;
        if let Some((part, to)) = self.isolate_hottest_key(now, &loads) {
            let new_fence = fences.issue();
            self.segments[part].reassign(to, version, new_fence);
            fence = Some(new_fence);
            loads = self.server_loads(&usable);
        }
        let max_segments = max_segments(loads.len());
        // Congested servers that can give nothing.
        let mut stuck: Vec<ServerIndex> = Vec::new();
        for _ in 0..max_moves {
            let most = busiest(&loads, &stuck);
            let (Some(most), Some(least)) = (most, least_busy(&loads)) else { break };
            let (from, to) = (loads[most], loads[least]);
            // Keys of this server could only be granted again after its unanswered grants have
            // expired.
            let blocked = self.server(from.server).delayed_grant_expiry(KeyRange::ALL, false) > now;
            let done = blocked || from.utilization() < (mean * OVERLOAD_RATIO).max(MIN_UTILIZATION);
            if done {
                break;
            }
            // Moves no more than brings `from` down to the mean utilization, and no more than
            // brings `to` up to it.
            let excess = (from.utilization() - mean) * from.capacity;
            let headroom = (mean - to.utilization()) * to.capacity;
            let max_rate = excess.min(headroom);
            let planned = match self.segments.len() >= max_segments {
                true => self.busiest_segment_of(from.server, max_rate).map(|run| (run, least)),
                false => {
                    let run = self.hottest_run_of(from.server, max_rate).map(|run| (run, least));
                    run.or_else(|| self.hottest_key_of(&from, &loads))
                }
            };
            let (run, least) = match planned {
                Some(planned) => planned,
                None if from.utilization() >= CONGESTED_UTILIZATION => {
                    stuck.push(from.server);
                    continue;
                }
                None => break,
            };
            let to = loads[least];
            let part = self.split_off(run.index, run.range);
            let fence = *fence.get_or_insert_with(|| fences.issue());
            self.segments[part].reassign(to.server, version, fence);
            loads[most].rate -= run.rate;
            loads[least].rate += run.rate;
        }
        fence.is_some()
    }

    /// Splits off the hottest key for the server with the highest capacity, if the key alone is too
    /// much for its owner. Returns the index of the new segment, and that server.
    ///
    /// This handles a key that is so hot that moving other keys cannot balance the load. The other
    /// keys of the new owner are then moved away as from any overloaded server.
    pub(crate) fn isolate_hottest_key(
        &mut self,
        now: Millis,
        loads: &[Load],
    ) -> Option<(usize, ServerIndex)> {
        let (key, rate) = self.load.hottest_key()?;
        let index = self.segments.iter().position(|segment| segment.range.contains(key))?;
        let segment = &self.segments[index];
        let owner = loads.iter().find(|load| load.server == segment.owner)?;
        let fastest = loads.iter().max_by(|a, b| a.capacity.total_cmp(&b.capacity))?;
        let worthwhile = segment.phase == Phase::Held
            && rate > owner.capacity * HOT_KEY_UTILIZATION
            && fastest.capacity > owner.capacity * MIN_CAPACITY_GAIN
            && self.server(segment.owner).delayed_grant_expiry(segment.range, segment.adopted)
                <= now
            && self.segments.len() < max_segments(loads.len());
        let part = worthwhile.then(|| self.split_off(index, KeyRange { first: key, last: key }))?;
        Some((part, fastest.server))
    }

    /// Returns the run of keys within one segment of a server that has the most load, but at most
    /// `max_rate`.
    fn hottest_run_of(&self, server: ServerIndex, max_rate: f32) -> Option<KeyRun> {
        let held = self.segments.iter().enumerate();
        let held = held.filter(|(_, segment)| {
            segment.owner == server && segment.phase == Phase::Held && !segment.adopted
        });
        held.filter_map(|(index, segment)| {
            let keys: Vec<(u16, f32)> = self.load.rates_within(segment.range).collect();
            let (range, rate) = hottest_run(&keys, max_rate)?;
            Some(KeyRun { index, range, rate })
        })
        .max_by(|a, b| a.rate.total_cmp(&b.rate))
    }

    /// Returns the segment of a server that has the most load, but at most `max_rate`. To move it needs no
    /// further segment: without such moves, the placement would stay as it is once there are as many as
    /// there may be.
    fn busiest_segment_of(&self, server: ServerIndex, max_rate: f32) -> Option<KeyRun> {
        let held = self.segments.iter().enumerate().filter(|(_, segment)| {
            segment.owner == server && segment.phase == Phase::Held && !segment.adopted
        });
        let runs = held.map(|(index, segment)| KeyRun {
            index,
            range: segment.range,
            rate: self.load.rate_of(segment.range),
        });
        let runs = runs.filter(|run| run.rate > 0.0 && run.rate <= max_rate);
        runs.max_by(|a, b| a.rate.total_cmp(&b.rate))
    }

    /// Returns the hottest key of a congested server, and the index of the load of the server that
    /// would be least utilized with it, if that leaves both less utilized than the one is.
    ///
    /// With many servers, the mean load of one is less than that of a single hot key. Several of them
    /// on one server then fit no other one's headroom, though each alone has the capacity.
    fn hottest_key_of(&self, from: &Load, loads: &[Load]) -> Option<(KeyRun, usize)> {
        if from.utilization() < CONGESTED_UTILIZATION {
            return None;
        }
        let held = self.segments.iter().enumerate().filter(|(_, segment)| {
            segment.owner == from.server && segment.phase == Phase::Held && !segment.adopted
        });
        let keys = held.flat_map(|(index, segment)| {
            let rates = self.load.rates_within(segment.range);
            rates.map(move |(key, rate)| (index, key, rate))
        });
        let (index, key, rate) = keys.max_by(|a, b| a.2.total_cmp(&b.2))?;
        let with_key = |to: &usize| (loads[*to].rate + rate) / loads[*to].capacity;
        let to = (0..loads.len()).min_by(|a, b| with_key(a).total_cmp(&with_key(b)))?;
        let improves = with_key(&to) < from.utilization() * MAX_MOVED_UTILIZATION;
        let range = KeyRange { first: key, last: key };
        improves.then_some((KeyRun { index, range, rate }, to))
    }
}

/// A run of keys within a segment.
pub(crate) struct KeyRun {
    /// The index of the segment.
    pub(crate) index: usize,
    pub(crate) range: KeyRange,
    pub(crate) rate: f32,
}

/// Returns the run of keys with the most load, but at most `max_rate`, that spans no more than
/// [`MAX_KEYS_PER_MOVE`] keys. `keys` are in order, each with its request rate.
pub(crate) fn hottest_run(keys: &[(u16, f32)], max_rate: f32) -> Option<(KeyRange, f32)> {
    let mut best: Option<(KeyRange, f32)> = None;
    let mut first = 0;
    let mut rate = 0.0;
    for (last, (key, key_rate)) in keys.iter().enumerate() {
        rate += key_rate;
        while first <= last && (rate > max_rate || key - keys[first].0 >= MAX_KEYS_PER_MOVE) {
            rate -= keys[first].1;
            first += 1;
        }
        if first <= last && best.as_ref().is_none_or(|best| rate > best.1) {
            best = Some((KeyRange { first: keys[first].0, last: *key }, rate));
        }
    }
    best
}

/// Returns the load with the highest utilization, except those of the servers in `stuck`.
pub(crate) fn busiest(loads: &[Load], stuck: &[ServerIndex]) -> Option<usize> {
    let free = (0..loads.len()).filter(|index| !stuck.contains(&loads[*index].server));
    free.max_by(|a, b| loads[*a].utilization().total_cmp(&loads[*b].utilization()))
}
