use {
    crate::{
        FenceCounter, RangeAssigner,
        segment::{Phase, Segment},
        server::{ServerIndex, ServiceTime, Status},
    },
    oriolehoist_port::KeyRange,
    oriolehoist_time::Millis,
};

/// The maximum number of segments for few servers, which limits the number of renewals and the size of
/// the stored table.
const MAX_SEGMENTS: usize = 200;
/// With many servers, the maximum number of segments for each of them.
const MAX_SEGMENTS_PER_SERVER: usize = 3;
/// The maximum number of segments for any number of servers, with which the stored table takes about
/// 700 KB.
pub(crate) const MAX_STORED_SEGMENTS: usize = 6000;
/// The maximum number of parts that a segment of an unusable server is split into.
pub(crate) const MAX_PARTS_OF_ORPHANED_RANGE: u32 = 3;
/// A segment is not split into parts with fewer keys than this.
const MIN_KEYS_PER_PART: u32 = 1 << 10;
/// The minimum request rate that is assumed for a segment when it is assigned, in requests per
/// second, so that segments without load count too.
pub(crate) const MIN_RATE: f32 = 0.5;
/// The assumed service time of requests while none has been measured, in milliseconds.
pub(crate) const DEFAULT_SERVICE_TIME_MS: f32 = 100.0;

impl RangeAssigner {
    /// Reassigns the segments whose owners are unusable.
    pub(crate) fn replace_unusable_owners(
        &mut self,
        now: Millis,
        version: u64,
        fences: &mut FenceCounter,
    ) -> bool {
        let usable = self.usable_servers(now);
        if usable.is_empty() {
            return false;
        }
        self.merge_segments();
        if self.segments.is_empty() {
            self.assign_initially(&usable, version, fences);
            return true;
        }
        self.split_off_longest_granted_keys(now);
        let mut loads = Vec::new();
        // The whole plan uses one fencing token, so that adjacent segments can be merged again.
        let mut fence = None;
        let mut index = 0;
        while index < self.segments.len() {
            let segment = &self.segments[index];
            let owner = self.server(segment.owner);
            let replaceable = match owner.status {
                // The new incarnation of the same server gets the keys back.
                Status::Superseded => true,
                // The segment is moved once its owner has accepted the new fencing token.
                _ if owner.is_leaving()
                    && segment.awaits_new_fence()
                    && self.accepts_orders(now, segment.owner) =>
                {
                    false
                }
                _ => !self.is_usable(now, segment.owner),
            };
            if !replaceable {
                index += 1;
                continue;
            }
            let successor =
                self.newer_incarnation_of(segment.owner).filter(|newer| usable.contains(newer));
            // A server that has just started may be cold, and then gets back only what it takes.
            let is_limited = |server: ServerIndex| self.server(server).rate_limit.is_some();
            let limited = successor.filter(|server| is_limited(*server));
            let parts = match successor {
                Some(_) if limited.is_none() => 1,
                _ => self.split(index, MAX_PARTS_OF_ORPHANED_RANGE),
            };
            if loads.is_empty() {
                loads = self.server_loads(&usable);
            }
            for part in index..index + parts {
                let rate = self.load.rate_of(self.segments[part].range).max(MIN_RATE);
                let least = least_busy_with(&loads, rate).unwrap_or_default();
                let has_room =
                    |load: &Load| Some(load.server) == limited && load.rate + rate <= load.capacity;
                let to = match successor {
                    Some(server) if limited.is_none() || loads.iter().any(has_room) => server,
                    _ => loads[least].server,
                };
                if let Some(load) = loads.iter_mut().find(|load| load.server == to) {
                    load.rate += rate;
                }
                let fence = *fence.get_or_insert_with(|| fences.issue());
                self.segments[part].reassign(to, version, fence);
            }
            index += parts;
        }
        fence.is_some()
    }

    /// Splits the probe key off the segments of unusable servers if it may be held for longer than
    /// the other keys, so that these can be reassigned earlier.
    fn split_off_longest_granted_keys(&mut self, now: Millis) {
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            let owner = ServerIndex(index as u32);
            let Some(key) = server.longest_granted_key().filter(|_| !self.is_usable(now, owner))
            else {
                continue;
            };
            let held = |segment: &Segment| segment.owner == owner && segment.range.contains(key);
            if let Some(segment) = self.segments.iter().position(held) {
                self.split_off(segment, KeyRange { first: key, last: key });
            }
        }
    }

    /// Returns the servers that may get keys.
    pub(crate) fn usable_servers(&self, now: Millis) -> Vec<ServerIndex> {
        let servers = (0..self.servers.len()).map(|index| ServerIndex(index as u32));
        let is_evacuated = |index: &ServerIndex| self.server(*index).evacuated_since.is_some();
        servers.filter(|index| self.is_usable(now, *index) && !is_evacuated(index)).collect()
    }

    pub(crate) fn server_loads(&self, usable: &[ServerIndex]) -> Vec<Load> {
        let prior = ServiceTime::mean(
            usable.iter().map(|index| self.server(*index).service_time),
            DEFAULT_SERVICE_TIME_MS,
        );
        let mut rates = vec![0.0; self.servers.len()];
        for segment in &self.segments {
            rates[segment.owner.0 as usize] += self.load.rate_of(segment.range);
        }
        let load = |index: &ServerIndex| Load {
            server: *index,
            rate: rates[index.0 as usize],
            capacity: self.server(*index).capacity(self.server(*index).service_time, prior),
        };
        usable.iter().map(load).collect()
    }

    /// Returns the newest incarnation of the same server that is newer than the given one.
    fn newer_incarnation_of(&self, index: ServerIndex) -> Option<ServerIndex> {
        let incarnation = &self.server(index).incarnation;
        let newer = self.servers.iter().enumerate().filter(|(_, other)| {
            other.incarnation.id == incarnation.id
                && other.incarnation.started_at > incarnation.started_at
        });
        newer
            .max_by_key(|(_, other)| other.incarnation.started_at)
            .map(|(index, _)| ServerIndex(index as u32))
    }

    /// Divides all keys among the usable servers in proportion to their slots.
    fn assign_initially(
        &mut self,
        usable: &[ServerIndex],
        version: u64,
        fences: &mut FenceCounter,
    ) {
        let slots: u32 = usable.iter().map(|index| self.server(*index).slots).sum();
        let mut assigned_slots = 0;
        let mut first = 0;
        for index in usable {
            assigned_slots += self.server(*index).slots;
            let end = (u64::from(KeyRange::ALL.count()) * u64::from(assigned_slots)
                / u64::from(slots)) as u32;
            if end > first {
                let range = KeyRange { first: first as u16, last: (end - 1) as u16 };
                let fence = fences.issue();
                let phase = Phase::Planned { previous_owners: Vec::new(), current: None };
                self.segments.push(Segment {
                    range,
                    owner: *index,
                    fence,
                    version,
                    granted: false,
                    adopted: false,
                    phase,
                });
                first = end;
            }
        }
    }

    /// Merges adjacent segments that a server holds under the same fencing token.
    fn merge_segments(&mut self) {
        let servers = &self.servers;
        self.segments.dedup_by(|next, segment| {
            let token_of =
                |segment: &Segment| servers[segment.owner.0 as usize].token(segment.fence);
            let mergeable = segment.phase == Phase::Held
                && !segment.adopted
                && !next.adopted
                && next.phase == Phase::Held
                && segment.owner == next.owner
                && token_of(segment) == token_of(next);
            if mergeable {
                segment.fence = segment.fence.max(next.fence);
                segment.range.last = next.range.last;
                segment.version = segment.version.max(next.version);
            }
            mergeable
        });
    }

    /// Splits a segment into up to `parts` parts of about the same number of keys. Returns the
    /// number of parts.
    pub(crate) fn split(&mut self, index: usize, parts: u32) -> usize {
        let range = self.segments[index].range;
        let parts = parts.min(range.count() / MIN_KEYS_PER_PART);
        if parts < 2 || self.segments.len() >= max_segments(self.servers.len()) {
            return 1;
        }
        let segment = self.segments[index].clone();
        let bounds: Vec<u32> =
            (0..=parts).map(|part| u32::from(range.first) + range.count() * part / parts).collect();
        let split = bounds.windows(2).map(|pair| Segment {
            range: KeyRange { first: pair[0] as u16, last: (pair[1] - 1) as u16 },
            ..segment.clone()
        });
        self.segments.splice(index..=index, split);
        parts as usize
    }

    /// Splits `range` off a segment into a segment of its own. Returns the index of that segment.
    pub(crate) fn split_off(&mut self, index: usize, range: KeyRange) -> usize {
        let segment = self.segments[index].clone();
        let whole = segment.range;
        let mut parts = Vec::new();
        if whole.first < range.first {
            let range = KeyRange { first: whole.first, last: range.first - 1 };
            parts.push(Segment { range, ..segment.clone() });
        }
        let new_index = index + parts.len();
        parts.push(Segment { range, ..segment.clone() });
        if range.last < whole.last {
            let range = KeyRange { first: range.last + 1, last: whole.last };
            parts.push(Segment { range, ..segment });
        }
        self.segments.splice(index..=index, parts);
        new_index
    }
}

/// The load and the capacity of a server, in requests per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) server: ServerIndex,
    pub(crate) rate: f32,
    pub(crate) capacity: f32,
}

impl Load {
    pub(crate) fn utilization(&self) -> f32 {
        self.rate / self.capacity
    }
}

/// Returns the maximum number of segments for this many servers.
pub(crate) fn max_segments(servers: usize) -> usize {
    MAX_SEGMENTS.max(servers * MAX_SEGMENTS_PER_SERVER).min(MAX_STORED_SEGMENTS)
}

/// Returns the load whose utilization is the lowest with this rate in addition.
fn least_busy_with(loads: &[Load], rate: f32) -> Option<usize> {
    let with = |index: &usize| (loads[*index].rate + rate) / loads[*index].capacity;
    (0..loads.len()).min_by(|a, b| with(a).total_cmp(&with(b)))
}

pub(crate) fn least_busy(loads: &[Load]) -> Option<usize> {
    (0..loads.len()).min_by(|a, b| loads[*a].utilization().total_cmp(&loads[*b].utilization()))
}
