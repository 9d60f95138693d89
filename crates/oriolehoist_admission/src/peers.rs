use {
    crate::RequestCounts,
    oriolehoist_time::Millis,
    std::{collections::HashMap, hash::Hash},
};

/// How long after its last report a daemon is assumed to know and to observe the limit as reported.
pub(crate) const REPORT_TTL: Millis = Millis(500);

/// The time after which a report is overdue: two intervals between reports that say nothing new, as one
/// may be lost.
const OVERDUE: Millis = Millis(400);

/// A daemon that has reported, or a group of them.
#[derive(Clone, Copy, Debug)]
struct Peer {
    counts: RequestCounts,
    reported_at: Millis,
    /// The number of daemons whose requests are counted.
    daemons: u32,
    /// How much later than usual the report arrived.
    lateness: Millis,
}

/// What other daemons report of their requests to one server.
///
/// The requests to a cold server are in two kinds of reports, and a relay adds up other daemons in each
/// of them. Compared with each other, the lower count of one kind looks like that of a daemon that was
/// restarted, so that all its requests count again: 24 daemons took 66 requests per second for up to
/// 3,000.
#[derive(Clone, Debug)]
pub(crate) struct Peers<K> {
    by_limit_report: HashMap<K, Peer>,
    by_cold_report: HashMap<K, Peer>,
}

impl Peer {
    fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.reported_at) < REPORT_TTL
    }
}

impl<K> Default for Peers<K> {
    fn default() -> Peers<K> {
        Peers { by_limit_report: HashMap::new(), by_cold_report: HashMap::new() }
    }
}

impl<K: Eq + Hash> Peers<K> {
    /// Records a report of a limit. Returns the requests that are new, unless the sender reports the
    /// server as cold as well.
    pub(crate) fn on_limit_report(
        &mut self,
        now: Millis,
        from: K,
        counts: RequestCounts,
        daemons: u32,
    ) -> RequestCounts {
        let is_counted = self.reports_cold(now, &from);
        let known = self
            .by_limit_report
            .insert(from, Peer { counts, reported_at: now, daemons, lateness: Millis::ZERO });
        known.filter(|_| !is_counted).map(|known| counts.since(known.counts)).unwrap_or_default()
    }

    /// Records a report of a cold server. Returns the requests that are new.
    pub(crate) fn on_cold_report(
        &mut self,
        now: Millis,
        from: K,
        counts: RequestCounts,
        daemons: u32,
        lateness: Millis,
    ) -> RequestCounts {
        let peer = Peer { counts, reported_at: now, daemons, lateness };
        let known = self.by_cold_report.insert(from, peer);
        known.map(|known| counts.since(known.counts)).unwrap_or_default()
    }

    /// Returns how many daemons have reported lately.
    pub(crate) fn reporting(&self, now: Millis) -> usize {
        self.fresh(now).map(|peer| peer.daemons as usize).sum()
    }

    /// Returns the age of the oldest of the reports that count.
    pub(crate) fn oldest_report(&self, now: Millis) -> Millis {
        self.fresh(now).map(|peer| now.since(peer.reported_at)).max().unwrap_or_default()
    }

    fn fresh(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        let by_limit = self.by_limit_report.iter();
        let by_limit = by_limit.filter(move |(from, _)| !self.reports_cold(now, from));
        let peers = by_limit.map(|(_, peer)| peer).chain(self.by_cold_report.values());
        peers.filter(move |peer| peer.is_fresh(now))
    }

    /// Returns how much later than usual one daemon's reports of a cold server arrive, on average. A
    /// report that is missing is as late as it is overdue.
    pub(crate) fn lateness(&self, now: Millis) -> Millis {
        let peers = self.by_cold_report.values().filter(|peer| peer.is_fresh(now));
        let (late, daemons) = peers.fold((0, 0), |(late, daemons), peer| {
            let overdue = now.since(peer.reported_at).since(OVERDUE);
            let peer_late = peer.lateness.max(overdue).0 * u64::from(peer.daemons);
            (late + peer_late, daemons + u64::from(peer.daemons))
        });
        Millis(late.checked_div(daemons).unwrap_or_default())
    }

    fn reports_cold(&self, now: Millis, from: &K) -> bool {
        self.by_cold_report.get(from).is_some_and(|peer| peer.is_fresh(now))
    }
}

impl RequestCounts {
    /// Returns the requests that are not among `before`. A daemon that was restarted counts from zero.
    fn since(self, before: RequestCounts) -> RequestCounts {
        let new = |now: u32, before: u32| now.checked_sub(before).unwrap_or(now);
        RequestCounts { sent: new(self.sent, before.sent), asked: new(self.asked, before.asked) }
    }
}
