use {oriolehoist_time::Millis, std::collections::BTreeMap};

/// The maximum number of speeds in a message. Each takes at most eleven bytes.
pub const MAX_ANNOUNCED: usize = 1000;
/// An estimate that differs from the announced one by this part of it is announced again.
const ANNOUNCED_CHANGE: f32 = 0.1;
/// An estimate that differs from the logged one by this part of it is logged again.
const LOGGED_CHANGE: f32 = 1.0 / 3.0;
/// How often all speeds are sent again, as a message may be lost.
const REFRESH_INTERVAL: Millis = Millis(2000);
/// The maximum number of speeds per second that are sent again although they have not changed, which
/// is about 1 KB/s. With more than 250 servers, a refresh takes longer than two seconds.
const REFRESHED_PER_SECOND: u64 = 125;

/// The service time of a server, by its short id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Speed {
    /// The short id of the server.
    pub server: u32,
    /// How long it takes for a request, in tenths of a millisecond.
    pub tenths: u32,
}

/// An estimate that has changed by a third since it was last logged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The short id of the server.
    pub server: u32,
    /// The service time that was logged before, in milliseconds, if there was one.
    pub from: Option<f32>,
    /// The service time now, in milliseconds.
    pub to: f32,
}

/// Returns how often each of this many speeds is sent again.
pub fn refresh_interval(servers: usize) -> Millis {
    REFRESH_INTERVAL.max(Millis(servers as u64 * 1000 / REFRESHED_PER_SECOND))
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tenths: u32,
    /// The number of the change that set it.
    change: u64,
    heard_at: Millis,
    logged: f32,
}

/// The speeds that a daemon sends others: those that it has estimated as the assigner, or received as a
/// relay.
#[derive(Clone, Debug, Default)]
pub struct Announced {
    entries: BTreeMap<u32, Entry>,
    /// The number of changes.
    changes: u64,
}

/// What one receiver has been sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cursor {
    /// The number of changes when the last message was sent.
    changes: u64,
    /// The first server of the next part of a refresh, if one has been started.
    next: Option<u32>,
    refreshed_at: Option<Millis>,
}

impl Announced {
    /// Records the estimate of a server, in milliseconds. Returns the change if it is large enough to be
    /// logged.
    pub fn estimate(&mut self, now: Millis, server: u32, millis: f32) -> Option<Change> {
        let tenths = (millis * 10.0).round().max(1.0) as u32;
        let change = |from| Some(Change { server, from, to: millis });
        let Some(entry) = self.entries.get_mut(&server) else {
            self.changes += 1;
            let new = Entry { tenths, change: self.changes, heard_at: now, logged: millis };
            self.entries.insert(server, new);
            return change(None);
        };
        entry.heard_at = now;
        if entry.tenths.abs_diff(tenths) as f32 >= entry.tenths as f32 * ANNOUNCED_CHANGE {
            self.changes += 1;
            (entry.tenths, entry.change) = (tenths, self.changes);
        }
        let logged = entry.logged;
        if (millis - logged).abs() < logged * LOGGED_CHANGE {
            return None;
        }
        entry.logged = millis;
        change(Some(logged))
    }

    /// Records a speed that another daemon has announced.
    pub fn receive(&mut self, now: Millis, speed: Speed) {
        let Speed { server, tenths } = speed;
        let logged = tenths as f32 / 10.0;
        let new = Entry { tenths: 0, change: self.changes, heard_at: now, logged };
        let entry = self.entries.entry(server).or_insert(new);
        entry.heard_at = now;
        if entry.tenths != tenths {
            self.changes += 1;
            (entry.tenths, entry.change) = (tenths, self.changes);
        }
    }

    /// Forgets the speeds that were neither estimated nor received for longer than `max_age`.
    pub fn expire(&mut self, now: Millis, max_age: Millis) {
        self.entries.retain(|_, entry| now.since(entry.heard_at) <= max_age);
    }

    /// Returns all speeds.
    pub fn speeds(&self) -> impl Iterator<Item = Speed> {
        let speed =
            |(server, entry): (&u32, &Entry)| Speed { server: *server, tenths: entry.tenths };
        self.entries.iter().map(speed)
    }

    /// Returns the number of speeds.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the speeds to send to a receiver with the next message: those that have changed since the
    /// last one, and a part of the others so that all are sent again within the refresh interval. A new
    /// receiver gets all at once, as far as they fit into a message.
    pub fn due(&self, now: Millis, cursor: &mut Cursor) -> Vec<Speed> {
        let speed =
            |(server, entry): (&u32, &Entry)| Speed { server: *server, tenths: entry.tenths };
        let known = std::mem::replace(&mut cursor.changes, self.changes);
        let is_new = cursor.refreshed_at.is_none();
        let interval = refresh_interval(self.entries.len());
        let elapsed = cursor.refreshed_at.map_or(interval, |at| now.since(at)).min(interval);
        let refreshed = (self.entries.len() as u64 * elapsed.0 / interval.0) as usize;
        let refreshed = refreshed.min(MAX_ANNOUNCED);
        let mut due = BTreeMap::new();
        if refreshed > 0 {
            cursor.refreshed_at = Some(now);
            let first = cursor.next.unwrap_or_default();
            let after = self.entries.range(first..).chain(self.entries.range(..first));
            for entry in after.take(refreshed) {
                cursor.next = entry.0.checked_add(1);
                due.insert(*entry.0, speed(entry));
            }
        }
        let changed = self.entries.iter().filter(|(_, entry)| entry.change > known && !is_new);
        let changed: Vec<Speed> = changed.map(speed).collect();
        for change in changed {
            if due.len() < MAX_ANNOUNCED {
                due.insert(change.server, change);
            }
        }
        due.into_values().collect()
    }
}
