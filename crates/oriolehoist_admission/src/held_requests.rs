use {oriolehoist_time::Millis, std::collections::BTreeMap};

/// The maximum number of requests that wait at a daemon.
const MAX_HELD: usize = 256;
/// The maximum size of their bodies together, in bytes.
const MAX_HELD_BYTES: usize = 8 << 20;

/// A request that waits at a daemon until its server's queue leaves room for more urgent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldRequest<Q> {
    /// The queue that it waits for: a service, or the owner of its key.
    pub queue: Q,
    /// The priority of its route; 0 is the most urgent.
    pub priority: u32,
    /// The latest time at which it tries again.
    pub slack_ends: Millis,
    /// When it would try again if it were alone.
    pub turn: Millis,
    /// The size of its body.
    pub body_bytes: usize,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HoldId(u64);

/// The requests that wait at a daemon, and the order in which they try again.
///
/// Each has a turn. If another one that waits for the same queue comes first by priority, or by the end
/// of its slack, the two exchange their turns. A request whose slack ends tries again in any case.
#[derive(Debug)]
pub struct HeldRequests<Q> {
    requests: BTreeMap<HoldId, HeldRequest<Q>>,
    body_bytes: usize,
    last_id: u64,
    is_closed: bool,
}

impl<Q> Default for HeldRequests<Q> {
    fn default() -> HeldRequests<Q> {
        HeldRequests { requests: BTreeMap::new(), body_bytes: 0, last_id: 0, is_closed: false }
    }
}

impl<Q: PartialEq> HeldRequests<Q> {
    /// Adds a request. Returns `None` if there is no room for it, or the daemon stops.
    pub fn hold(&mut self, request: HeldRequest<Q>) -> Option<HoldId> {
        let body_bytes = self.body_bytes.saturating_add(request.body_bytes);
        let is_full = self.requests.len() >= MAX_HELD || body_bytes > MAX_HELD_BYTES;
        if is_full || self.is_closed {
            return None;
        }
        self.body_bytes = body_bytes;
        self.last_id += 1;
        let id = HoldId(self.last_id);
        let turn = request.turn.min(request.slack_ends);
        self.requests.insert(id, HeldRequest { turn, ..request });
        Some(id)
    }

    /// Returns when a request that still waits has its turn. It may become later, but never earlier.
    pub fn turn(&self, id: HoldId) -> Option<Millis> {
        self.requests.get(&id).map(|request| request.turn)
    }

    /// Removes the next request that tries again at `now`, if there is one.
    pub fn take_due(&mut self, now: Millis) -> Option<HoldId> {
        let by_order = |(id, request): &(&HoldId, &HeldRequest<Q>)| {
            (request.priority, request.slack_ends, **id)
        };
        let due = || self.requests.iter().filter(|(_, request)| request.turn <= now);
        let out_of_time = due().filter(|(_, request)| request.slack_ends <= now);
        let (due_id, due) =
            out_of_time.min_by_key(by_order).or_else(|| due().min_by_key(by_order))?;
        let due_id = *due_id;
        if due.slack_ends <= now {
            self.remove(due_id);
            return Some(due_id);
        }
        let same_queue = self.requests.iter().filter(|(_, request)| request.queue == due.queue);
        let first_id = same_queue.min_by_key(by_order).map_or(due_id, |(id, _)| *id);
        let first = self.remove(first_id)?;
        if let Some(due) = self.requests.get_mut(&due_id) {
            due.turn = first.turn.min(due.slack_ends);
        }
        Some(first_id)
    }

    /// Removes a request, as its caller has left. Returns it if it still waited.
    pub fn remove(&mut self, id: HoldId) -> Option<HeldRequest<Q>> {
        let request = self.requests.remove(&id)?;
        self.body_bytes -= request.body_bytes;
        Some(request)
    }

    /// Removes all requests, and takes no more: the daemon stops.
    pub fn close(&mut self) {
        self.is_closed = true;
        self.requests.clear();
        self.body_bytes = 0;
    }
}
