use {
    crate::{
        Fences, Keeper,
        load::BUCKET_KEYS,
        server::{ServerKey, Standing},
        slice::{Slice, Step},
    },
    oriolehoist_port::KeyRange,
    oriolehoist_time::Millis,
};

/// Time between looks at the balance, so that the load settles after a move.
const BALANCE_INTERVAL: Millis = Millis(700);
/// A server this far above the mean load for its slots gives keys away.
const TOO_BUSY: f32 = 1.25;
/// Below this many requests a second for each slot, balance is not worth a move.
const WORTH_BALANCING: f32 = 1.0;
/// The greatest number of moves that one look starts.
const MOVES_AT_ONCE: usize = 6;
/// The greatest number of ranges, which bounds the renewals and the size of the table.
const MOST_SLICES: usize = 160;
/// The greatest share of all keys that one move for balance may take.
const MOST_KEYS_MOVED: u32 = 1 << 11;
/// Into how many parts the range of a server that left is cut at most.
const PARTS_OF_LEFT_RANGE: u32 = 3;

impl Keeper {
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
        if self.slices.is_empty() {
            self.assign_first(&usable, version, fences);
            return true;
        }
        let mut loads = self.loads(&usable);
        let mut changed = false;
        let mut index = 0;
        while index < self.slices.len() {
            let slice = &self.slices[index];
            let owner = self.server(slice.owner);
            let replaceable = match owner.standing {
                // The same server in its new life gets the keys back.
                Standing::Ended => true,
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
                let to = successor.unwrap_or_else(|| least_loaded(&loads));
                let load = self.load.of(self.slices[part].range).max(0.001);
                if let Some(entry) = loads.iter_mut().find(|entry| entry.0 == to) {
                    entry.1 += load / entry.2;
                }
                self.slices[part].reassign(to, version, fences.issue());
            }
            changed = true;
            index += parts;
        }
        changed
    }

    /// Moves the busiest keys of servers that have too much to those that have least.
    pub(crate) fn balance(&mut self, now: Millis, version: u64, fences: &mut Fences) -> bool {
        if now.since(self.balanced_at) < BALANCE_INTERVAL
            || self.slices.iter().filter(|slice| slice.step != Step::Held).count() > MOVES_AT_ONCE
        {
            return false;
        }
        self.balanced_at = now;
        let usable = self.usable(now);
        let mut loads = self.loads(&usable);
        let slots: f32 = loads.iter().map(|entry| entry.2).sum();
        let mean = loads.iter().map(|entry| entry.1 * entry.2).sum::<f32>() / slots.max(1.0);
        let mut changed = false;
        for _ in 0..MOVES_AT_ONCE {
            if mean < WORTH_BALANCING || self.slices.len() >= MOST_SLICES {
                break;
            }
            let Some(&busiest) = loads.iter().max_by(|a, b| a.1.total_cmp(&b.1)) else { break };
            let least = least_loaded(&loads);
            let Some(&least) = loads.iter().find(|entry| entry.0 == least) else { break };
            if busiest.1 < mean * TOO_BUSY {
                break;
            }
            // What brings the busiest to the mean, but not the other far above it.
            let wanted = ((busiest.1 - mean) * busiest.2).min((mean * 1.1 - least.1) * least.2);
            let Some((index, range, load)) = self.busy_piece(busiest.0, wanted) else { break };
            let part = self.carve(index, range);
            self.slices[part].reassign(least.0, version, fences.issue());
            for entry in &mut loads {
                match entry.0 {
                    key if key == busiest.0 => entry.1 -= load / entry.2,
                    key if key == least.0 => entry.1 += load / entry.2,
                    _ => {}
                }
            }
            changed = true;
        }
        changed
    }

    fn usable(&self, now: Millis) -> Vec<ServerKey> {
        let keys = (0..self.servers.len()).map(|index| ServerKey(index as u32));
        keys.filter(|key| self.server(*key).is_usable(now)).collect()
    }

    /// Returns each server with its load for each slot, and its slots.
    fn loads(&self, usable: &[ServerKey]) -> Vec<(ServerKey, f32, f32)> {
        let load = |key: ServerKey| -> f32 {
            let owned = self.slices.iter().filter(|slice| slice.owner == key);
            owned.map(|slice| self.load.of(slice.range)).sum()
        };
        usable
            .iter()
            .map(|key| {
                let slots = self.server(*key).slots as f32;
                (*key, load(*key) / slots, slots)
            })
            .collect()
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
            let end = (u64::from(KeyRange::ALL.len()) * u64::from(given) / u64::from(slots)) as u32;
            let end = end / BUCKET_KEYS * BUCKET_KEYS;
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
                    step,
                });
                first = end;
            }
        }
    }

    /// Cuts a slice into `parts` of about the same number of keys. Returns how many there are.
    fn cut(&mut self, index: usize, parts: u32) -> usize {
        let range = self.slices[index].range;
        let whole = range.len() / BUCKET_KEYS;
        let parts = parts.min(whole.max(1));
        if !range_is_aligned(range) || parts < 2 || self.slices.len() >= MOST_SLICES {
            return 1;
        }
        let slice = self.slices[index].clone();
        let bounds: Vec<u32> = (0..=parts)
            .map(|part| u32::from(range.first) + whole * part / parts * BUCKET_KEYS)
            .collect();
        let pieces = bounds.windows(2).map(|pair| Slice {
            range: KeyRange { first: pair[0] as u16, last: (pair[1] - 1) as u16 },
            ..slice.clone()
        });
        self.slices.splice(index..=index, pieces);
        parts as usize
    }

    /// Returns the busiest run of neighbouring buckets of a server with at most `wanted` load.
    fn busy_piece(&self, server: ServerKey, wanted: f32) -> Option<(usize, KeyRange, f32)> {
        let mut best: Option<(usize, KeyRange, f32)> = None;
        for (index, slice) in self.slices.iter().enumerate() {
            if slice.owner != server || slice.step != Step::Held {
                continue;
            }
            let mut first = u32::from(slice.range.first);
            let mut next = first;
            let mut load = 0.0;
            while next <= u32::from(slice.range.last) {
                let end = next + BUCKET_KEYS;
                load += self.load.of(bucket_at(next));
                while first < end && (load > wanted || end - first > MOST_KEYS_MOVED) {
                    load -= self.load.of(bucket_at(first));
                    first += BUCKET_KEYS;
                }
                if first < end && best.as_ref().is_none_or(|best| load > best.2) {
                    let range = KeyRange { first: first as u16, last: (end - 1) as u16 };
                    best = Some((index, range, load));
                }
                next = end;
            }
        }
        best.filter(|(_, _, load)| *load > 0.0)
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

fn bucket_at(first: u32) -> KeyRange {
    KeyRange { first: first as u16, last: (first + BUCKET_KEYS - 1) as u16 }
}

fn range_is_aligned(range: KeyRange) -> bool {
    u32::from(range.first).is_multiple_of(BUCKET_KEYS) && range.len().is_multiple_of(BUCKET_KEYS)
}

fn least_loaded(loads: &[(ServerKey, f32, f32)]) -> ServerKey {
    let least = loads.iter().min_by(|a, b| a.1.total_cmp(&b.1));
    least.map_or(ServerKey(0), |entry| entry.0)
}
