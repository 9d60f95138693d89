use {
    oriolehoist_protocol::{Epoch, Incarnation, ServerName, ServiceName, ShardId},
    oriolehoist_time::Millis,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard},
    },
};

/// How a run at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It is under way, or its server died.
    Open,
    /// It took effect.
    Effect,
    /// It was given up before it took effect.
    Abandoned,
}

/// One request that a backend server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The service.
    pub service: ServiceName,
    /// The server.
    pub server: ServerName,
    /// The server's process life.
    pub incarnation: Incarnation,
    /// The request's id.
    pub request_id: String,
    /// The request's key.
    pub key: String,
    /// The key's shard, for a service that is split by key.
    pub shard: Option<ShardId>,
    /// The epoch under which it ran.
    pub epoch: Option<Epoch>,
    /// When it began, by the test's clock.
    pub began: Millis,
    /// When it ended.
    pub ended: Millis,
    /// How it ended.
    pub end: RunEnd,
}

/// A time during which a server believed that it owned a shard.
#[derive(Clone, Debug)]
pub struct Belief {
    /// The service.
    pub service: ServiceName,
    /// The server.
    pub server: ServerName,
    /// The server's process life.
    pub incarnation: Incarnation,
    /// The shard.
    pub shard: ShardId,
    /// The epoch.
    pub epoch: Epoch,
    /// Since when.
    pub from: Millis,
    /// Until when, if nothing prolongs it.
    pub until: Millis,
}

/// What the backend servers write down.
#[derive(Clone, Default)]
pub struct Journal {
    pages: Arc<Mutex<Pages>>,
}

#[derive(Default)]
struct Pages {
    runs: Vec<Run>,
    beliefs: Vec<Belief>,
    open: HashMap<BeliefKey, usize>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct BeliefKey {
    service: ServiceName,
    server: ServerName,
    incarnation: Incarnation,
    shard: ShardId,
    epoch: Epoch,
}

impl Journal {
    /// Notes that a run begins. Returns its number.
    pub fn begin(&self, run: Run) -> usize {
        let mut pages = self.lock();
        pages.runs.push(run);
        pages.runs.len() - 1
    }

    /// Notes how a run ended.
    pub fn end(&self, number: usize, now: Millis, end: RunEnd) {
        let mut pages = self.lock();
        if let Some(run) = pages.runs.get_mut(number) {
            run.ended = now;
            run.end = end;
        }
    }

    /// Notes that a server believes that it owns a shard until `belief.until`.
    pub fn believe(&self, belief: Belief) {
        let key = BeliefKey {
            service: belief.service.clone(),
            server: belief.server.clone(),
            incarnation: belief.incarnation,
            shard: belief.shard,
            epoch: belief.epoch,
        };
        let mut pages = self.lock();
        let open = pages.open.get(&key).copied();
        match open.and_then(|at| pages.beliefs.get_mut(at)) {
            Some(known) if known.until >= belief.from => {
                known.until = known.until.max(belief.until);
            }
            _ => {
                let at = pages.beliefs.len();
                pages.beliefs.push(belief);
                pages.open.insert(key, at);
            }
        }
    }

    /// Ends, at `now`, the beliefs of a server that `ends` selects.
    pub fn end_beliefs(
        &self,
        now: Millis,
        service: &ServiceName,
        server: &ServerName,
        ends: impl Fn(&Belief) -> bool,
    ) {
        let mut pages = self.lock();
        let own = |b: &&mut Belief| b.service == *service && b.server == *server;
        for belief in pages.beliefs.iter_mut().filter(own) {
            if belief.until > now && ends(belief) {
                belief.until = now;
            }
        }
    }

    /// Returns a copy of every run.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns a copy of every belief.
    pub fn beliefs(&self) -> Vec<Belief> {
        self.lock().beliefs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Pages> {
        self.pages.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
