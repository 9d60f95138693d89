//! The life of a request on the platform interface.

mod hand_over;
mod load_check;
mod steps;

pub use steps::{
    AttemptEnd, ExpectedLoad, Gates, HEADROOM_EXEMPT_SHARE, PlatformNext, PlatformTerms, Selected,
};
use {
    crate::{
        hand_over::DaemonTries,
        progress::Progress,
        refusal::{MayHaveRun, Refusal},
        stopping::Stop,
    },
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
};

/// The maximum wait while a key is being moved. The work in flight at the previous owner has to end
/// first.
const MOVE_TIMEOUT: Millis = Millis(500);
/// The maximum wait for a newer view after a server responded that it does not own the key.
const VIEW_UPDATE_TIMEOUT: Millis = Millis(250);
/// How many times a request is retried after a server responded that it does not own the key.
const MAX_NOT_OWNER_RETRIES: u32 = 3;
/// How many times a request is retried because it could not be sent to the server.
const MAX_SEND_RETRIES: u32 = 2;
/// The minimum retry advice, also used if nothing more precise is known.
pub const MIN_RETRY_AFTER: Millis = Millis(100);

/// The state of a request with servers named by `S`.
#[derive(Clone, Debug)]
pub struct PlatformRequest<S> {
    pub(crate) terms: PlatformTerms,
    progress: Progress,
    /// The selected server.
    server: Option<S>,
    /// When the wait for the key's owner began.
    waiting_since: Option<Millis>,
    tried: Vec<S>,
    saturated: Vec<S>,
    attempts: u32,
    unreachable: u32,
    not_owner_retries: u32,
    send_retries: u32,
    daemon_tries: DaemonTries,
    /// Whether a retry was spent for the current hand-over. A daemon that can't help has sent
    /// nothing, so the next one costs no other retry.
    is_hand_over_paid: bool,
    /// The attempts that the daemon asked last may make.
    given_attempts: u32,
    /// When the wait for a server's queue ends at the latest, if the request was told to wait.
    hold_ends: Option<Millis>,
    /// Whether the daemon lets the request wait for its server's queue no more.
    is_hold_denied: bool,
    /// The stop of the daemon, if it is stopping.
    pub(crate) stop: Option<Stop>,
}

impl<S: Clone + PartialEq> PlatformRequest<S> {
    /// Creates the state of a request that was not sent yet.
    pub fn new(terms: PlatformTerms) -> PlatformRequest<S> {
        PlatformRequest {
            terms,
            progress: Progress::new(terms.is_idempotent, terms.deadline),
            server: None,
            waiting_since: None,
            tried: Vec::new(),
            saturated: Vec::new(),
            attempts: 0,
            unreachable: 0,
            not_owner_retries: 0,
            send_retries: 0,
            daemon_tries: DaemonTries::default(),
            is_hand_over_paid: false,
            given_attempts: 0,
            hold_ends: None,
            is_hold_denied: false,
            stop: None,
        }
    }

    /// Returns the servers that the request may have been sent to. Others are preferred.
    pub fn tried(&self) -> &[S] {
        &self.tried
    }

    /// Returns the servers whose limit on the request rate does not admit the request, or that no
    /// daemon reaches. They are left out of the selection.
    pub fn saturated(&self) -> &[S] {
        &self.saturated
    }

    /// Returns in how many attempts the request may have been sent.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns whether the request may have run in an attempt without a response.
    pub fn may_have_run(&self) -> bool {
        self.progress.may_have_run()
    }

    /// Returns the final form of a refusal that was decided elsewhere.
    pub fn finish<R: MayHaveRun>(&self, refusal: R) -> R {
        self.progress.finish(refusal)
    }

    /// Decides on the step after a server was selected. `is_path_lost` is whether this daemon does not reach it.
    pub fn on_selected(&mut self, server: S, is_path_lost: bool) -> Selected {
        self.waiting_since = None;
        self.server = Some(server);
        match is_path_lost {
            true if self.terms.is_handed_over => {
                let reason = "this daemon does not reach the server";
                let refusal = Refusal::new(RefusalKind::Unreachable, reason);
                Selected::Refuse(self.finish(refusal))
            }
            true => Selected::HandOver,
            false => Selected::Admit,
        }
    }

    /// Returns how long to wait for a newer view if the key's owner will be known later.
    pub fn on_moving(&mut self, now: Millis) -> Millis {
        let started = *self.waiting_since.get_or_insert(now);
        (started + MOVE_TIMEOUT).min(self.terms.objective_ends).since(now)
    }

    /// Returns the refusal of a request for which no newer view has arrived in time.
    pub fn on_move_timed_out(&self) -> Refusal {
        let refusal = Refusal::new(RefusalKind::NoOwner, "the key is being moved");
        self.on_none_selected(refusal.with_retry_after(MIN_RETRY_AFTER))
    }

    /// Returns the refusal of a request for which no server could be selected, for this reason.
    pub fn on_none_selected(&self, refusal: Refusal) -> Refusal {
        self.finish(match self.unreachable {
            0 => refusal,
            _ => hand_over::no_path_refusal(),
        })
    }

    /// Decides whether the request may be sent to the selected server.
    ///
    /// # Errors
    ///
    /// Returns the next step of a request that may not.
    pub fn admit(&mut self, now: Millis, gates: &mut impl Gates) -> Result<(), PlatformNext> {
        self.check_server(now, gates)?;
        self.start_attempt(now, gates)
    }

    /// Decides the same as far as the server's load and limits are concerned. What follows is decided by
    /// [`PlatformRequest::start_attempt`].
    ///
    /// # Errors
    ///
    /// Returns the next step of a request that may not be sent.
    pub fn check_server(
        &mut self,
        now: Millis,
        gates: &mut impl Gates,
    ) -> Result<(), PlatformNext> {
        gates.count();
        let load = gates.expected_load();
        self.check_stop(now, Some(load.latency)).map_err(PlatformNext::Refuse)?;
        self.check_load(now, load)?;
        gates.pass_quarantine().map_err(|refusal| self.refuse(refusal))?;
        gates.take_from_rate_limit().map_err(|refusal| self.on_limited(refusal))
    }

    /// Decides on the step after the server's limit on the request rate did not admit the request.
    pub fn on_limited(&mut self, refusal: Refusal) -> PlatformNext {
        if self.terms.is_keyed {
            return self.refuse(refusal);
        }
        // Another server may take it.
        self.saturated.extend(self.server.clone());
        PlatformNext::Select
    }

    /// Decides whether a request that its server can take may be sent for the first time, or again.
    ///
    /// # Errors
    ///
    /// Returns the next step of a request that may not.
    pub fn start_attempt(
        &mut self,
        now: Millis,
        gates: &mut impl Gates,
    ) -> Result<(), PlatformNext> {
        if !self.progress.is_before_deadline(now) {
            return Err(self.refuse(deadline_passed()));
        }
        self.check_stop(now, None).map_err(PlatformNext::Refuse)?;
        if self.attempts > 0 && !gates.try_spend_retry() {
            return Err(self.refuse(budget_spent()));
        }
        if self.is_new_server() && !self.has_servers_left() {
            return Err(self.refuse(attempts_used_up()));
        }
        Ok(())
    }

    /// Records that the server has responded, and the response is the caller's.
    pub fn on_response(&mut self) {
        self.count_attempt();
    }

    /// Decides on the step after an attempt that ended without a response for the caller.
    pub fn on_attempt_ended(&mut self, now: Millis, end: AttemptEnd) -> PlatformNext {
        let is_new_server = self.is_new_server();
        if !matches!(end, AttemptEnd::NotSent { .. }) {
            self.count_attempt();
        }
        match end {
            AttemptEnd::Shed { .. } if !self.terms.is_keyed && self.has_servers_left() => {
                PlatformNext::Select
            }
            AttemptEnd::Shed { wait } => {
                let wait = wait.max(MIN_RETRY_AFTER);
                let refusal = Refusal::new(RefusalKind::Overloaded, "the server is overloaded");
                self.refuse(refusal.with_expected_wait(wait).with_retry_after(wait))
            }
            AttemptEnd::NotOwner if self.not_owner_retries < MAX_NOT_OWNER_RETRIES => {
                self.not_owner_retries += 1;
                // If no newer view arrives, the same server is tried again: it may just have been
                // granted the key. It does not count as tried.
                self.tried.pop();
                let timeout = VIEW_UPDATE_TIMEOUT.min(self.progress.remaining(now));
                PlatformNext::WaitAndSelect { timeout }
            }
            AttemptEnd::NotOwner => {
                let refusal = Refusal::new(RefusalKind::NoOwner, "the server does not own the key");
                self.refuse(refusal.with_retry_after(VIEW_UPDATE_TIMEOUT))
            }
            // The server itself did not get the request, so it does not count as tried.
            AttemptEnd::OtherServer if self.not_owner_retries < MAX_NOT_OWNER_RETRIES => {
                self.not_owner_retries += 1;
                if is_new_server {
                    self.tried.pop();
                }
                PlatformNext::Select
            }
            AttemptEnd::OtherServer => {
                let reason = "another process has the server's address";
                let refusal = Refusal::new(RefusalKind::Unreachable, reason);
                self.refuse(refusal.with_retry_after(MIN_RETRY_AFTER))
            }
            // The next attempt is made by way of another daemon.
            AttemptEnd::NotSent { is_path_lost: true } => PlatformNext::Select,
            AttemptEnd::NotSent { .. } if self.send_retries < MAX_SEND_RETRIES => {
                self.send_retries += 1;
                // Only the owner can serve a key, so the next attempt waits for a new view, or a
                // short time if there is none.
                match self.terms.is_keyed {
                    true => PlatformNext::WaitAndSelect {
                        timeout: MIN_RETRY_AFTER.min(self.progress.remaining(now)),
                    },
                    false => PlatformNext::Select,
                }
            }
            AttemptEnd::NotSent { .. } => {
                let reason = "no connection to the server";
                self.refuse(Refusal::new(RefusalKind::Unreachable, reason))
            }
            AttemptEnd::NoResponse(_) if self.progress.may_repeat(now) => {
                self.progress.on_may_have_run();
                PlatformNext::Select
            }
            AttemptEnd::NoResponse(reason) => {
                self.refuse(Refusal::new(RefusalKind::OutcomeUnknown, reason))
            }
            AttemptEnd::TimedOut => {
                let reason = "the deadline passed before the response arrived";
                self.refuse(Refusal::new(RefusalKind::OutcomeUnknown, reason))
            }
        }
    }

    fn refuse(&self, refusal: Refusal) -> PlatformNext {
        PlatformNext::Refuse(self.finish(refusal))
    }

    fn is_new_server(&self) -> bool {
        self.server.as_ref().is_some_and(|server| !self.tried.contains(server))
    }

    fn has_servers_left(&self) -> bool {
        self.terms.max_attempts as usize > self.tried.len()
    }

    fn count_attempt(&mut self) {
        self.attempts += 1;
        if self.is_new_server() {
            self.tried.extend(self.server.clone());
        }
    }
}

fn deadline_passed() -> Refusal {
    Refusal::new(RefusalKind::Overloaded, "the deadline has already passed")
        .with_expected_wait(Millis::ZERO)
        .with_retry_after(MIN_RETRY_AFTER)
}

fn budget_spent() -> Refusal {
    Refusal::new(RefusalKind::ServerRefused, "the retry budget is spent")
}

fn attempts_used_up() -> Refusal {
    let reason = "the route's maximum number of attempts is reached";
    Refusal::new(RefusalKind::ServerRefused, reason)
}
