use {
    oriolehoist_protocol::{Epoch, Incarnation, ServerName, ServiceName, ShardId},
    oriolehoist_time::Millis,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard},
    },
};

/// How a run at a backend server ended, if it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// It is still running, or was running when its server was killed.
    Running,
    /// It took effect.
    Committed,
    /// It was abandoned before it took effect.
    Abandoned,
}

/// One execution of a request at a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    /// The server's service.
    pub service: ServiceName,
    /// The server's name.
    pub server: ServerName,
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The request's id.
    pub request_id: String,
    /// The request's key.
    pub key: String,
    /// The key's shard; `None` for a service that is not sharded.
    pub shard: Option<ShardId>,
    /// The epoch of the grant that it ran under.
    pub epoch: Option<Epoch>,
    /// When it started, by the test's clock.
    pub started_at: Millis,
    /// When it ended; equal to `started_at` while it is running.
    pub ended_at: Millis,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// A time interval during which a server considered itself the owner of a shard.
#[derive(Clone, Debug)]
pub struct OwnershipInterval {
    /// The server's service.
    pub service: ServiceName,
    /// The server's name.
    pub server: ServerName,
    /// The server's incarnation.
    pub incarnation: Incarnation,
    /// The owned shard.
    pub shard: ShardId,
    /// The epoch of the grant.
    pub epoch: Epoch,
    /// The start of the interval.
    pub from: Millis,
    /// The end of the interval: when the grant expires, or when ownership ended earlier. A renewal
    /// of the grant extends the interval.
    pub until: Millis,
}

/// A shared record of what the backend servers ran and owned.
#[derive(Clone, Default)]
pub struct Journal {
    state: Arc<Mutex<JournalState>>,
}

#[derive(Default)]
struct JournalState {
    runs: Vec<Run>,
    ownership_intervals: Vec<OwnershipInterval>,
    latest_intervals: HashMap<OwnershipKey, usize>,
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
    /// Records the start of a run. Returns the run's index.
    pub fn begin_run(&self, run: Run) -> usize {
        let mut state = self.lock();
        state.runs.push(run);
        state.runs.len() - 1
    }

    /// Records how a run ended.
    pub fn end_run(&self, index: usize, now: Millis, outcome: RunOutcome) {
        let mut state = self.lock();
        if let Some(run) = state.runs.get_mut(index) {
            run.ended_at = now;
            run.outcome = outcome;
        }
    }

    /// Records that a server considers itself the owner of a shard until `interval.until`. Extends
    /// the server's last interval under the same grant if there is no gap.
    pub fn record_ownership(&self, interval: OwnershipInterval) {
        let key = OwnershipKey {
            service: interval.service.clone(),
            server: interval.server.clone(),
            incarnation: interval.incarnation,
            shard: interval.shard,
            epoch: interval.epoch,
        };
        let mut state = self.lock();
        let latest = state.latest_intervals.get(&key).copied();
        match latest.and_then(|index| state.ownership_intervals.get_mut(index)) {
            Some(latest) if latest.until >= interval.from => {
                latest.until = latest.until.max(interval.until);
            }
            _ => {
                let index = state.ownership_intervals.len();
                state.ownership_intervals.push(interval);
                state.latest_intervals.insert(key, index);
            }
        }
    }

    /// Ends the ownership intervals of a server for which `ends` returns `true`, at `now`.
    pub fn end_ownership(
        &self,
        now: Millis,
        service: &ServiceName,
        server: &ServerName,
        ends: impl Fn(&OwnershipInterval) -> bool,
    ) {
        let mut state = self.lock();
        let of_server = |interval: &&mut OwnershipInterval| {
            interval.service == *service && interval.server == *server
        };
        for interval in state.ownership_intervals.iter_mut().filter(of_server) {
            if interval.until > now && ends(interval) {
                interval.until = now;
            }
        }
    }

    /// Returns a copy of all runs.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns a copy of all ownership intervals.
    pub fn ownership_intervals(&self) -> Vec<OwnershipInterval> {
        self.lock().ownership_intervals.clone()
    }

    fn lock(&self) -> MutexGuard<'_, JournalState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
