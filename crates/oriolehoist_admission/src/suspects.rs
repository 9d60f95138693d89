use {
    oriolehoist_time::Millis,
    std::{
        collections::HashMap,
        hash::{DefaultHasher, Hash, Hasher},
    },
};

/// Identifies requests that are the same but for their id: service, method, path, key and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes it from what identifies the request; the same on every daemon.
    pub fn of(request: &impl Hash) -> Fingerprint {
        // The standard hasher without a random seed gives the same value in every process.
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        Fingerprint(hasher.finish())
    }
}

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
/// that is there at several crashes is quarantined for a while. Copies of a request that were in
/// flight at the same crash count once.
#[derive(Clone, Debug)]
pub struct Suspects {
    cases: HashMap<Fingerprint, Case>,
    crashes_to_quarantine: usize,
}

#[derive(Clone, Debug)]
struct Case {
    crashes: Vec<Crash>,
    until: Millis,
}

/// How long a suspicion or a quarantine lasts.
const CASE_LENGTH: Millis = Millis::from_secs(60);
/// How many crashes usually put a request into quarantine.
const CRASHES_TO_QUARANTINE: usize = 2;
/// The greatest number of suspects that are remembered.
const MAX_CASES: usize = 4096;

impl Default for Suspects {
    fn default() -> Suspects {
        Suspects::with_crashes(CRASHES_TO_QUARANTINE)
    }
}

impl Suspects {
    /// Creates a memory that puts a request into quarantine after this many crashes.
    pub fn with_crashes(crashes: usize) -> Suspects {
        Suspects { cases: HashMap::new(), crashes_to_quarantine: crashes }
    }

    /// Judges a request.
    pub fn judge(&self, now: Millis, fingerprint: Fingerprint) -> Judgement {
        match self.cases.get(&fingerprint) {
            Some(case) if now >= case.until => Judgement::Clear,
            Some(case) if self.is_convicted(case) => Judgement::Quarantined(case.until.since(now)),
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
        if !case.crashes.contains(&crash) && case.crashes.len() < self.crashes_to_quarantine {
            case.crashes.push(crash);
            case.until = now + CASE_LENGTH;
        }
    }

    /// Notes that a request was answered: it did not crash the server.
    ///
    /// A request in quarantine stays there; it can only have been sent before.
    pub fn on_answered(&mut self, fingerprint: Fingerprint) {
        if self.cases.get(&fingerprint).is_some_and(|case| !self.is_convicted(case)) {
            self.cases.remove(&fingerprint);
        }
    }

    /// Returns whether nothing is remembered, so that the usual path costs nothing.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    fn is_convicted(&self, case: &Case) -> bool {
        case.crashes.len() >= self.crashes_to_quarantine
    }
}
