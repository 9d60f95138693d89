//! What this daemon knows of requests that crash the servers that run them.

use {
    crate::process::{Shared, lock},
    oriolehoist_admission::{CrashId, Fingerprint},
    oriolehoist_log::{Event, report},
    oriolehoist_protocol::{SuspectNews, SuspectNotice, SuspectReport},
};

impl Shared {
    /// Records a request as a suspect of a crash that `source` has observed.
    pub(crate) fn record_suspect(&self, notice: SuspectNotice, source: &str) {
        let (request, crash) = (Fingerprint(notice.fingerprint), CrashId(notice.crashed.0));
        if lock(&self.crash_suspects).on_crash(self.clock.now(), request, crash) {
            report_quarantined(request, source);
        }
    }

    /// Adds the suspects that `source` knows.
    pub(crate) fn merge_suspects(&self, reports: &[SuspectReport], source: &str) {
        if reports.is_empty() {
            return;
        }
        let quarantined = lock(&self.crash_suspects).merge(self.clock.now(), reports);
        for request in quarantined {
            report_quarantined(request, source);
        }
    }

    /// Returns what to tell a daemon of the suspects: see `CrashSuspects::news`.
    pub(crate) fn suspect_news(&self, theirs: Option<u64>) -> Option<SuspectNews> {
        let suspects = lock(&self.crash_suspects);
        if suspects.is_empty() { None } else { suspects.news(self.clock.now(), theirs) }
    }

    /// Returns all that other daemons are told of the suspects.
    pub(crate) fn suspect_snapshot(&self) -> Option<SuspectNews> {
        lock(&self.crash_suspects).snapshot(self.clock.now())
    }

    /// Returns the suspects that are to be stored.
    pub(crate) fn suspects_to_store(&self) -> Vec<SuspectReport> {
        let suspects = lock(&self.crash_suspects);
        if suspects.is_empty() {
            return Vec::new();
        }
        suspects.snapshot(self.clock.now()).map(|news| news.records).unwrap_or_default()
    }

    /// Drops the suspects whose time has passed.
    pub(crate) fn expire_suspects(&self) {
        let mut suspects = lock(&self.crash_suspects);
        if !suspects.is_empty() {
            suspects.expire(self.clock.now());
        }
    }
}

fn report_quarantined(request: Fingerprint, source: &str) {
    report(Event::RequestQuarantined, format_args!("fingerprint={request} from={source}"));
}
