use {oriolehoist_time::Millis, std::collections::HashMap};

/// Identifies requests that are the same but for their id: service, method, path, key and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    /// Send it.
    Clear,
    /// Send it, but only when no other suspect is at that server.
    Alone,
    /// Refuse it; the quarantine ends after this time.
    Quarantined(Millis),
}

/// Identifies one crash of one server: the incarnation that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Crash(pub u64);

/// Remembers which requests were at servers that crashed.
///
/// Whatever was in flight at a crash is a suspect. A suspect that is answered is cleared; one
/// that is there at a second crash is quarantined for a while. Copies of a request that were in
/// flight at the same crash count once.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    cases: HashMap<Fingerprint, Case>,
}

#[derive(Clone, Debug)]
struct Case {
    crashes: Vec<Crash>,
    until: Millis,
}

/// How long a suspicion or a quarantine lasts.
const CASE_LENGTH: Millis = Millis::from_secs(60);
/// How many crashes put a request into quarantine.
const CRASHES_TO_QUARANTINE: usize = 2;
/// The greatest number of suspects that are remembered.
const MAX_CASES: usize = 4096;

impl Suspects {
    /// Judges a request.
    pub fn judge(&self, now: Millis, fingerprint: Fingerprint) -> Judgement {
        match self.cases.get(&fingerprint) {
            Some(case) if now >= case.until => Judgement::Clear,
            Some(case) if case.is_convicted() => Judgement::Quarantined(case.until.since(now)),
            Some(_) => Judgement::Alone,
            None => Judgement::Clear,
        }
    }

    /// Notes a crash at which a request was in flight, seen here or by another daemon.
    pub fn on_crash(&mut self, now: Millis, fingerprint: Fingerprint, crash: Crash) {
        self.cases.retain(|_, case| case.until > now);
        let known = self.cases.contains_key(&fingerprint);
        if !known && self.cases.len() >= MAX_CASES {
            return;
        }
        let case =
            self.cases.entry(fingerprint).or_insert(Case { crashes: Vec::new(), until: now });
        if !case.crashes.contains(&crash) && !case.is_convicted() {
            case.crashes.push(crash);
            case.until = now + CASE_LENGTH;
        }
    }

    /// Notes that a request was answered: it did not crash the server.
    ///
    /// A request in quarantine stays there; it can only have been sent before.
    pub fn on_answered(&mut self, fingerprint: Fingerprint) {
        if self.cases.get(&fingerprint).is_some_and(|case| !case.is_convicted()) {
            self.cases.remove(&fingerprint);
        }
    }

    /// Returns whether nothing is remembered, so that the usual path costs nothing.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }
}

impl Case {
    fn is_convicted(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_QUARANTINE
    }
}
