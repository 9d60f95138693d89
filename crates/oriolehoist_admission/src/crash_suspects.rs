use {
    crate::{Fingerprint, FingerprintBuilder, RequestFingerprints},
    oriolehoist_protocol::{CrashReport, Incarnation, SuspectNews, SuspectReport},
    oriolehoist_time::Millis,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
    },
};

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
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(pub u64);

/// Tracks requests that were in flight at servers that crashed.
///
/// Every request in flight at a crash becomes a suspect. A suspect that is answered is cleared of the
/// crashes known by then. One that is in flight at several crashes is quarantined for a while. It is on trial
/// afterwards: one further crash renews the quarantine for twice as long. Copies of a request that were in
/// flight at the same crash count once. The same request of another caller is another
/// request: see [`RequestFingerprints`].
///
/// Daemons tell each other of a crash when it happens. Those that don't hear of it, or start later, learn
/// of it from the records of the others: see [`CrashSuspects::news`]. Records
/// of two daemons are merged by crash, so it does not matter in which order or how often that happens.
#[derive(Clone, Debug)]
pub struct CrashSuspects {
    records: HashMap<Fingerprint, SuspectRecord>,
    quarantine_threshold: usize,
}

#[derive(Clone, Debug, Default)]
struct SuspectRecord {
    crashes: BTreeMap<CrashId, Crash>,
    /// When the request may be sent again while it is on trial.
    next_trial_at: Millis,
}

/// A crash at which a request was in flight.
#[derive(Clone, Copy, Debug)]
struct Crash {
    /// The time since [`ORIGIN`] before the start of the clock, as the crash may be earlier than that.
    at: Millis,
    /// Whether the request was answered later, so that the crash does not count.
    cleared: bool,
}

/// How long a request stays a suspect after its last crash, and how long the first quarantine lasts. Crashes
/// during a quarantine are not counted.
pub const SUSPECT_TTL: Millis = Millis::from_secs(60);
/// The maximum length of a quarantine.
const MAX_QUARANTINE: Millis = Millis::from_secs(60 * 60);
/// How long the crashes of a request are known that may have been in quarantine, from the last one.
const RETENTION: Millis = Millis::from_secs(2 * 60 * 60);
/// The maximum age of a crash.
const ORIGIN: Millis = Millis::from_secs(7 * 24 * 60 * 60);
/// The time between two attempts of a request on trial at this daemon.
const TRIAL_INTERVAL: Millis = Millis(1000);
/// Default number of crashes that put a request into quarantine.
const DEFAULT_QUARANTINE_THRESHOLD: usize = 2;
/// Maximum number of suspects that are tracked.
const MAX_RECORDS: usize = 4096;
/// Maximum number of crashes that are kept for a suspect.
const MAX_CRASHES: usize = 16;
/// Maximum number of suspects that other daemons are told of again.
const MAX_SHARED: usize = 256;
/// Maximum number of those with a single crash. Most of them were in flight by chance.
const MAX_SHARED_ONCE: usize = 64;

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
    pub fn send_decision(&self, now: Millis, request: Fingerprint) -> SendDecision {
        let known = self.records.get(&request).filter(|record| !self.is_expired(now, record));
        match known.map(|record| (self.quarantine_left(now, record), record.counted())) {
            Some((Some(left), _)) => SendDecision::Quarantined(left),
            Some((None, 1..)) => SendDecision::Isolate,
            _ => SendDecision::Allow,
        }
    }

    /// Returns whether a request may be sent now. One on trial may not be sent again for some time.
    pub fn admit(&mut self, now: Millis, request: Fingerprint) -> SendDecision {
        self.admit_for_caller(now, RequestFingerprints { of_caller: request, any_caller: request })
    }

    /// Returns whether a request of a caller may be sent now, as [`CrashSuspects::send_decision_for_caller`] and
    /// [`CrashSuspects::admit`] do.
    pub fn admit_for_caller(&mut self, now: Millis, request: RequestFingerprints) -> SendDecision {
        let decision = match self.decision_on_trial(now, request.any_caller) {
            quarantined @ SendDecision::Quarantined(_) => quarantined,
            _ => self.decision_on_trial(now, request.of_caller),
        };
        if !matches!(decision, SendDecision::Quarantined(_)) {
            self.set_next_trial(request, now + TRIAL_INTERVAL);
        }
        decision
    }

    /// Records that a request of a caller that was admitted has not been sent, so that it may be admitted again.
    pub fn on_not_sent(&mut self, request: RequestFingerprints) {
        self.set_next_trial(request, Millis::ZERO);
    }

    fn decision_on_trial(&self, now: Millis, request: Fingerprint) -> SendDecision {
        let next_trial_at =
            self.records.get(&request).map(|record| record.next_trial_at).unwrap_or_default();
        match self.send_decision(now, request) {
            SendDecision::Isolate if now < next_trial_at => {
                SendDecision::Quarantined(next_trial_at.since(now))
            }
            decision => decision,
        }
    }

    fn set_next_trial(&mut self, request: RequestFingerprints, at: Millis) {
        let threshold = self.quarantine_threshold;
        for fingerprint in [request.of_caller, request.any_caller] {
            match self.records.get_mut(&fingerprint) {
                Some(record) if record.counted() >= threshold => record.next_trial_at = at,
                _ => {}
            }
        }
    }

    /// Returns whether a request of a caller may be sent. What is known of the request without its caller
    /// only puts it into quarantine.
    pub fn send_decision_for_caller(
        &self,
        now: Millis,
        request: RequestFingerprints,
    ) -> SendDecision {
        match self.send_decision(now, request.any_caller) {
            quarantined @ SendDecision::Quarantined(_) => quarantined,
            _ => self.send_decision(now, request.of_caller),
        }
    }

    /// Returns the requests for which a crash counts at which a request of a caller was in flight.
    ///
    /// It counts without the caller only if it is the first one with the caller. So the crashes of one
    /// caller don't put the requests of others into quarantine, and those of a caller that sends other
    /// headers each time count together.
    pub fn counted_requests(&self, request: RequestFingerprints) -> Vec<Fingerprint> {
        let is_first =
            self.records.get(&request.of_caller).is_none_or(|record| record.counted() == 0);
        let mut requests = vec![request.of_caller];
        requests.extend(
            (is_first && request.any_caller != request.of_caller).then_some(request.any_caller),
        );
        requests
    }

    /// Records a crash at which a request was in flight, seen by this daemon or by another one. Returns
    /// whether the request is in quarantine since then.
    pub fn on_crash(&mut self, now: Millis, request: Fingerprint, crash: CrashId) -> bool {
        self.expire(now);
        if self.is_in_quarantine(now, request) {
            return false;
        }
        let Some(record) = self.record(now, request) else { return false };
        if record.crashes.contains_key(&crash) {
            return false;
        }
        record.insert(crash, Crash { at: now + ORIGIN, cleared: false });
        self.is_in_quarantine(now, request)
    }

    /// Records that a request was answered, and thus did not crash the server.
    ///
    /// A request in quarantine stays there: the answered one can only have been sent before the
    /// quarantine began.
    pub fn on_answered(&mut self, now: Millis, request: Fingerprint) {
        if self.is_in_quarantine(now, request) {
            return;
        }
        if let Some(record) = self.records.get_mut(&request) {
            record.crashes.values_mut().for_each(|crash| crash.cleared = true);
        }
    }

    /// Records that a request of a caller was answered: see [`CrashSuspects::on_answered`].
    pub fn on_caller_answered(&mut self, now: Millis, request: RequestFingerprints) {
        self.on_answered(now, request.of_caller);
        self.on_answered(now, request.any_caller);
    }

    /// Returns whether no request is tracked. In this usual case, callers need not compute the
    /// fingerprints of requests.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops the records that have expired.
    pub fn expire(&mut self, now: Millis) {
        let threshold = self.quarantine_threshold;
        self.records.retain(|_, record| now + ORIGIN < record.expires_at(threshold));
    }

    /// Identifies the requests that other daemons are told again, with their crashes. Daemons with
    /// the same digest have nothing to tell each other. It is zero if there are none.
    pub fn digest(&self, now: Millis) -> u64 {
        let digests = self.shared(now).into_iter().map(|(request, record)| {
            let builder = FingerprintBuilder::default().bytes(&request.0.to_le_bytes());
            let crashes = record.crashes.iter().fold(builder, |builder, (id, crash)| {
                builder.bytes(&id.0.to_le_bytes()).bytes(&[u8::from(crash.cleared)])
            });
            crashes.finish().0
        });
        digests.fold(0, u64::wrapping_add)
    }

    /// Returns what to tell a daemon, or `None` if there is nothing. `theirs` is its digest, if it is known;
    /// a daemon that may not be there is told no more than the digest.
    pub fn news(&self, now: Millis, theirs: Option<u64>) -> Option<SuspectNews> {
        let digest = self.digest(now);
        let is_lacking = theirs.is_some_and(|theirs| theirs != digest);
        let records = if is_lacking { self.reports(now) } else { Vec::new() };
        (digest != 0).then_some(SuspectNews { digest, records })
    }

    /// Returns all that other daemons are told.
    pub fn snapshot(&self, now: Millis) -> Option<SuspectNews> {
        let digest = self.digest(now);
        (digest != 0).then(|| SuspectNews { digest, records: self.reports(now) })
    }

    /// Adds what another daemon knows. Returns the requests that are in quarantine since then.
    pub fn merge(&mut self, now: Millis, reports: &[SuspectReport]) -> Vec<Fingerprint> {
        self.expire(now);
        let mut quarantined = Vec::new();
        for report in reports.iter().take(MAX_SHARED) {
            if self.merge_report(now, report) {
                quarantined.push(Fingerprint(report.fingerprint));
            }
        }
        quarantined
    }

    fn merge_report(&mut self, now: Millis, report: &SuspectReport) -> bool {
        let crashes = &report.crashes[..report.crashes.len().min(MAX_CRASHES)];
        let told = crashes.iter().map(|told| {
            let at = (now + ORIGIN).since(told.age);
            (CrashId(told.crashed.0), Crash { at, cleared: told.cleared })
        });
        let told = SuspectRecord { crashes: told.collect(), ..SuspectRecord::default() };
        if self.is_expired(now, &told) {
            return false;
        }
        let request = Fingerprint(report.fingerprint);
        let was_quarantined = self.is_in_quarantine(now, request);
        // Whether an answer is known matters only as long as nobody has the request in quarantine.
        let in_quarantine = was_quarantined || self.quarantine_left(now, &told).is_some();
        let Some(record) = self.record(now, request) else { return false };
        for (id, told) in told.crashes {
            let crash = match record.crashes.get(&id) {
                Some(known) => Crash {
                    // The age leaves out the time that the message was under way.
                    at: known.at.min(told.at),
                    cleared: match in_quarantine {
                        true => told.cleared && known.cleared,
                        false => told.cleared || known.cleared,
                    },
                },
                None => told,
            };
            record.insert(id, crash);
        }
        !was_quarantined && self.is_in_quarantine(now, request)
    }

    fn reports(&self, now: Millis) -> Vec<SuspectReport> {
        let shared = self.shared(now).into_iter();
        shared.map(|(request, record)| record.report(now, request)).collect()
    }

    /// Returns the records that other daemons are told again, those with the most crashes first.
    fn shared(&self, now: Millis) -> Vec<(Fingerprint, &SuspectRecord)> {
        let records = self.records.iter().filter(|(_, record)| !self.is_expired(now, record));
        let records = records.map(|(request, record)| (*request, record));
        let (mut shared, mut once): (Vec<_>, Vec<_>) =
            records.partition(|(_, record)| record.crashes.len() > 1);
        for records in [&mut shared, &mut once] {
            records.sort_by_cached_key(|(request, record)| (Reverse(record.counted()), *request));
        }
        once.truncate(MAX_SHARED_ONCE);
        shared.truncate(MAX_SHARED - once.len());
        shared.extend(once);
        shared
    }

    /// Returns the record of a request. If there is no room for a new one, the one that matters least is
    /// dropped, or there is none because all are in quarantine.
    fn record(&mut self, now: Millis, request: Fingerprint) -> Option<&mut SuspectRecord> {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&request) {
            let weight = |record: &SuspectRecord| (record.counted(), record.last_crash_at());
            let is_quarantined =
                |record: &SuspectRecord| self.quarantine_left(now, record).is_some();
            let others = self.records.iter().filter(|(_, record)| !is_quarantined(record));
            let (least, _) = others.min_by_key(|(_, record)| weight(record))?;
            let least = *least;
            self.records.remove(&least);
        }
        Some(self.records.entry(request).or_default())
    }

    fn is_in_quarantine(&self, now: Millis, request: Fingerprint) -> bool {
        self.records.get(&request).is_some_and(|record| self.quarantine_left(now, record).is_some())
    }

    /// Returns how long a request stays in quarantine, if it is there.
    fn quarantine_left(&self, now: Millis, record: &SuspectRecord) -> Option<Millis> {
        let ends_at = record.quarantine_ends(self.quarantine_threshold)?;
        Some(ends_at.since(now + ORIGIN)).filter(|left| *left > Millis::ZERO)
    }

    fn is_expired(&self, now: Millis, record: &SuspectRecord) -> bool {
        now + ORIGIN >= record.expires_at(self.quarantine_threshold)
    }
}

impl SuspectRecord {
    /// Adds or replaces a crash. If there is no room for a new one, the one that matters least is dropped.
    fn insert(&mut self, id: CrashId, crash: Crash) {
        self.crashes.insert(id, crash);
        if self.crashes.len() > MAX_CRASHES {
            let weight = |crash: &Crash| (!crash.cleared, crash.at);
            let least = self.crashes.iter().min_by_key(|(_, crash)| weight(crash));
            let least = least.map(|(id, _)| *id);
            self.crashes.retain(|id, _| Some(*id) != least);
        }
    }

    /// Returns the number of crashes after which the request was not answered.
    fn counted(&self) -> usize {
        self.crashes.values().filter(|crash| !crash.cleared).count()
    }

    /// Returns the end of the last quarantine since [`ORIGIN`], if there were enough crashes for one.
    fn quarantine_ends(&self, threshold: usize) -> Option<Millis> {
        let counted = self.crashes.values().filter(|crash| !crash.cleared);
        let mut counted: Vec<Millis> = counted.map(|crash| crash.at).collect();
        counted.sort_unstable();
        let mut counted = counted.into_iter().skip(threshold.saturating_sub(1));
        let mut length = SUSPECT_TTL;
        let mut ends_at = counted.next()? + length;
        for crash in counted {
            if crash >= ends_at {
                length = (length * 2).min(MAX_QUARANTINE);
                ends_at = crash + length;
            }
        }
        Some(ends_at)
    }

    fn last_crash_at(&self) -> Millis {
        self.crashes.values().map(|crash| crash.at).max().unwrap_or_default()
    }

    /// Returns when the record is dropped, since [`ORIGIN`]. One that was cleared on trial is kept to tell others.
    fn expires_at(&self, threshold: usize) -> Millis {
        let kept_for = if self.crashes.len() >= threshold { RETENTION } else { SUSPECT_TTL };
        self.last_crash_at() + kept_for
    }

    fn report(&self, now: Millis, request: Fingerprint) -> SuspectReport {
        let crashes = self.crashes.iter().map(|(crash, known)| CrashReport {
            crashed: Incarnation(crash.0),
            age: (now + ORIGIN).since(known.at),
            cleared: known.cleared,
        });
        SuspectReport { fingerprint: request.0, crashes: crashes.collect() }
    }
}
