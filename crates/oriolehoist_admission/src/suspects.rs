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

/// Remembers which requests were at servers that crashed.
///
/// Whatever was in flight at a crash is a suspect. A suspect that is answered is cleared; one
/// that is there at a second crash is quarantined for a while.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    cases: HashMap<Fingerprint, Case>,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    crashes: u32,
    until: Millis,
}

/// How long a suspicion or a quarantine lasts.
const CASE_LENGTH: Millis = Millis::from_secs(60);
/// How many crashes put a request into quarantine.
const CRASHES_TO_QUARANTINE: u32 = 2;
/// The greatest number of suspects that are remembered.
const MAX_CASES: usize = 4096;

impl Suspects {
    /// Judges a request.
    pub fn judge(&self, now: Millis, fingerprint: Fingerprint) -> Judgement {
        match self.cases.get(&fingerprint) {
            Some(case) if now >= case.until => Judgement::Clear,
            Some(case) if case.crashes >= CRASHES_TO_QUARANTINE => {
                Judgement::Quarantined(case.until.since(now))
            }
            Some(_) => Judgement::Alone,
            None => Judgement::Clear,
        }
    }

    /// Notes a crash at which these requests were in flight. Returns how many crashes each has.
    pub fn on_crash(&mut self, now: Millis, in_flight: &[Fingerprint]) -> Vec<(Fingerprint, u32)> {
        self.cases.retain(|_, case| case.until > now);
        let mut crashes = Vec::new();
        for &fingerprint in in_flight {
            let seen = self.cases.get(&fingerprint).map_or(0, |case| case.crashes);
            self.note(now, fingerprint, seen + 1);
            crashes.push((fingerprint, seen + 1));
        }
        crashes
    }

    /// Takes over what another daemon has seen of a request.
    pub fn note(&mut self, now: Millis, fingerprint: Fingerprint, crashes: u32) {
        let known = self.cases.contains_key(&fingerprint);
        if !known && self.cases.len() >= MAX_CASES {
            return;
        }
        let case = self.cases.entry(fingerprint).or_insert(Case { crashes: 0, until: now });
        case.crashes = case.crashes.max(crashes);
        case.until = now + CASE_LENGTH;
    }

    /// Notes that a request was answered: it did not crash the server.
    ///
    /// A request in quarantine stays there; it can only have been sent before.
    pub fn on_answered(&mut self, fingerprint: Fingerprint) {
        let clears = |case: &Case| case.crashes < CRASHES_TO_QUARANTINE;
        if self.cases.get(&fingerprint).is_some_and(clears) {
            self.cases.remove(&fingerprint);
        }
    }

    /// Returns whether anything is remembered, so that the usual path costs nothing.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }
}
