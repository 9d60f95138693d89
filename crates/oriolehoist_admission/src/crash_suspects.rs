use {
    oriolehoist_time::Millis,
    std::{
        collections::HashMap,
        hash::{DefaultHasher, Hash, Hasher},
    },
};

/// Hash of everything that identifies a request but its id: service, method, path, key and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint from what identifies the request. It is the same on every daemon.
    pub fn of(request: &impl Hash) -> Fingerprint {
        // Without a random seed, the standard hasher gives the same value in every process.
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        Fingerprint(hasher.finish())
    }
}

/// Whether a request may be sent, given the crashes at which it was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// Send the request.
    Allow,
    /// Send the request, but only while no other suspect is in flight at that server.
    Isolate,
    /// Refuse the request; the quarantine ends after this time.
    Quarantined(Millis),
}

/// Identifies one crash of one server, by the incarnation that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CrashId(pub u64);

/// Tracks requests that were in flight at servers that crashed.
///
/// Every request in flight at a crash becomes a suspect. A suspect that is answered is cleared. One
/// that is in flight at several crashes is quarantined for a while. Copies of a request that were
/// in flight at the same crash count once.
#[derive(Clone, Debug)]
pub struct CrashSuspects {
    records: HashMap<Fingerprint, SuspectRecord>,
    quarantine_threshold: usize,
}

#[derive(Clone, Debug)]
struct SuspectRecord {
    crashes: Vec<CrashId>,
    expires_at: Millis,
}

/// How long a request stays a suspect or in quarantine after the last crash counted for it. Crashes
/// during the quarantine are not counted.
const RECORD_TTL: Millis = Millis::from_secs(60);
/// Default number of crashes that put a request into quarantine.
const DEFAULT_QUARANTINE_THRESHOLD: usize = 2;
/// Maximum number of suspects that are tracked. While it is reached, new suspects are ignored.
const MAX_RECORDS: usize = 4096;

impl Default for CrashSuspects {
    fn default() -> CrashSuspects {
        CrashSuspects::with_quarantine_threshold(DEFAULT_QUARANTINE_THRESHOLD)
    }
}

impl CrashSuspects {
    /// Creates a tracker that puts a request into quarantine after this many crashes.
    pub fn with_quarantine_threshold(crashes: usize) -> CrashSuspects {
        CrashSuspects { records: HashMap::new(), quarantine_threshold: crashes }
    }

    /// Returns whether a request may be sent.
    pub fn send_decision(&self, now: Millis, fingerprint: Fingerprint) -> SendDecision {
        match self.records.get(&fingerprint) {
            Some(record) if now >= record.expires_at => SendDecision::Allow,
            Some(record) if self.is_quarantined(record) => {
                SendDecision::Quarantined(record.expires_at.since(now))
            }
            Some(_) => SendDecision::Isolate,
            None => SendDecision::Allow,
        }
    }

    /// Records a crash at which a request was in flight, seen by this daemon or by another one.
    pub fn on_crash(&mut self, now: Millis, fingerprint: Fingerprint, crash: CrashId) {
        self.records.retain(|_, record| record.expires_at > now);
        let known = self.records.contains_key(&fingerprint);
        if !known && self.records.len() >= MAX_RECORDS {
            return;
        }
        let record = self
            .records
            .entry(fingerprint)
            .or_insert(SuspectRecord { crashes: Vec::new(), expires_at: now });
        if !record.crashes.contains(&crash) && record.crashes.len() < self.quarantine_threshold {
            record.crashes.push(crash);
            record.expires_at = now + RECORD_TTL;
        }
    }

    /// Records that a request was answered, and thus did not crash the server.
    ///
    /// A request in quarantine stays there: the answered one can only have been sent before the
    /// quarantine began.
    pub fn on_answered(&mut self, fingerprint: Fingerprint) {
        if self.records.get(&fingerprint).is_some_and(|record| !self.is_quarantined(record)) {
            self.records.remove(&fingerprint);
        }
    }

    /// Returns whether no request is tracked. In this usual case, callers need not compute the
    /// fingerprints of requests.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn is_quarantined(&self, record: &SuspectRecord) -> bool {
        record.crashes.len() >= self.quarantine_threshold
    }
}
