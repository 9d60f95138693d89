//! Moves keys away from congested servers.
//!
//! While a server is congested, keys have to leave it soon, and a move that turns out to be for nothing
//! makes requests wait that would have been served. Keys are therefore moved by their load over a longer
//! time, and at the ends of segments, so that the segments last.

use {
    crate::{
        FenceCounter, RangeAssigner,
        balance::{
            KeyRun, MAX_KEYS_PER_MOVE, MAX_MOVED_UTILIZATION, OVERLOAD_RATIO, busiest, hottest_run,
        },
        load::RECENT_HALF_LIFE_MS,
        plan::{DEFAULT_SERVICE_TIME_MS, Load, MAX_STORED_SEGMENTS, max_segments},
        segment::{Phase, Segment},
        server::{ServerIndex, ServiceTime},
    },
    oriolehoist_port::KeyRange,
    oriolehoist_time::Millis,
};

/// Keys are moved by this module while a server has at least this utilization.
pub(crate) const RELIEF_UTILIZATION: f32 = 0.75;
/// What a moved rate counts for if the move needs no further segment in the end, one or two.
const SEGMENT_WEIGHTS: [f32; 3] = [1.0, 0.85, 0.6];
/// The number of standard deviations by which requests differ from those expected of a key whose rate has
/// changed.
const CHANGED_DEVIATIONS: f32 = 4.0;
/// One of this many segments is kept for congested servers: otherwise others use them up within seconds.
const KEPT_SEGMENTS: usize = 2;
/// The number of segments that are kept for keys that go to the owner of the next range. Such a move needs a
/// segment only until it has ended. Without them, 3.3 of 134 servers stayed congested by 200 hot keys instead
/// of 2.2.
const BOUNDARY_SEGMENTS: usize = 16;
/// The number of segments that there may be in addition, within the maximum size of the table, so that the
/// neighbours of keys that are too hot for any server can leave.
const HOT_KEY_SEGMENTS: usize = 16;
/// The capacity that a server with a key too hot for any server has for other keys.
const NO_CAPACITY: f32 = 0.01;

/// The rates of keys in key order.
struct KeyRates(Vec<(u16, f32)>);

impl KeyRates {
    fn within(&self, range: KeyRange) -> &[(u16, f32)] {
        let first = self.0.partition_point(|entry| entry.0 < range.first);
        let end = self.0.partition_point(|entry| entry.0 <= range.last);
        &self.0[first..end]
    }

    fn of(&self, range: KeyRange) -> f32 {
        self.within(range).iter().map(|entry| entry.1).sum()
    }
}

impl RangeAssigner {
    /// Sets whether congested servers are relieved, which moves more keys while one is. They are by default.
    pub fn set_relief(&mut self, is_on: bool) {
        self.is_relief_off = !is_on;
    }

    /// Moves keys away from the servers with the highest utilization, while one is congested.
    pub(crate) fn relieve(
        &mut self,
        now: Millis,
        usable: &[ServerIndex],
        max_moves: usize,
        version: u64,
        fences: &mut FenceCounter,
    ) -> bool {
        self.merge_adjacent_segments();
        let rates = self.key_rates();
        let mut loads = self.steady_loads(usable, &rates);
        let too_hot = self.exclude_too_hot_keys(&mut loads, &rates);
        let rate: f32 = loads.iter().map(|load| load.rate).sum();
        let mean = rate / loads.iter().map(|load| load.capacity).sum::<f32>().max(0.001);
        let mut fence = None;
        let mut passed: Vec<ServerIndex> = Vec::new();
        let mut moves = 0;
        while moves < max_moves {
            let Some(most) = busiest(&loads, &passed) else { break };
            let from = loads[most];
            if from.utilization() < mean * OVERLOAD_RATIO {
                break;
            }
            let blocked = self.server(from.server).delayed_grant_expiry(KeyRange::ALL, false) > now;
            let piece = match blocked {
                true => None,
                false => self.piece_of(&from, &loads, mean, &rates, &too_hot),
            };
            let Some((run, to)) = piece else {
                passed.push(from.server);
                continue;
            };
            let part = self.split_off(run.index, run.range);
            let fence = *fence.get_or_insert_with(|| fences.issue());
            self.segments[part].reassign(loads[to].server, version, fence);
            moves += 1;
            loads[most].rate -= run.rate;
            loads[to].rate += run.rate;
        }
        fence.is_some()
    }

    /// Returns the rates of keys over a longer time, or the recent one of a key whose rate has changed.
    fn key_rates(&self) -> KeyRates {
        let time_constant = RECENT_HALF_LIFE_MS as f32 / 1000.0 / std::f32::consts::LN_2;
        let correction = self.steady_load.correction();
        let rates = self.steady_load.rates_within(KeyRange::ALL).map(|(key, steady)| {
            let steady = steady * correction;
            let recent = self.load.rate_of(KeyRange { first: key, last: key });
            let (counted, expected) = (recent * time_constant, steady * time_constant);
            let deviation = (expected + 1.0).sqrt();
            let has_changed = (counted - expected).abs() > CHANGED_DEVIATIONS * deviation;
            (key, if has_changed { recent } else { steady })
        });
        KeyRates(rates.collect())
    }

    fn steady_loads(&self, usable: &[ServerIndex], rates: &KeyRates) -> Vec<Load> {
        let service_times = usable.iter().map(|index| self.server(*index).steady_service_time);
        let prior = ServiceTime::mean(service_times, DEFAULT_SERVICE_TIME_MS);
        let mut by_server = vec![0.0; self.servers.len()];
        for segment in &self.segments {
            by_server[segment.owner.0 as usize] += rates.of(segment.range);
        }
        let load = |index: &ServerIndex| Load {
            server: *index,
            rate: by_server[index.0 as usize],
            capacity: {
                let server = self.server(*index);
                server.capacity(server.steady_service_time, prior)
            },
        };
        usable.iter().map(load).collect()
    }

    /// Excludes the hottest key of each server that is too hot for any server, and returns these keys. Such
    /// a key stays where it is, and its server has no capacity for others.
    fn exclude_too_hot_keys(&self, loads: &mut [Load], rates: &KeyRates) -> Vec<u16> {
        let fastest = loads.iter().map(|load| load.capacity).fold(0.0, f32::max);
        let mut too_hot: Vec<_> = rates.0.iter().filter(|entry| entry.1 >= fastest).collect();
        too_hot.sort_by(|a, b| b.1.total_cmp(&a.1));
        let mut excluded = Vec::new();
        for (key, rate) in too_hot {
            let segment = self.segments.iter().find(|segment| segment.range.contains(*key));
            let owner = segment.map(|segment| segment.owner);
            let load = loads
                .iter_mut()
                .find(|load| Some(load.server) == owner && load.capacity > NO_CAPACITY);
            if let Some(load) = load {
                load.rate -= rate;
                load.capacity = NO_CAPACITY;
                excluded.push(*key);
            }
        }
        excluded
    }

    /// Merges adjacent segments that a server holds. The merged one has the higher of their fencing
    /// tokens, with which the server is granted all of its keys at the next renewal, as in a new session.
    fn merge_adjacent_segments(&mut self) {
        self.segments.dedup_by(|next, segment| {
            let is_held = |segment: &Segment| segment.phase == Phase::Held && !segment.adopted;
            let mergeable = is_held(segment)
                && is_held(next)
                && segment.owner == next.owner
                && u32::from(segment.range.last) + 1 == u32::from(next.range.first);
            if mergeable {
                segment.fence = segment.fence.max(next.fence);
                segment.range.last = next.range.last;
                segment.version = segment.version.max(next.version);
            }
            mergeable
        });
    }

    /// Returns keys that a server gives away, and the index of the load of the server that gets them.
    fn piece_of(
        &self,
        from: &Load,
        loads: &[Load],
        mean: f32,
        rates: &KeyRates,
        too_hot: &[u16],
    ) -> Option<(KeyRun, usize)> {
        let usual = max_segments(loads.len());
        let (max, kept) = match from.utilization() >= RELIEF_UTILIZATION {
            _ if from.capacity <= NO_CAPACITY => {
                ((usual + HOT_KEY_SEGMENTS).min(MAX_STORED_SEGMENTS), 0)
            }
            true => (usual, BOUNDARY_SEGMENTS),
            false => (usual, usual / KEPT_SEGMENTS),
        };
        let spare = max.saturating_sub(self.segments.len() + kept).min(2);
        // Keys that go to the owner of the next segment need one of their own until they have moved.
        let has_room = self.segments.len() < max;
        let excess = from.rate - mean * from.capacity;
        let room_of = |to: usize| mean * loads[to].capacity - loads[to].rate;
        let limit_of = |to: usize| excess.min(room_of(to));
        let roomiest = (0..loads.len()).max_by(|a, b| room_of(*a).total_cmp(&room_of(*b)))?;
        let held = self.segments.iter().enumerate().filter(|(_, segment)| {
            segment.owner == from.server && segment.phase == Phase::Held && !segment.adopted
        });
        let mut best: Option<(f32, KeyRun, usize)> = None;
        let mut offer = |cost: usize, index: usize, to: usize, run: Option<(KeyRange, f32)>| {
            let Some((range, rate)) = run.filter(|run| run.1 > 0.0 && cost <= spare) else {
                return;
            };
            let score = rate * SEGMENT_WEIGHTS[cost];
            if best.as_ref().is_none_or(|best| best.0 < score) {
                best = Some((score, KeyRun { index, range, rate }, to));
            }
        };
        for (index, segment) in held {
            let keys = rates.within(segment.range);
            let limit = limit_of(roomiest);
            let is_movable = !too_hot.iter().any(|key| segment.range.contains(*key));
            let whole = Some((segment.range, rates.of(segment.range)));
            offer(0, index, roomiest, whole.filter(|whole| is_movable && whole.1 <= limit));
            let neighbour = |index: Option<usize>| {
                let neighbour = self.segments.get(index.filter(|_| has_room)?)?;
                let owner = Some(neighbour).filter(|other| other.phase == Phase::Held)?.owner;
                loads.iter().position(|load| load.server == owner)
            };
            let parts: Vec<_> = keys.split(|entry| too_hot.contains(&entry.0)).collect();
            let first = |limit: f32| prefix(segment.range, parts.first()?, limit);
            let last = |limit: f32| suffix(segment.range, parts.last()?, limit);
            if let Some(to) = neighbour(index.checked_sub(1)) {
                offer(0, index, to, first(limit_of(to)));
            }
            if let Some(to) = neighbour(Some(index + 1)) {
                offer(0, index, to, last(limit_of(to)));
            }
            offer(1, index, roomiest, first(limit));
            offer(1, index, roomiest, last(limit));
            let runs = parts.iter().filter_map(|keys| hottest_run(keys, limit));
            offer(2, index, roomiest, runs.max_by(|a, b| a.1.total_cmp(&b.1)));
        }
        let found = best.map(|(_, run, to)| (run, to));
        found.or_else(|| self.key_of(from, loads, rates, too_hot, spare))
    }

    /// Returns the hottest key of a congested server, or its segment with the most load, and the server
    /// that would be least utilized with it, if that leaves both less utilized than the one is.
    fn key_of(
        &self,
        from: &Load,
        loads: &[Load],
        rates: &KeyRates,
        too_hot: &[u16],
        spare: usize,
    ) -> Option<(KeyRun, usize)> {
        if from.utilization() < RELIEF_UTILIZATION {
            return None;
        }
        let held = self.segments.iter().enumerate().filter(|(_, segment)| {
            segment.owner == from.server && segment.phase == Phase::Held && !segment.adopted
        });
        let is_movable = |range: KeyRange| !too_hot.iter().any(|key| range.contains(*key));
        let runs = held.flat_map(|(index, segment)| {
            let keys = rates.within(segment.range).iter().filter(|_| spare == 2);
            let keys = keys.map(|(key, rate)| (KeyRange { first: *key, last: *key }, *rate));
            let whole = Some((segment.range, rates.of(segment.range))).filter(|_| spare < 2);
            keys.chain(whole).map(move |(range, rate)| KeyRun { index, range, rate })
        });
        let run = runs
            .filter(|run| run.rate > 0.0 && is_movable(run.range))
            .max_by(|a, b| a.rate.total_cmp(&b.rate))?;
        let with = |to: &usize| (loads[*to].rate + run.rate) / loads[*to].capacity;
        let to = (0..loads.len()).min_by(|a, b| with(a).total_cmp(&with(b)))?;
        let improves = with(&to) < from.utilization() * MAX_MOVED_UTILIZATION;
        improves.then_some((run, to))
    }
}

/// Returns the first keys of a range with at most `max_rate`.
fn prefix(range: KeyRange, keys: &[(u16, f32)], max_rate: f32) -> Option<(KeyRange, f32)> {
    let mut moved = 0.0;
    let mut last = None;
    for (key, rate) in keys {
        if moved + rate > max_rate || key - range.first >= MAX_KEYS_PER_MOVE {
            break;
        }
        moved += rate;
        last = Some(*key);
    }
    last.map(|last| (KeyRange { first: range.first, last }, moved))
}

/// Returns the last keys of a range with at most `max_rate`.
fn suffix(range: KeyRange, keys: &[(u16, f32)], max_rate: f32) -> Option<(KeyRange, f32)> {
    let mut moved = 0.0;
    let mut first = None;
    for (key, rate) in keys.iter().rev() {
        if moved + rate > max_rate || range.last - key >= MAX_KEYS_PER_MOVE {
            break;
        }
        moved += rate;
        first = Some(*key);
    }
    first.map(|first| (KeyRange { first, last: range.last }, moved))
}
