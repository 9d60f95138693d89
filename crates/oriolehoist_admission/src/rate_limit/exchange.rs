//! What daemons tell each other of a limit that they share.

use {
    crate::{
        SharedRateLimit,
        rate_reports::{GroupReport, RateReport},
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
            None => stated_at.since(self.report_delay),
        };
        let changed = stated_at > self.stated_at && self.set_limit(now, stated_at, report.limit);
        self.refill(now);
        let new = self.peers.on_report(now, from, report.counts, daemons);
        self.take(f64::from(new.sent));
        self.count_demand(f64::from(new.asked));
        changed
    }

    /// Returns what to tell the other daemons. There is nothing to tell of a server without a limit.
    pub fn report(&self, now: Millis) -> Option<RateReport> {
        let age = now.since(self.stated_at);
        let has_ended_recently = self.stated_at > Millis::ZERO && age < END_REPORT_DURATION;
        let is_due = self.limit.is_some() || has_ended_recently;
        is_due.then_some(RateReport { limit: self.limit, age, counts: self.own })
    }
}
