use {
    crate::Fingerprint, oriolehoist_protocol::SuspectReport, oriolehoist_time::Millis,
    std::collections::HashMap,
};

/// Decides when the assigner stores the requests that were in flight at crashes.
///
/// In each term the stored ones are read first. Those that were read are not written for their own sake:
/// nobody knows how long ago they were written, so each write would make their quarantine longer. Requests with
/// a single crash were in flight by chance in most cases, so they wait for others to be written with. So do those
/// that were cleared.
#[derive(Clone, Debug)]
pub struct SuspectWrites {
    /// The term in which `stored` was read or written.
    term: u64,
    /// The stored requests with the number of their crashes, or `None` until they have been read.
    stored: Option<HashMap<Fingerprint, usize>>,
    is_writing: bool,
    interval: Millis,
    next_write_at: Millis,
    /// When changes that can wait may be written again.
    next_write_of_once_at: Millis,
    /// Since when some of these wait.
    waiting_since: Option<Millis>,
}

/// The minimum time between two writes.
const WRITE_INTERVAL: Millis = Millis(1000);
/// The same if the requests that were added have a single crash each.
const ONCE_WRITE_INTERVAL: Millis = Millis(5000);
/// How long such requests wait for others that were in flight at the same crash, or at others.
const GATHERING_TIME: Millis = Millis(300);
/// The maximum time until the next write after one that failed.
const MAX_WRITE_INTERVAL: Millis = Millis(16_000);

impl Default for SuspectWrites {
    fn default() -> SuspectWrites {
        SuspectWrites {
            term: 0,
            stored: None,
            is_writing: false,
            interval: WRITE_INTERVAL,
            next_write_at: Millis::ZERO,
            next_write_of_once_at: Millis::ZERO,
            waiting_since: None,
        }
    }
}

impl SuspectWrites {
    /// Records that the stored requests are read at the beginning of a term.
    pub fn on_term(&mut self, term: u64) {
        (self.term, self.stored) = (term, None);
    }

    /// Records the stored requests as they were read in a term. There are none if that failed.
    pub fn on_read(&mut self, term: u64, stored: HashMap<Fingerprint, usize>) {
        if self.term == term {
            self.stored.get_or_insert_default().extend(stored);
        }
    }

    /// Returns whether these requests are to be written now, because some were added, have crashed further
    /// servers, or were cleared of several crashes. If so, a write counts as started.
    pub fn start(&mut self, now: Millis, term: u64, suspects: &[SuspectReport]) -> bool {
        let Some(stored) = self.stored.as_ref().filter(|_| self.term == term) else { return false };
        let known = suspects.iter().map(|report| {
            let (request, crashes) = crash_count(report);
            (crashes, stored.get(&request).copied().unwrap_or_default())
        });
        let changed =
            known.filter(|(crashes, stored)| crashes > stored || crashes < stored && *stored > 1);
        let due_at = match changed.map(|(crashes, stored)| crashes > stored.max(1)).max() {
            None => {
                self.waiting_since = None;
                return false;
            }
            Some(false) => {
                let gathered_at = *self.waiting_since.get_or_insert(now) + GATHERING_TIME;
                gathered_at.max(self.next_write_at).max(self.next_write_of_once_at)
            }
            Some(true) => self.next_write_at,
        };
        if self.is_writing || now < due_at {
            return false;
        }
        self.waiting_since = None;
        self.is_writing = true;
        true
    }

    /// Returns the number of crashes that count for each request.
    pub fn crash_counts(suspects: &[SuspectReport]) -> HashMap<Fingerprint, usize> {
        suspects.iter().map(crash_count).collect()
    }

    /// Records the end of a write in a term, with the written requests if it succeeded.
    pub fn on_written(
        &mut self,
        now: Millis,
        term: u64,
        written: Option<HashMap<Fingerprint, usize>>,
    ) {
        self.is_writing = false;
        self.interval = match written {
            Some(_) => WRITE_INTERVAL,
            None => (self.interval * 2).min(MAX_WRITE_INTERVAL),
        };
        self.next_write_at = now + self.interval;
        self.next_write_of_once_at = now + ONCE_WRITE_INTERVAL;
        if let Some(written) = written.filter(|_| self.term == term) {
            self.stored = Some(written);
        }
    }
}

fn crash_count(report: &SuspectReport) -> (Fingerprint, usize) {
    let counted = report.crashes.iter().filter(|crash| !crash.cleared);
    (Fingerprint(report.fingerprint), counted.count())
}
