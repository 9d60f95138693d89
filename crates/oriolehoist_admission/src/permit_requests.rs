use {
    crate::{MAX_PERMIT_VALIDITY, PermitReply},
    oriolehoist_time::Millis,
};

/// How many permits for one cold server a daemon asks for at the same time.
const MAX_ASKED: u32 = 8;
/// How many more for one that has named a limit, in seconds of the limit: as many as it may use while an answer is
/// waited for.
const MAX_ASKED_SECONDS: f64 = 0.2;
/// When a daemon asks again that was not answered, or by one that issues no permits.
const UNANSWERED_RETRY: Millis = Millis(250);
/// The shortest time after which a daemon asks again that was denied a permit.
const MIN_RETRY: Millis = Millis(20);
/// When a request may come back if permits for its server are being asked for already.
const BUSY_RETRY: Millis = Millis(100);

/// The right to send one request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    asked_at: Millis,
}

impl Permit {
    /// Returns whether the request may be sent at `now`.
    pub fn is_usable(&self, now: Millis) -> bool {
        now.since(self.asked_at) < MAX_PERMIT_VALIDITY
    }

    /// Returns when the permit was asked for.
    pub fn asked_at(&self) -> Millis {
        self.asked_at
    }
}

/// Why a daemon got no permit, with the time after which a request may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPermit {
    /// The issuer has denied it.
    Denied(Millis),
    /// No issuer has answered in time.
    Unanswered(Millis),
}

impl NoPermit {
    /// Returns the time after which a request may come back.
    pub fn wait(self) -> Millis {
        match self {
            NoPermit::Denied(wait) | NoPermit::Unanswered(wait) => wait,
        }
    }
}

/// How one daemon asks for permits to send requests to one server.
///
/// A daemon that was denied one does not ask again until the time that it was told, so that the issuer is not
/// asked for each request of each daemon.
#[derive(Clone, Debug, Default)]
pub struct PermitRequests {
    /// The queries in flight.
    asked: u32,
    /// When a permit may be asked for again.
    ask_after: Millis,
    /// The same, as far as the issuer has said so.
    denied_until: Millis,
    /// Permits that came too late for the request that they were asked for.
    unused: Vec<Permit>,
}

impl PermitRequests {
    /// Returns how long it takes until a permit may be asked for.
    pub fn wait(&self, now: Millis) -> Millis {
        self.wait_until(now, self.ask_after, MAX_ASKED)
    }

    /// Returns the same for a server that has named this limit, in requests per second. It gets requests without
    /// permits while no issuer answers.
    pub fn wait_if_answered(&self, now: Millis, limit: f64) -> Millis {
        let max_asked = MAX_ASKED.saturating_add((limit * MAX_ASKED_SECONDS) as u32);
        self.wait_until(now, self.denied_until, max_asked)
    }

    fn wait_until(&self, now: Millis, until: Millis, max_asked: u32) -> Millis {
        match self.asked < max_asked {
            _ if self.unused.iter().any(|permit| permit.is_usable(now)) => Millis::ZERO,
            true => until.since(now),
            false => BUSY_RETRY.max(until.since(now)),
        }
    }

    /// Keeps a permit whose request has gone, for the next one.
    pub fn keep(&mut self, permit: Permit) {
        self.unused.push(permit);
    }

    /// Takes a permit that was kept and can still be used.
    pub fn take_unused(&mut self, now: Millis) -> Option<Permit> {
        self.unused.retain(|permit| permit.is_usable(now));
        self.unused.pop()
    }

    /// Records that the server gets requests without permits.
    pub fn on_free(&mut self) {
        (self.ask_after, self.denied_until) = (Millis::ZERO, Millis::ZERO);
    }

    /// Records that a permit is asked for.
    pub fn on_asked(&mut self) {
        self.asked += 1;
    }

    /// Records that nobody waits for the reply any more.
    pub fn on_ended(&mut self) {
        self.asked = self.asked.saturating_sub(1);
    }

    /// Records a reply to what was asked at `asked_at`, or that there was none in time.
    ///
    /// # Errors
    ///
    /// Returns an error if the request gets no permit.
    pub fn on_reply(
        &mut self,
        now: Millis,
        asked_at: Millis,
        reply: Option<PermitReply>,
    ) -> Result<Permit, NoPermit> {
        let no_permit = match reply {
            Some(PermitReply::Issued) => {
                let permit = Permit { asked_at };
                match permit.is_usable(now) {
                    true => return Ok(permit),
                    false => NoPermit::Unanswered(MIN_RETRY),
                }
            }
            Some(PermitReply::Denied(wait)) => {
                let wait = wait.max(MIN_RETRY);
                self.denied_until = self.denied_until.max(now + wait);
                NoPermit::Denied(wait)
            }
            Some(PermitReply::NotIssuer) | None => NoPermit::Unanswered(UNANSWERED_RETRY),
        };
        self.ask_after = self.ask_after.max(now + no_permit.wait());
        Err(no_permit)
    }
}
