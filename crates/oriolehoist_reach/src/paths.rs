use {
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashMap, HashSet},
        hash::Hash,
    },
};

/// A daemon that has no answer from any server, and fails to reach this many of them meanwhile, is
/// cut off from all of them.
const CUT_OFF_FAILURES: usize = 6;
/// After this many such failures others are probed, so that some servers that crash together are not
/// taken for all of them.
const SUSPICIOUS_FAILURES: usize = 3;
/// A server that refuses a connection this soon after its last answer may only have too many of
/// them.
const FULL_SERVER_PERIOD: Millis = Millis(300);
/// The time for which an answer shows a daemon that it reaches a server.
const REACHED_PERIOD: Millis = Millis(3000);
/// The time for which an answer is reported to other daemons. These compare it with what they have
/// just lost, so it must not be from before that.
const REPORTED_PERIOD: Millis = Millis(500);
/// A server that has answered within this time need not be probed to know whether it is reached.
const KNOWN_PERIOD: Millis = Millis(250);
/// The delay of the first probe of a lost path. It doubles with each further one.
const PROBE_DELAY: Millis = Millis(250);
/// The longest delay between two probes of a lost path.
const MAX_PROBE_DELAY: Millis = Millis(1000);
/// How many probes start at once.
const MAX_PROBES: usize = 4;
/// How many probes start at once while this daemon is cut off from all servers.
const MAX_PROBES_CUT_OFF: usize = 2;

/// How an attempt to reach a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The server or something before it refused or reset the connection.
    Refused,
    /// No connection could be opened in time, or sent data was not acknowledged.
    NoConnection,
    /// Nothing was received in time. A slow server looks the same.
    NoResponse,
}

/// A change of a path that an event has caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// The path no longer works.
    Lost,
    /// The path works again, after it was lost for this time.
    Restored(Millis),
}

/// How many servers a daemon reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachSummary {
    /// Servers that have answered lately.
    pub reached: u32,
    /// Servers to which the path is lost.
    pub lost: u32,
}

impl ReachSummary {
    /// Returns whether more servers are lost than reached.
    pub fn is_mostly_lost(self) -> bool {
        self.lost > self.reached
    }

    /// Returns the part of the servers to which the path is lost, in percent.
    pub fn lost_percent(self) -> u32 {
        let (lost, reached) = (u64::from(self.lost), u64::from(self.reached));
        (lost * 100 / (lost + reached).max(1)) as u32
    }

    /// Returns whether another daemon reaches servers of which this one has lost most: it has lost at
    /// most half as large a part of them.
    pub fn is_bettered_by(self, other: ReachSummary) -> bool {
        self.is_mostly_lost()
            && other.reached > 0
            && other.lost_percent() * 2 <= self.lost_percent()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Path {
    answered_at: Option<Millis>,
    lost_since: Option<Millis>,
    probe_delay: Millis,
    next_probe_at: Millis,
}

impl Path {
    fn has_answered_since(&self, at: Millis) -> bool {
        self.answered_at.is_some_and(|answered| answered >= at)
    }
}

/// The paths from one daemon to all servers.
#[derive(Clone, Debug)]
pub struct Paths<K> {
    paths: HashMap<K, Path>,
    /// When any server answered last.
    answered_at: Option<Millis>,
    /// The number of lost paths.
    lost: usize,
    /// Servers that this daemon has failed to reach since any server answered, up to
    /// [`CUT_OFF_FAILURES`].
    silent: Vec<K>,
    /// Servers of which somebody wants to know whether they are reached.
    asked: Vec<K>,
}

impl<K> Default for Paths<K> {
    fn default() -> Paths<K> {
        Paths {
            paths: HashMap::new(),
            answered_at: None,
            lost: 0,
            silent: Vec::new(),
            asked: Vec::new(),
        }
    }
}

impl<K: Copy + Eq + Hash + Ord> Paths<K> {
    /// Replaces the known servers. Paths to others are forgotten.
    pub fn set_servers(&mut self, servers: impl IntoIterator<Item = K>) {
        let known: HashSet<K> = servers.into_iter().collect();
        self.paths.retain(|server, _| known.contains(server));
        self.silent.retain(|server| known.contains(server));
        for server in known {
            self.paths.entry(server).or_default();
        }
        self.lost = self.paths.values().filter(|path| path.lost_since.is_some()).count();
    }

    /// Records an answer of a server, whatever it says.
    pub fn on_answer(&mut self, now: Millis, server: K) -> Option<PathChange> {
        self.answered_at = Some(now);
        self.silent.clear();
        let path = self.paths.get_mut(&server)?;
        path.answered_at = Some(now);
        let since = path.lost_since.take()?;
        self.lost -= 1;
        Some(PathChange::Restored(now.since(since)))
    }

    /// Records that an attempt to reach a server has failed, which was begun at `tried_at`.
    pub fn on_failure(
        &mut self,
        now: Millis,
        server: K,
        tried_at: Millis,
        failure: Failure,
    ) -> Option<PathChange> {
        let path = self.paths.get_mut(&server)?;
        if path.has_answered_since(tried_at) {
            return None;
        }
        let any_answered = self.answered_at.is_some_and(|answered| answered >= tried_at);
        if !any_answered && !self.silent.contains(&server) && self.silent.len() < CUT_OFF_FAILURES {
            self.silent.push(server);
        }
        let may_be_full = failure == Failure::Refused
            && path.has_answered_since(tried_at.since(FULL_SERVER_PERIOD));
        if failure == Failure::NoResponse || may_be_full || path.lost_since.is_some() {
            return None;
        }
        path.lost_since = Some(now);
        self.lost += 1;
        path.probe_delay = PROBE_DELAY;
        path.next_probe_at = now + PROBE_DELAY;
        Some(PathChange::Lost)
    }

    /// Returns whether this daemon seems to reach no server at all.
    pub fn is_cut_off(&self) -> bool {
        !self.silent.is_empty() && self.silent.len() >= CUT_OFF_FAILURES.min(self.paths.len())
    }

    /// Returns whether no path is lost.
    pub fn all_work(&self) -> bool {
        self.lost == 0 && !self.is_cut_off()
    }

    /// Returns whether so many servers have failed without an answer of any that others are probed.
    fn suspects_cut(&self) -> bool {
        self.silent.len() >= SUSPICIOUS_FAILURES
    }

    /// Returns whether requests should not be sent straight to a server.
    pub fn is_lost(&self, server: K) -> bool {
        self.is_cut_off() || self.paths.get(&server).is_some_and(|path| path.lost_since.is_some())
    }

    /// Returns whether a server is lost, or will probably turn out to be.
    fn seems_lost(&self, server: K) -> bool {
        self.is_lost(server) || (self.suspects_cut() && self.silent.contains(&server))
    }

    /// Returns how many of these servers are reached.
    pub fn summary(&self, now: Millis, servers: impl IntoIterator<Item = K>) -> ReachSummary {
        self.summary_since(now.since(REACHED_PERIOD), servers)
    }

    /// Returns how many of these servers have answered so lately that it may be compared with what
    /// another daemon has lost.
    pub fn report(&self, now: Millis, servers: impl IntoIterator<Item = K>) -> ReachSummary {
        self.summary_since(now.since(REPORTED_PERIOD), servers)
    }

    fn summary_since(&self, since: Millis, servers: impl IntoIterator<Item = K>) -> ReachSummary {
        let mut summary = ReachSummary::default();
        for server in servers {
            let path = self.paths.get(&server).copied().unwrap_or_default();
            match () {
                () if self.seems_lost(server) => summary.lost += 1,
                () if path.has_answered_since(since) => summary.reached += 1,
                () => {}
            }
        }
        summary
    }

    /// Returns whether a server has answered since `at`.
    pub fn answered_since(&self, server: K, at: Millis) -> bool {
        self.paths.get(&server).is_some_and(|path| path.has_answered_since(at))
    }

    /// Returns whether any server has answered since `at`.
    pub fn any_answered_since(&self, at: Millis) -> bool {
        self.answered_at.is_some_and(|answered| answered >= at)
    }

    /// Lets some of these servers be probed that have not answered lately, so that it is known whether
    /// this daemon reaches them.
    pub fn ask(&mut self, now: Millis, servers: impl IntoIterator<Item = K>) {
        let unknown = servers.into_iter().filter(|server| {
            let known =
                self.answered_since(*server, now.since(KNOWN_PERIOD)) || self.seems_lost(*server);
            !known && !self.asked.contains(server)
        });
        let asked: Vec<K> = unknown.take(MAX_PROBES.saturating_sub(self.asked.len())).collect();
        self.asked.extend(asked);
    }

    /// Returns some of these servers to which the path is lost, always the same ones.
    pub fn lost_among(&self, servers: impl IntoIterator<Item = K>) -> Vec<K> {
        let mut lost: Vec<K> =
            servers.into_iter().filter(|server| self.seems_lost(*server)).collect();
        lost.sort_unstable();
        lost.truncate(MAX_PROBES);
        lost
    }

    /// Returns the servers that are due to be probed. Any answer to a probe shows that the path
    /// works.
    pub fn due_probes(&mut self, now: Millis) -> Vec<K> {
        let asked = std::mem::take(&mut self.asked);
        let suspects_cut = self.suspects_cut();
        if self.all_work() && !suspects_cut {
            return asked;
        }
        let is_due =
            |path: &Path| path.next_probe_at <= now && (path.lost_since.is_some() || suspects_cut);
        let due = self.paths.iter().filter(|(_, path)| is_due(path));
        // An answer of any server shows that this daemon is not cut off, so those come first that have
        // not failed yet.
        let rank = |server: &K| suspects_cut && self.silent.contains(server);
        let mut due: Vec<(bool, Millis, K)> =
            due.map(|(server, path)| (rank(server), path.next_probe_at, *server)).collect();
        due.sort_unstable();
        due.truncate(if self.is_cut_off() { MAX_PROBES_CUT_OFF } else { MAX_PROBES });
        let due: Vec<K> = due.into_iter().map(|(_, _, server)| server).collect();
        for server in &due {
            if let Some(path) = self.paths.get_mut(server) {
                path.probe_delay = (path.probe_delay.max(PROBE_DELAY) * 2).min(MAX_PROBE_DELAY);
                path.next_probe_at = now + path.probe_delay;
            }
        }
        due.into_iter().chain(asked).collect()
    }
}
