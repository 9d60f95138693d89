//! What daemons tell each other of a limit that they share.

use {
    crate::{
        SharedRateLimit,
        rate_reports::{GroupReport, RateReport, RequestCounts},
    },
    oriolehoist_time::Millis,
    std::hash::Hash,
};

/// How long the end of a limit is reported to the other daemons.
const END_REPORT_DURATION: Millis = Millis(2000);

impl<K: Eq + Hash> SharedRateLimit<K> {
    /// Records a report of another daemon. Returns whether the limit changed.
    pub fn on_report(&mut self, now: Millis, from: K, report: RateReport) -> bool {
        self.on_group_report(now, from, GroupReport { report, daemons: 1 })
    }

    /// Records a report of several other daemons. Returns whether the limit changed.
    pub fn on_group_report(&mut self, now: Millis, from: K, group: GroupReport) -> bool {
        let GroupReport { report, daemons } = group;
        let stated_at = now.since(report.age);
        // The time that the report took is not known. That a limit has ended must not count as said later
        // than it was, or it ends one that was named after that.
        let stated_at = match report.limit {
            Some(_) => stated_at,
            None => stated_at.since(self.report_delay(now)),
        };
        let changed = stated_at > self.stated_at && self.set_limit(now, stated_at, report.limit);
        self.refill(now);
        let new = self.peers.on_limit_report(now, from, report.counts, daemons);
        self.count_new(now, new);
        changed
    }

    /// Records the requests to a cold server of other daemons, and how many daemons these are.
    pub fn on_counts(&mut self, now: Millis, from: K, counts: RequestCounts, daemons: u32) {
        self.on_late_counts(now, from, counts, daemons, Millis::ZERO);
    }

    /// Records the same from a report that took `lateness` longer than others of the sender.
    pub fn on_late_counts(
        &mut self,
        now: Millis,
        from: K,
        counts: RequestCounts,
        daemons: u32,
        lateness: Millis,
    ) {
        self.refill(now);
        let new = self.peers.on_cold_report(now, from, counts, daemons, lateness);
        self.count_new(now, new);
    }

    /// Returns what to tell the other daemons. There is nothing to tell of a server without a limit.
    pub fn report(&self, now: Millis) -> Option<RateReport> {
        let age = now.since(self.stated_at);
        let has_ended_recently = self.stated_at > Millis::ZERO && age < END_REPORT_DURATION;
        let is_due = self.limit.is_some() || has_ended_recently;
        is_due.then_some(RateReport { limit: self.limit, age, counts: self.own })
    }

    /// Returns this daemon's requests to the server, for the other daemons, if it is cold.
    pub fn cold_counts(&self) -> Option<RequestCounts> {
        self.cold.map(|_| self.own)
    }

    fn count_new(&mut self, now: Millis, new: RequestCounts) {
        self.take(f64::from(new.sent));
        if new.asked > 0 {
            self.count_demand(now, f64::from(new.asked));
        }
    }
}
