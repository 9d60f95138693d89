use {
    crate::Class,
    oriolehoist_time::Millis,
    std::collections::{BTreeMap, VecDeque},
};

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What the queue needs to know of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Its class.
    pub class: Class,
    /// Its tenant; empty if it has none.
    pub tenant: String,
    /// The tenant's weight against the others of the class.
    pub weight: u64,
    /// When its caller stops waiting.
    pub deadline: Millis,
}

impl Waiting {
    /// Describes a request of a tenant of the usual weight.
    pub fn new(class: Class, tenant: impl Into<String>, deadline: Millis) -> Waiting {
        Waiting { class, tenant: tenant.into(), weight: 1, deadline }
    }
}

/// Waiting requests in the order of a fair share: between classes, and between tenants of a class.
///
/// Stride scheduling: whoever is served moves on by the inverse of its weight, and the one that
/// has moved least is next. A lane that was empty starts level with the others, so that waiting
/// long without requests earns nothing.
#[derive(Debug, Default)]
pub struct ClassQueue {
    lanes: BTreeMap<Class, Lane>,
    passes: BTreeMap<Class, u64>,
    level: u64,
    len: usize,
    last_ticket: u64,
}

#[derive(Debug, Default)]
struct Lane {
    tenants: BTreeMap<String, TenantLane>,
    level: u64,
    len: usize,
}

#[derive(Debug, Default)]
struct TenantLane {
    pass: u64,
    waiting: VecDeque<(Ticket, Waiting)>,
}

/// The stride of a weight of one.
const STRIDE: u64 = 1 << 20;

impl ClassQueue {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many requests of `class` and of more urgent classes wait.
    pub fn ahead_of(&self, class: Class) -> usize {
        self.lanes.range(..=class).map(|(_, lane)| lane.len).sum()
    }

    /// Adds a request at the end of its tenant's lane.
    pub fn push(&mut self, waiting: Waiting) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let class = waiting.class;
        let lane = self.lanes.entry(class).or_default();
        if lane.len == 0 {
            let pass = self.passes.entry(class).or_default();
            *pass = (*pass).max(self.level);
        }
        lane.push(ticket, waiting);
        self.len += 1;
        ticket
    }

    /// Takes the request that is next.
    pub fn pop(&mut self) -> Option<(Ticket, Waiting)> {
        let filled = self.lanes.iter_mut().filter(|(_, lane)| lane.len > 0);
        let (class, lane) =
            filled.min_by_key(|(class, _)| self.passes.get(class).copied().unwrap_or(0))?;
        let taken = lane.pop()?;
        let pass = self.passes.entry(*class).or_default();
        self.level = self.level.max(*pass);
        *pass += STRIDE / class.shares();
        self.len -= 1;
        Some(taken)
    }

    /// Removes a request whose caller has gone. Returns whether it was still waiting.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let removed = self.lanes.values_mut().any(|lane| lane.remove(ticket));
        self.len -= usize::from(removed);
        removed
    }
}

impl Lane {
    fn push(&mut self, ticket: Ticket, waiting: Waiting) {
        let level = self.level;
        let tenant = self.tenants.entry(waiting.tenant.clone()).or_default();
        if tenant.waiting.is_empty() {
            tenant.pass = tenant.pass.max(level);
        }
        tenant.waiting.push_back((ticket, waiting));
        self.len += 1;
    }

    fn pop(&mut self) -> Option<(Ticket, Waiting)> {
        let (name, tenant) = self.tenants.iter_mut().min_by_key(|(_, tenant)| tenant.pass)?;
        let name = name.clone();
        let taken = tenant.waiting.pop_front()?;
        self.level = self.level.max(tenant.pass);
        tenant.pass += STRIDE / taken.1.weight.max(1);
        self.len -= 1;
        if tenant.waiting.is_empty() {
            // Forgetting a tenant keeps the queue's size bound to what waits; its place is kept
            // by the lane's level.
            self.tenants.remove(&name);
        }
        Some(taken)
    }

    fn remove(&mut self, ticket: Ticket) -> bool {
        let found = self.tenants.iter_mut().find_map(|(name, tenant)| {
            let at = tenant.waiting.iter().position(|(t, _)| *t == ticket)?;
            tenant.waiting.remove(at);
            Some((name.clone(), tenant.waiting.is_empty()))
        });
        match found {
            Some((name, true)) => drop(self.tenants.remove(&name)),
            Some((_, false)) => {}
            None => return false,
        }
        self.len -= 1;
        true
    }
}
