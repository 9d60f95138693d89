use {
    crate::{GroupReport, RateReport, RequestCounts, peers::REPORT_TTL},
    oriolehoist_time::Millis,
    std::{collections::HashMap, hash::Hash},
};

/// How long the requests of a daemon that no longer reports stay in the total of its group, so that the
/// total does not fall.
const GROUP_RETENTION: Millis = Millis(60_000);

/// The reports of daemons and groups that a relay has received about one server, by sender.
#[derive(Clone, Debug)]
pub struct GroupReports<K> {
    by_sender: HashMap<K, (Millis, GroupReport)>,
}

impl<K> Default for GroupReports<K> {
    fn default() -> GroupReports<K> {
        GroupReports { by_sender: HashMap::new() }
    }
}

impl<K: Eq + Hash> GroupReports<K> {
    /// Records a report.
    pub fn record(&mut self, now: Millis, from: K, report: GroupReport) {
        self.by_sender.insert(from, (now, report));
        self.by_sender.retain(|_, (at, _)| now.since(*at) < GROUP_RETENTION);
    }

    /// Returns the total of the own report and of those of the senders that `includes` accepts.
    pub fn total(
        &self,
        now: Millis,
        own: Option<RateReport>,
        includes: impl Fn(&K) -> bool,
    ) -> Option<GroupReport> {
        let own = own.map(|report| GroupReport { report, daemons: 1 });
        let others = self.by_sender.iter().filter(|(from, _)| includes(from));
        let others = others.map(|(_, (at, group))| {
            let elapsed = now.since(*at);
            let report = RateReport { age: group.report.age + elapsed, ..group.report };
            let daemons = if elapsed < REPORT_TTL { group.daemons } else { 0 };
            GroupReport { report, daemons }
        });
        own.into_iter().chain(others).reduce(|total, group| {
            let newest = match group.report.age < total.report.age {
                true => group.report,
                false => total.report,
            };
            let (a, b) = (total.report.counts, group.report.counts);
            let counts = RequestCounts {
                sent: a.sent.wrapping_add(b.sent),
                asked: a.asked.wrapping_add(b.asked),
            };
            let daemons = total.daemons.saturating_add(group.daemons);
            GroupReport { report: RateReport { counts, ..newest }, daemons }
        })
    }
}
