use {
    crate::{GroupReport, RateReport, RequestCounts, peers::REPORT_TTL},
    oriolehoist_time::Millis,
    std::{collections::HashMap, hash::Hash},
};

/// How long the requests of a daemon that no longer reports stay in the total of its group, so that the
/// total does not fall.
const GROUP_RETENTION: Millis = Millis(60_000);

/// The time for which the fastest message of a sender counts at least, and twice that at most. Clocks that
/// drift apart, or are corrected, make all later ones look late meanwhile.
const FASTEST_RETENTION: Millis = Millis::from_secs(60);

/// The highest lateness that is assumed.
const MAX_LATENESS: Millis = Millis(10_000);

/// The reports of daemons and groups that a relay has received about one server, by sender.
#[derive(Clone, Debug)]
pub struct GroupReports<K> {
    by_sender: HashMap<K, (Millis, GroupReport)>,
}

/// The latest message of each sender, so that one that arrives late is not taken for a later one: its
/// lower counts would look like those of a daemon that was restarted, and count again.
#[derive(Clone, Debug)]
pub struct ReportOrder<K> {
    /// By sender: its run, and the sequence number.
    latest: HashMap<K, (u32, u64)>,
}

/// How late the messages of each sender arrive, by the times that they were sent at on its clock.
#[derive(Clone, Debug)]
pub struct ReportLateness<K> {
    by_sender: HashMap<K, LeastDelay>,
}

/// The shortest ways of messages of one run of a sender: the time of arrival less that of sending, on two
/// clocks, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct LeastDelay {
    run: u32,
    /// Since `since`.
    offset: i64,
    since: Millis,
    /// In the period before.
    earlier_offset: i64,
    /// How much longer the last message took.
    last: Millis,
}

impl<K> Default for ReportLateness<K> {
    fn default() -> ReportLateness<K> {
        ReportLateness { by_sender: HashMap::new() }
    }
}

impl<K: Eq + Hash> ReportLateness<K> {
    /// Returns how much longer the last two messages took than the fastest one of the same run of their
    /// sender. A single one may be late by chance.
    pub fn measure(&mut self, now: Millis, from: K, run: u32, sent_at: Millis) -> Millis {
        let offset = (now.0 as i64).saturating_sub(sent_at.0 as i64);
        let new =
            LeastDelay { run, offset, since: now, earlier_offset: i64::MAX, last: Millis::ZERO };
        let least = self.by_sender.entry(from).or_insert(new);
        if least.run != run {
            *least = new;
        }
        if now.since(least.since) >= FASTEST_RETENTION {
            *least = LeastDelay { earlier_offset: least.offset, last: least.last, ..new };
        }
        least.offset = least.offset.min(offset);
        let late = offset.saturating_sub(least.offset.min(least.earlier_offset));
        let late = Millis(late.unsigned_abs()).min(MAX_LATENESS);
        std::mem::replace(&mut least.last, late).min(late)
    }

    /// Forgets the senders that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        self.by_sender.retain(|from, _| keep(from));
    }
}

impl<K> Default for ReportOrder<K> {
    fn default() -> ReportOrder<K> {
        ReportOrder { latest: HashMap::new() }
    }
}

impl<K: Eq + Hash> ReportOrder<K> {
    /// Returns whether a message is later than all before of the same run of its sender.
    pub fn accept(&mut self, from: K, run: u32, sequence: u64) -> bool {
        let latest = self.latest.entry(from).or_insert((run, sequence));
        let is_late = latest.0 == run && sequence < latest.1;
        if !is_late {
            *latest = (run, sequence);
        }
        !is_late
    }

    /// Forgets the senders that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        self.latest.retain(|from, _| keep(from));
    }
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
