use {
    crate::{AdaptiveLimit, ClassQueue, Ticket, Waiting},
    oriolehoist_time::Millis,
};

/// The bounds of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateLimits {
    /// How many requests the server runs at once.
    pub slots: u32,
    /// How many requests may wait for the server at this daemon.
    pub queue: usize,
}

/// How a request entered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It may be sent now.
    Admitted,
    /// It waits; [`Gate::next`] names it when its turn comes.
    Queued(Ticket),
    /// It gets its final answer now.
    Refused(GateRefusal),
}

/// What to do with a waiting request whose turn it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It may be sent now.
    Send(Ticket),
    /// It gets its final answer now: a run would outlast its deadline.
    GiveUp(Ticket),
}

/// Why a gate refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateRefusal {
    /// Too many wait. Coming back after this time finds room, if the server goes on as it does.
    QueueFull(Millis),
    /// It could not be served before its deadline.
    DeadlineTooShort(Millis),
}

/// How a request that was admitted left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leave {
    /// The server answered after this time.
    Served(Millis),
    /// The server refused it for want of room.
    Shed,
    /// It failed otherwise, or its caller went away.
    Failed,
}

/// Decides, for one daemon and one server, when requests are sent.
#[derive(Debug)]
pub struct Gate {
    limits: GateLimits,
    limit: AdaptiveLimit,
    running: u32,
    queue: ClassQueue,
    /// Moving average of the service time, in eighths of a millisecond.
    service_eighths: u64,
    closed_until: Millis,
}

/// How long nothing is sent to a server that has just shed a request, in service times.
const SHED_PAUSE_SERVICES: u64 = 1;
/// The least of that pause.
const SHED_PAUSE_LEAST: Millis = Millis(2);
/// The greatest of that pause.
const SHED_PAUSE_MOST: Millis = Millis(50);

impl Gate {
    /// Creates a gate through which nothing has gone yet.
    pub fn new(limits: GateLimits) -> Gate {
        Gate {
            limits,
            limit: AdaptiveLimit::new(limits.slots),
            running: 0,
            queue: ClassQueue::default(),
            service_eighths: 0,
            closed_until: Millis::ZERO,
        }
    }

    /// Changes the bounds, when the settings say so.
    pub fn set_limits(&mut self, limits: GateLimits) {
        self.limits = limits;
        self.limit.set_slots(limits.slots);
    }

    /// Asks to send a request.
    pub fn enter(&mut self, now: Millis, waiting: Waiting) -> Entry {
        if self.queue.is_empty() && self.has_room(now) {
            self.running += 1;
            return Entry::Admitted;
        }
        let wait = self.expected_wait(&waiting);
        let room = (self.limits.queue * waiting.class.queue_percent()).div_ceil(100);
        match () {
            () if now + wait + self.service() >= waiting.deadline => {
                Entry::Refused(GateRefusal::DeadlineTooShort(wait))
            }
            () if self.queue.ahead_of(waiting.class) >= room => {
                Entry::Refused(GateRefusal::QueueFull(wait))
            }
            () => Entry::Queued(self.queue.push(waiting)),
        }
    }

    /// Notes that an admitted request has left.
    pub fn leave(&mut self, now: Millis, leave: Leave) {
        let at_limit = self.running >= self.limit.get();
        self.running = self.running.saturating_sub(1);
        match leave {
            Leave::Served(took) => {
                self.learn(took);
                if at_limit {
                    self.limit.on_served_at_limit();
                }
            }
            Leave::Shed => {
                self.limit.on_shed();
                self.closed_until = now + self.shed_pause();
            }
            Leave::Failed => {}
        }
    }

    /// Returns the next waiting request whose turn it is: to be sent, which counts it as admitted,
    /// or to be given up, since it would not be served before its deadline.
    pub fn next(&mut self, now: Millis) -> Option<Turn> {
        if !self.has_room(now) {
            return None;
        }
        let (ticket, waiting) = self.queue.pop()?;
        if now + self.service() >= waiting.deadline {
            return Some(Turn::GiveUp(ticket));
        }
        self.running += 1;
        Some(Turn::Send(ticket))
    }

    /// Forgets a waiting request whose caller has gone. Returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket)
    }

    /// Returns how long the gate stays closed after a shed request.
    pub fn closed_for(&self, now: Millis) -> Millis {
        self.closed_until.since(now)
    }

    /// Returns how many requests are at the server.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns how many requests wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the present limit.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    fn has_room(&self, now: Millis) -> bool {
        self.running < self.limit.get() && now >= self.closed_until
    }

    fn service(&self) -> Millis {
        Millis(self.service_eighths / 8)
    }

    fn learn(&mut self, took: Millis) {
        self.service_eighths = match self.service_eighths {
            0 => took.0 * 8,
            old => old - old / 8 + took.0,
        };
    }

    fn expected_wait(&self, waiting: &Waiting) -> Millis {
        let ahead = self.queue.ahead_of(waiting.class) as u64 + 1;
        let rounds = ahead.div_ceil(u64::from(self.limit.get()));
        self.service() * rounds
    }

    fn shed_pause(&self) -> Millis {
        (self.service() * SHED_PAUSE_SERVICES).clamp(SHED_PAUSE_LEAST, SHED_PAUSE_MOST)
    }
}
