use {
    crate::RequestCounts,
    oriolehoist_time::Millis,
    std::{collections::HashMap, hash::Hash},
};

/// How long after its last report a daemon is assumed to know and to observe the limit as reported.
pub(crate) const REPORT_TTL: Millis = Millis(500);

/// A daemon that has reported, or a group of them.
#[derive(Clone, Copy, Debug)]
struct Peer {
    counts: RequestCounts,
    reported_at: Millis,
    /// The number of daemons whose requests are counted.
    daemons: u32,
}

/// What other daemons report of their requests to one server.
#[derive(Clone, Debug)]
pub(crate) struct Peers<K> {
    by_sender: HashMap<K, Peer>,
}

impl Peer {
    fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.reported_at) < REPORT_TTL
    }
}

impl<K> Default for Peers<K> {
    fn default() -> Peers<K> {
        Peers { by_sender: HashMap::new() }
    }
}

impl<K: Eq + Hash> Peers<K> {
    /// Records a report. Returns the requests that are new.
    pub(crate) fn on_report(
        &mut self,
        now: Millis,
        from: K,
        counts: RequestCounts,
        daemons: u32,
    ) -> RequestCounts {
        let known = self.by_sender.insert(from, Peer { counts, reported_at: now, daemons });
        known.map(|known| counts.since(known.counts)).unwrap_or_default()
    }

    /// Returns how many daemons have reported lately.
    pub(crate) fn reporting(&self, now: Millis) -> usize {
        let fresh = self.by_sender.values().filter(|peer| peer.is_fresh(now));
        fresh.map(|peer| peer.daemons as usize).sum()
    }
}

impl RequestCounts {
    /// Returns the requests that are not among `before`. A daemon that was restarted counts from zero.
    fn since(self, before: RequestCounts) -> RequestCounts {
        let new = |now: u32, before: u32| now.checked_sub(before).unwrap_or(now);
        RequestCounts { sent: new(self.sent, before.sent), asked: new(self.asked, before.asked) }
    }
}
