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
pub enum RunOutcome {
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
    pub outcome: RunOutcome,
}

/// A time during which a server believed that it owned a shard.
#[derive(Clone, Debug)]
pub struct OwnershipInterval {
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
    ownership_intervals: Vec<OwnershipInterval>,
    open: HashMap<OwnershipKey, usize>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct OwnershipKey {
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
    pub fn end(&self, number: usize, now: Millis, outcome: RunOutcome) {
        let mut pages = self.lock();
        if let Some(run) = pages.runs.get_mut(number) {
            run.ended = now;
            run.outcome = outcome;
        }
    }

    /// Notes that a server believes that it owns a shard until `interval.until`.
    pub fn record_ownership(&self, interval: OwnershipInterval) {
        let key = OwnershipKey {
            service: interval.service.clone(),
            server: interval.server.clone(),
            incarnation: interval.incarnation,
            shard: interval.shard,
            epoch: interval.epoch,
        };
        let mut pages = self.lock();
        let open = pages.open.get(&key).copied();
        match open.and_then(|at| pages.ownership_intervals.get_mut(at)) {
            Some(known) if known.until >= interval.from => {
                known.until = known.until.max(interval.until);
            }
            _ => {
                let at = pages.ownership_intervals.len();
                pages.ownership_intervals.push(interval);
                pages.open.insert(key, at);
            }
        }
    }

    /// Ends, at `now`, the ownership_intervals of a server that `ends` selects.
    pub fn end_ownership(
        &self,
        now: Millis,
        service: &ServiceName,
        server: &ServerName,
        ends: impl Fn(&OwnershipInterval) -> bool,
    ) {
        let mut pages = self.lock();
        let own = |b: &&mut OwnershipInterval| b.service == *service && b.server == *server;
        for interval in pages.ownership_intervals.iter_mut().filter(own) {
            if interval.until > now && ends(interval) {
                interval.until = now;
            }
        }
    }

    /// Returns a copy of every run.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns a copy of every interval.
    pub fn ownership_intervals(&self) -> Vec<OwnershipInterval> {
        self.lock().ownership_intervals.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Pages> {
        self.pages.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
