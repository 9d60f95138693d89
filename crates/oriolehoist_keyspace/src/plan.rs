use {
    crate::{
        Fences, Keeper,
        server::{ServerKey, Standing, Work},
        slice::{Slice, Step},
    },
    oriolehoist_port::KeyRange,
    oriolehoist_time::Millis,
};

/// Time between looks at the balance, so that the load settles after a move.
const BALANCE_INTERVAL: Millis = Millis(400);
/// A server that is used this much more than the mean gives keys away.
const TOO_BUSY: f32 = 1.15;
/// A server that is used less than this share of its time keeps its keys.
const WORTH_BALANCING: f32 = 0.25;
/// A key that uses more than this share of its owner alone is too hot for it.
const TOO_HOT: f32 = 0.6;
/// How much faster another server has to be to be worth the move of such a key.
const MUCH_FASTER: f32 = 1.25;
/// The greatest number of moves that one look starts.
const MOVES_AT_ONCE: usize = 8;
/// The greatest number of ranges, which bounds the renewals and the size of the table.
const MOST_SLICES: usize = 200;
/// The greatest number of keys that one move for balance may take.
const MOST_KEYS_MOVED: u16 = 1 << 11;
/// Into how many parts the range of a server that left is cut at most.
const PARTS_OF_LEFT_RANGE: u32 = 3;
/// A range is not cut into parts with fewer keys than this.
const NARROW: u32 = 1 << 10;
/// What a range without load counts when ranges are given to servers, in requests a second.
const LEAST_RATE: f32 = 0.5;
/// The work of a request while no server's is known, in milliseconds.
const USUAL_WORK: f32 = 100.0;

impl Keeper {
    /// Lets owners that an earlier assigner left go on under a new fence, also those that leave.
    ///
    /// Answers losses and leaving servers right after a takeover: grants that the earlier assigner
    /// sent may be carried out late, and would otherwise have to lapse before a range can move.
    pub(crate) fn refence_adopted(
        &mut self,
        now: Millis,
        version: u64,
        fences: &mut Fences,
    ) -> bool {
        let mut fence = None;
        for index in 0..self.slices.len() {
            let slice = &self.slices[index];
            let alone = slice.adopted && slice.step == Step::Held;
            if alone && self.server(slice.owner).takes_orders(now) {
                let fence = *fence.get_or_insert_with(|| fences.issue());
                self.slices[index].refence(version, fence);
            }
        }
        fence.is_some()
    }

    /// Gives ranges that no usable server owns to others.
    pub(crate) fn replace_unusable(
        &mut self,
        now: Millis,
        version: u64,
        fences: &mut Fences,
    ) -> bool {
        let usable = self.usable(now);
        if usable.is_empty() {
            return false;
        }
        self.merge();
        if self.slices.is_empty() {
            self.assign_first(&usable, version, fences);
            return true;
        }
        self.part_keys_held_longer(now);
        let mut loads = self.loads(&usable);
        // One fence for the whole plan, so that neighbours can be joined again.
        let mut fence = None;
        let mut index = 0;
        while index < self.slices.len() {
            let slice = &self.slices[index];
            let owner = self.server(slice.owner);
            let replaceable = match owner.standing {
                // The same server in its new life gets the keys back.
                Standing::Ended => true,
                // It moves once its owner has taken the new fence.
                Standing::Leaving if slice.is_refenced() && owner.takes_orders(now) => false,
                _ => !owner.is_usable(now),
            };
            if !replaceable {
                index += 1;
                continue;
            }
            let successor = self.new_life_of(slice.owner).filter(|life| usable.contains(life));
            let parts = match successor {
                Some(_) => 1,
                None => self.cut(index, PARTS_OF_LEFT_RANGE),
            };
            for part in index..index + parts {
                let least = least_used(&loads).unwrap_or_default();
                let to = successor.unwrap_or(loads[least].key);
                let rate = self.load.of(self.slices[part].range).max(LEAST_RATE);
                if let Some(load) = loads.iter_mut().find(|load| load.key == to) {
                    load.rate += rate;
                }
                let fence = *fence.get_or_insert_with(|| fences.issue());
                self.slices[part].reassign(to, version, fence);
            }
            index += parts;
        }
        fence.is_some()
    }

    /// Cuts out of the ranges of lost servers what each may hold for longer, so that the rest need
    /// not wait for it.
    fn part_keys_held_longer(&mut self, now: Millis) {
        for index in 0..self.servers.len() {
            let server = &self.servers[index];
            let Some(key) = server.key_held_longer().filter(|_| !server.is_usable(now)) else {
                continue;
            };
            let owner = ServerKey(index as u32);
            let held = |slice: &Slice| slice.owner == owner && slice.range.contains(key);
            if let Some(slice) = self.slices.iter().position(held) {
                self.carve(slice, KeyRange { first: key, last: key });
            }
        }
    }

    /// Moves the busiest keys of servers that have too much to those that have least.
    ///
    /// Answers a load that gathers on few keys: the price of a move is its share of all keys, so
    /// the fewest keys with the most load are moved.
    pub(crate) fn balance(&mut self, now: Millis, version: u64, fences: &mut Fences) -> bool {
        let moving = self.slices.iter().filter(|slice| slice.step != Step::Held).count();
        if now.since(self.balanced_at) < BALANCE_INTERVAL || moving > MOVES_AT_ONCE {
            return false;
        }
        self.balanced_at = now;
        self.load.decay(now);
        let usable = self.usable(now);
        let mut loads = self.loads(&usable);
        let rate: f32 = loads.iter().map(|load| load.rate).sum();
        let mean = rate / loads.iter().map(|load| load.capacity).sum::<f32>().max(0.001);
        let mut fence = None;
        if let Some((part, to)) = self.hottest_key_elsewhere(now, &loads) {
            let new = fences.issue();
            self.slices[part].reassign(to, version, new);
            fence = Some(new);
            loads = self.loads(&usable);
        }
        for _ in 0..MOVES_AT_ONCE {
            let (Some(busiest), Some(least)) = (busiest(&loads), least_used(&loads)) else { break };
            let (from, to) = (loads[busiest], loads[least]);
            // Its keys would be nobody's until the grants without an answer have lapsed.
            let blocked = self.server(from.key).late_until(KeyRange::ALL, false) > now;
            let enough = blocked || from.use_share() < (mean * TOO_BUSY).max(WORTH_BALANCING);
            if enough || self.slices.len() >= MOST_SLICES {
                break;
            }
            // What brings the one down to the mean, but not the other above it.
            let over = (from.use_share() - mean) * from.capacity;
            let room = (mean - to.use_share()) * to.capacity;
            let Some(piece) = self.busy_piece(from.key, over.min(room)) else { break };
            let part = self.carve(piece.index, piece.range);
            let fence = *fence.get_or_insert_with(|| fences.issue());
            self.slices[part].reassign(to.key, version, fence);
            loads[busiest].rate -= piece.rate;
            loads[least].rate += piece.rate;
        }
        fence.is_some()
    }

    /// Cuts the hottest key out for the fastest server, if it alone is too much for its owner.
    ///
    /// Answers a key that no share of the other keys can be balanced against. What else the
    /// fastest server holds is then moved away from it as from any server that is too busy.
    fn hottest_key_elsewhere(&mut self, now: Millis, loads: &[Load]) -> Option<(usize, ServerKey)> {
        let (key, rate) = self.load.hottest()?;
        let index = self.slices.iter().position(|slice| slice.range.contains(key))?;
        let slice = &self.slices[index];
        let owner = loads.iter().find(|load| load.key == slice.owner)?;
        let fastest = loads.iter().max_by(|a, b| a.capacity.total_cmp(&b.capacity))?;
        let worth_it = slice.step == Step::Held
            && rate > owner.capacity * TOO_HOT
            && fastest.capacity > owner.capacity * MUCH_FASTER
            && self.server(slice.owner).late_until(slice.range, slice.adopted) <= now
            && self.slices.len() < MOST_SLICES;
        let part = worth_it.then(|| self.carve(index, KeyRange { first: key, last: key }))?;
        Some((part, fastest.key))
    }

    fn usable(&self, now: Millis) -> Vec<ServerKey> {
        let keys = (0..self.servers.len()).map(|index| ServerKey(index as u32));
        keys.filter(|key| self.server(*key).is_usable(now)).collect()
    }

    fn loads(&self, usable: &[ServerKey]) -> Vec<Load> {
        let usual = Work::mean(usable.iter().map(|key| self.server(*key).work), USUAL_WORK);
        let load = |key: &ServerKey| {
            let server = self.server(*key);
            let owned = self.slices.iter().filter(|slice| slice.owner == *key);
            Load {
                key: *key,
                rate: owned.map(|slice| self.load.of(slice.range)).sum(),
                capacity: server.slots as f32 * 1000.0 / server.work.expected(usual).max(1.0),
            }
        };
        usable.iter().map(load).collect()
    }

    fn new_life_of(&self, key: ServerKey) -> Option<ServerKey> {
        let life = &self.server(key).life;
        let newer = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, other)| other.life.id == life.id && other.life.born > life.born);
        newer.max_by_key(|(_, other)| other.life.born).map(|(index, _)| ServerKey(index as u32))
    }

    /// Divides all keys among the servers by their slots.
    fn assign_first(&mut self, usable: &[ServerKey], version: u64, fences: &mut Fences) {
        let slots: u32 = usable.iter().map(|key| self.server(*key).slots).sum();
        let mut given = 0;
        let mut first = 0;
        for key in usable {
            given += self.server(*key).slots;
            let end =
                (u64::from(KeyRange::ALL.count()) * u64::from(given) / u64::from(slots)) as u32;
            if end > first {
                let range = KeyRange { first: first as u16, last: (end - 1) as u16 };
                let fence = fences.issue();
                let step = Step::Planned { formers: Vec::new(), renewed: None };
                self.slices.push(Slice {
                    range,
                    owner: *key,
                    fence,
                    version,
                    granted: false,
                    adopted: false,
                    refencing: false,
                    step,
                });
                first = end;
            }
        }
    }

    /// Joins neighbouring ranges that one server holds under one fence.
    fn merge(&mut self) {
        self.slices.dedup_by(|next, slice| {
            let joined = slice.step == Step::Held
                && !slice.adopted
                && !next.adopted
                && next.step == Step::Held
                && (slice.owner, slice.fence) == (next.owner, next.fence);
            if joined {
                slice.range.last = next.range.last;
                slice.version = slice.version.max(next.version);
            }
            joined
        });
    }

    /// Cuts a slice into `parts` of about the same number of keys. Returns how many there are.
    fn cut(&mut self, index: usize, parts: u32) -> usize {
        let range = self.slices[index].range;
        let parts = parts.min(range.count() / NARROW);
        if parts < 2 || self.slices.len() >= MOST_SLICES {
            return 1;
        }
        let slice = self.slices[index].clone();
        let bounds: Vec<u32> =
            (0..=parts).map(|part| u32::from(range.first) + range.count() * part / parts).collect();
        let pieces = bounds.windows(2).map(|pair| Slice {
            range: KeyRange { first: pair[0] as u16, last: (pair[1] - 1) as u16 },
            ..slice.clone()
        });
        self.slices.splice(index..=index, pieces);
        parts as usize
    }

    /// Returns the run of neighbouring keys of a server that has most load, at most `wanted`.
    fn busy_piece(&self, server: ServerKey, wanted: f32) -> Option<Piece> {
        let held = self.slices.iter().enumerate();
        let held = held.filter(|(_, slice)| {
            slice.owner == server && slice.step == Step::Held && !slice.adopted
        });
        held.filter_map(|(index, slice)| {
            let keys: Vec<(u16, f32)> = self.load.within(slice.range).collect();
            let (range, rate) = busiest_run(&keys, wanted)?;
            Some(Piece { index, range, rate })
        })
        .max_by(|a, b| a.rate.total_cmp(&b.rate))
    }

    /// Cuts `range` out of a slice. Returns where it is then.
    fn carve(&mut self, index: usize, range: KeyRange) -> usize {
        let slice = self.slices[index].clone();
        let whole = slice.range;
        let mut pieces = Vec::new();
        if whole.first < range.first {
            let range = KeyRange { first: whole.first, last: range.first - 1 };
            pieces.push(Slice { range, ..slice.clone() });
        }
        let at = index + pieces.len();
        pieces.push(Slice { range, ..slice.clone() });
        if range.last < whole.last {
            let range = KeyRange { first: range.last + 1, last: whole.last };
            pieces.push(Slice { range, ..slice });
        }
        self.slices.splice(index..=index, pieces);
        at
    }
}

/// A server with what it has and what it can do, in requests a second.
#[derive(Clone, Copy, Debug)]
struct Load {
    key: ServerKey,
    rate: f32,
    capacity: f32,
}

impl Load {
    fn use_share(&self) -> f32 {
        self.rate / self.capacity
    }
}

/// A run of keys within a slice.
struct Piece {
    index: usize,
    range: KeyRange,
    rate: f32,
}

/// Returns the run of keys with the most load, at most `wanted`, that is no wider than allowed.
fn busiest_run(keys: &[(u16, f32)], wanted: f32) -> Option<(KeyRange, f32)> {
    let mut best: Option<(KeyRange, f32)> = None;
    let mut first = 0;
    let mut rate = 0.0;
    for (last, (key, load)) in keys.iter().enumerate() {
        rate += load;
        while first <= last && (rate > wanted || key - keys[first].0 >= MOST_KEYS_MOVED) {
            rate -= keys[first].1;
            first += 1;
        }
        if first <= last && best.as_ref().is_none_or(|best| rate > best.1) {
            best = Some((KeyRange { first: keys[first].0, last: *key }, rate));
        }
    }
    best
}

fn busiest(loads: &[Load]) -> Option<usize> {
    (0..loads.len()).max_by(|a, b| loads[*a].use_share().total_cmp(&loads[*b].use_share()))
}

fn least_used(loads: &[Load]) -> Option<usize> {
    (0..loads.len()).min_by(|a, b| loads[*a].use_share().total_cmp(&loads[*b].use_share()))
}
