use {
    crate::Class,
    oriolehoist_time::Millis,
    std::collections::{BTreeMap, VecDeque},
};

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The properties of a request by which it is scheduled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The priority class.
    pub class: Class,
    /// The workspace; empty if there is none.
    pub workspace: String,
    /// The weight of the workspace relative to the other workspaces of the class.
    pub weight: u64,
    /// When the caller stops waiting for the response.
    pub deadline: Millis,
}

impl QueuedRequest {
    /// Creates a request whose workspace has the default weight of one.
    pub fn new(class: Class, workspace: impl Into<String>, deadline: Millis) -> QueuedRequest {
        QueuedRequest { class, workspace: workspace.into(), weight: 1, deadline }
    }
}

/// Queue with weighted fair scheduling between classes, and between the workspaces of a class.
///
/// This is stride scheduling: the class or workspace with the lowest pass value is served next, and
/// its pass value then advances by the inverse of its weight. A queue that was empty starts at the
/// pass value that the others have reached, so that no credit builds up while it has no requests.
#[derive(Debug, Default)]
pub struct FairQueue {
    classes: BTreeMap<Class, ClassQueue>,
    /// The pass value of each class. It is kept while the queue of the class is empty.
    passes: BTreeMap<Class, u64>,
    /// The highest pass value at which a class has been served.
    reached_pass: u64,
    len: usize,
    last_ticket: u64,
}

#[derive(Debug, Default)]
struct ClassQueue {
    workspaces: BTreeMap<String, WorkspaceQueue>,
    /// The highest pass value at which a workspace has been served.
    reached_pass: u64,
    len: usize,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    pass: u64,
    requests: VecDeque<(Ticket, QueuedRequest)>,
}

/// The stride of a class or workspace with a weight of one.
const STRIDE: u64 = 1 << 20;

impl FairQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of queued requests of `class` and of the classes above it.
    pub fn count_at_or_above(&self, class: Class) -> usize {
        self.classes.range(..=class).map(|(_, queue)| queue.len).sum()
    }

    /// Adds a request at the end of its workspace's queue.
    pub fn push(&mut self, request: QueuedRequest) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let class = request.class;
        let queue = self.classes.entry(class).or_default();
        if queue.len == 0 {
            let pass = self.passes.entry(class).or_default();
            *pass = (*pass).max(self.reached_pass);
        }
        queue.push(ticket, request);
        self.len += 1;
        ticket
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<(Ticket, QueuedRequest)> {
        let nonempty = self.classes.iter_mut().filter(|(_, queue)| queue.len > 0);
        let (class, queue) =
            nonempty.min_by_key(|(class, _)| self.passes.get(class).copied().unwrap_or(0))?;
        let next = queue.pop()?;
        let pass = self.passes.entry(*class).or_default();
        self.reached_pass = self.reached_pass.max(*pass);
        *pass += STRIDE / class.weight();
        self.len -= 1;
        Some(next)
    }

    /// Removes the request of a caller that disconnected. Returns whether it was still queued.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let removed = self.classes.values_mut().any(|queue| queue.remove(ticket));
        self.len -= usize::from(removed);
        removed
    }
}

impl ClassQueue {
    fn push(&mut self, ticket: Ticket, request: QueuedRequest) {
        let reached_pass = self.reached_pass;
        let workspace = self.workspaces.entry(request.workspace.clone()).or_default();
        if workspace.requests.is_empty() {
            workspace.pass = workspace.pass.max(reached_pass);
        }
        workspace.requests.push_back((ticket, request));
        self.len += 1;
    }

    fn pop(&mut self) -> Option<(Ticket, QueuedRequest)> {
        let (name, workspace) =
            self.workspaces.iter_mut().min_by_key(|(_, workspace)| workspace.pass)?;
        let name = name.clone();
        let next = workspace.requests.pop_front()?;
        self.reached_pass = self.reached_pass.max(workspace.pass);
        workspace.pass += STRIDE / next.1.weight.max(1);
        self.len -= 1;
        if workspace.requests.is_empty() {
            // Workspaces without requests are removed, so that the size of the map is bounded by
            // the number of queued requests. A workspace that is added again starts at
            // `reached_pass`.
            self.workspaces.remove(&name);
        }
        Some(next)
    }

    fn remove(&mut self, ticket: Ticket) -> bool {
        let found = self.workspaces.iter_mut().find_map(|(name, workspace)| {
            let at = workspace.requests.iter().position(|(queued, _)| *queued == ticket)?;
            workspace.requests.remove(at);
            Some((name.clone(), workspace.requests.is_empty()))
        });
        match found {
            Some((name, true)) => drop(self.workspaces.remove(&name)),
            Some((_, false)) => {}
            None => return false,
        }
        self.len -= 1;
        true
    }
}
