use {
    fastrand::Rng,
    oriolehoist_time::Millis,
    std::{collections::HashMap, hash::Hash},
};

/// How long a daemon that can't help is not asked again.
const UNUSABLE_PERIOD: Millis = Millis(1000);
/// How long a daemon that has served a request counts as one that reaches servers.
const HELPFUL_PERIOD: Millis = Millis(2000);
/// After this many daemons that could not help, the next one is one that is known to reach servers, if
/// there is any.
const BLIND_TRIES: usize = 2;
/// How many of the other daemons are considered, in a larger fleet a random sample.
const SAMPLE: usize = 32;
/// A server that this many other daemons don't reach either is taken for unreachable.
const MAX_FAILED_PEERS: usize = 8;
/// How long a daemon that does not reach a server gets no requests for it.
const NO_PATH_PERIOD: Millis = Millis(2000);
/// A daemon that is not known to reach a server is chosen only if it has so many requests fewer.
const UNKNOWN_COST: u32 = 2;

/// How a request that was handed over to another daemon ended there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandOverEnd {
    /// The daemon has sent it to a server, or has refused it for another reason.
    Handled,
    /// The daemon does not reach the server.
    NoPath,
    /// The daemon reaches no server at all, or is about to stop.
    CutOff,
    /// The daemon itself was not reached, or did not respond.
    Failed,
    /// The caller has left.
    Abandoned,
}

/// A daemon that has requests of this one, or can't help.
#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    in_flight: u32,
    unusable_until: Millis,
}

/// The daemons that have shown something last, with the times until which that is assumed. In a large
/// fleet others may have shown it too.
#[derive(Clone, Debug)]
struct Recent<P>(Vec<(P, Millis)>);

impl<P> Default for Recent<P> {
    fn default() -> Recent<P> {
        Recent(Vec::new())
    }
}

impl<P: Copy + Eq> Recent<P> {
    fn iter(&self, now: Millis) -> impl Iterator<Item = P> {
        self.0.iter().filter(move |(_, until)| now < *until).map(|(peer, _)| *peer)
    }

    fn contains(&self, now: Millis, peer: P) -> bool {
        self.iter(now).any(|known| known == peer)
    }

    fn insert(&mut self, now: Millis, peer: P, period: Millis) {
        self.0.retain(|(known, until)| *known != peer && now < *until);
        if self.0.len() == SAMPLE {
            self.0.remove(0);
        }
        self.0.push((peer, now + period));
    }

    fn remove(&mut self, peer: P) {
        self.0.retain(|(known, _)| *known != peer);
    }
}

/// Which other daemons reach a server, as they have shown lately.
#[derive(Clone, Debug)]
struct Ways<P> {
    open: Recent<P>,
    closed: Recent<P>,
}

impl<P> Default for Ways<P> {
    fn default() -> Ways<P> {
        Ways { open: Recent::default(), closed: Recent::default() }
    }
}

/// Forgets what is out of date once there is twice as much as was left the last time, so that a change
/// costs the same on average however much there is.
fn forget<K: Eq + Hash, V>(
    entries: &mut HashMap<K, V>,
    limit: &mut usize,
    is_valid: impl Fn(&V) -> bool,
) {
    if entries.len() >= *limit {
        entries.retain(|_, entry| is_valid(entry));
        *limit = (entries.len() * 2).max(SAMPLE);
    }
}

/// What a daemon knows of the other ones as ways to servers that it does not reach itself.
///
/// It learns that from the ends of the requests that it hands over, so no message about it goes from
/// all daemons to all.
#[derive(Clone, Debug)]
pub struct Peers<P, K> {
    peers: HashMap<P, Peer>,
    /// How many `peers` there may be until those are forgotten that are out of date.
    max_peers: usize,
    /// Those that have served a request.
    helpful: Recent<P>,
    ways: HashMap<K, Ways<P>>,
    /// How many `ways` there may be until those are forgotten that are out of date.
    max_ways: usize,
}

impl<P, K> Default for Peers<P, K> {
    fn default() -> Peers<P, K> {
        Peers {
            peers: HashMap::new(),
            max_peers: SAMPLE,
            helpful: Recent::default(),
            ways: HashMap::new(),
            max_ways: SAMPLE,
        }
    }
}

impl<P: Copy + Eq + Hash, K: Copy + Eq + Hash> Peers<P, K> {
    /// Chooses the daemon that gets the next request for a server, from those in `known`, each with
    /// whether it is in the same availability zone. Returns `None` if there is none, or the server
    /// is unreachable for the others too.
    ///
    /// Of two daemons chosen at random, the one with fewer requests of this daemon gets it.
    pub fn choose(
        &self,
        now: Millis,
        server: K,
        known: &[(P, bool)],
        tried: &[P],
        rng: &mut Rng,
    ) -> Option<P> {
        if self.is_unreachable(now, server, known.len()) {
            return None;
        }
        let ways = self.ways.get(&server);
        let is_closed = |peer| ways.is_some_and(|ways| ways.closed.contains(now, peer));
        let is_open = |peer| ways.is_some_and(|ways| ways.open.contains(now, peer));
        let is_helpful = |(peer, _): &(P, bool)| self.helpful.contains(now, *peer);
        let mut usable: Vec<(P, bool)> = match known.len() > SAMPLE {
            true => {
                let sample = (0..SAMPLE).map(|_| known[rng.usize(..known.len())]);
                let helpful = self.helpful.iter(now).map(|peer| (peer, false));
                sample.chain(helpful).collect()
            }
            false => known.to_vec(),
        };
        usable.retain(|(peer, _)| {
            !tried.contains(peer) && !is_closed(*peer) && self.peer(*peer).unusable_until <= now
        });
        if tried.len() >= BLIND_TRIES {
            let known_way = |(peer, _): &(P, bool)| is_open(*peer);
            match () {
                () if usable.iter().any(known_way) => usable.retain(known_way),
                () if usable.iter().any(is_helpful) => usable.retain(is_helpful),
                () => {}
            }
        }
        let cost = |(peer, is_local): &(P, bool)| {
            let unknown = if is_open(*peer) { 0 } else { UNKNOWN_COST };
            (self.peer(*peer).in_flight + unknown) * 2 + u32::from(!*is_local)
        };
        if usable.is_empty() {
            return None;
        }
        let first = rng.usize(..usable.len());
        let second = (first + rng.usize(1..usable.len().max(2))) % usable.len();
        let chosen = [usable[first], usable[second]].into_iter().min_by_key(cost)?;
        Some(chosen.0)
    }

    /// Returns whether a server is taken for unreachable: all of the other daemons, of which there are
    /// `count`, have shown that they don't reach it, or many of them and no other one that it does.
    pub fn is_unreachable(&self, now: Millis, server: K, count: usize) -> bool {
        let Some(ways) = self.ways.get(&server) else { return count == 0 };
        ways.closed.iter(now).count() >= MAX_FAILED_PEERS.min(count)
            && ways.open.iter(now).next().is_none()
    }

    /// Records that a request was handed over.
    pub fn on_sent(&mut self, peer: P) {
        self.peers.entry(peer).or_default().in_flight += 1;
    }

    /// Records how a request for a server, which was handed over, ended.
    pub fn on_ended(&mut self, now: Millis, peer: P, server: K, end: HandOverEnd) {
        let entry = self.peers.entry(peer).or_default();
        entry.in_flight = entry.in_flight.saturating_sub(1);
        match end {
            HandOverEnd::Handled => {
                self.helpful.insert(now, peer, HELPFUL_PERIOD);
                self.on_way(now, peer, server, true);
            }
            HandOverEnd::CutOff | HandOverEnd::Failed => {
                entry.unusable_until = now + UNUSABLE_PERIOD;
                self.helpful.remove(peer);
            }
            HandOverEnd::NoPath => self.on_way(now, peer, server, false),
            HandOverEnd::Abandoned => {}
        }
        let is_valid = |entry: &Peer| entry.in_flight > 0 || now < entry.unusable_until;
        forget(&mut self.peers, &mut self.max_peers, is_valid);
    }

    /// Records whether a daemon reaches a server.
    fn on_way(&mut self, now: Millis, peer: P, server: K, is_open: bool) {
        let ways = self.ways.entry(server).or_default();
        ways.open.remove(peer);
        ways.closed.remove(peer);
        match is_open {
            true => ways.open.insert(now, peer, HELPFUL_PERIOD),
            false => ways.closed.insert(now, peer, NO_PATH_PERIOD),
        }
        let is_valid =
            |ways: &Ways<P>| ways.open.iter(now).chain(ways.closed.iter(now)).next().is_some();
        forget(&mut self.ways, &mut self.max_ways, is_valid);
    }

    /// Records that another daemon has named this one as one that reaches servers.
    pub fn on_referred(&mut self, now: Millis, peer: P) {
        if self.peer(peer).unusable_until <= now {
            self.helpful.insert(now, peer, HELPFUL_PERIOD);
        }
    }

    /// Returns a daemon that has lately served a request of this one.
    pub fn referral(&self, now: Millis) -> Option<P> {
        self.helpful.iter(now).min_by_key(|peer| self.peer(*peer).in_flight)
    }

    /// Forgets the daemons that are not among the known ones.
    pub fn retain(&mut self, is_known: impl Fn(&P) -> bool) {
        self.peers.retain(|peer, entry| is_known(peer) || entry.in_flight > 0);
        self.helpful.0.retain(|(peer, _)| is_known(peer));
    }

    /// Returns of how many daemons and servers something is remembered.
    pub fn remembered(&self) -> usize {
        self.peers.len() + self.helpful.0.len() + self.ways.len()
    }

    fn peer(&self, peer: P) -> Peer {
        self.peers.get(&peer).copied().unwrap_or_default()
    }
}
