//! The life of a request on the own interface.

use {
    crate::{
        hand_over::{DaemonEnd, DaemonTries, HandOverNext, NoFurtherTry},
        progress::Progress,
        refusal::{MayHaveRun, Refusal},
    },
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
};

/// Maximum number of attempts to send one request to a server.
const MAX_ATTEMPTS: u32 = 12;
/// Timeout of the first attempt of an idempotent request. The next attempt uses a new connection.
const FIRST_ATTEMPT_TIMEOUT: Millis = Millis(400);
/// Base of the delay before the next attempt at an unreachable server. The delay doubles with each
/// attempt. Also the minimum delay that a caller is told when the queue is full.
const BASE_RETRY_DELAY: Millis = Millis(10);
/// Maximum delay before the next attempt at an unreachable server.
const MAX_RETRY_DELAY: Millis = Millis(200);
/// Maximum wait for the end of a planned move.
const MAX_MOVE_WAIT: Millis = Millis(500);

/// What is fixed for a request when it arrives.
#[derive(Clone, Copy, Debug)]
pub struct OwnTerms {
    /// Whether it may run twice.
    pub is_idempotent: bool,
    /// Whether its class is bulk.
    pub is_bulk: bool,
    /// Whether its caller repeats an earlier request.
    pub is_caller_repeat: bool,
    /// Whether another daemon has handed it over. It is not handed on.
    pub is_handed_over: bool,
    /// When it times out.
    pub deadline: Millis,
}

/// A server that was found for a request.
#[derive(Clone, Copy, Debug)]
pub struct Found {
    /// Whether it owns the request's key.
    pub is_keyed: bool,
    /// Whether the key's previous owner was lost, so that it is unknown which requests it ran last.
    pub is_after_loss: bool,
    /// Whether this daemon does not reach it.
    pub is_path_lost: bool,
}

/// The step after a server was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoundNext {
    /// Queue for the server, and send the request.
    Attempt,
    /// Hand the request over to a daemon that reaches the server, and attempt it at the server if there
    /// is none.
    HandOver,
    /// Refuse a request that was handed over, to a server that this daemon does not reach either.
    RefuseWithoutPath(Refusal),
    /// Refuse the request.
    Refuse(Refusal),
}

/// Why the queue for a server does not take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRefusal {
    /// The queue is full. Contains the expected wait.
    Full(Millis),
    /// The deadline ends before the wait. Contains the expected wait, or zero if the deadline passed in
    /// the queue.
    Deadline(Millis),
}

/// How an attempt ended without a response for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnAttemptEnd {
    /// The server has no free slot, and did not run the request.
    Shed,
    /// The server does not serve the request, and did not run it.
    NotOwner,
    /// Nothing was sent.
    NotSent,
    /// The response did not complete in time. The request may have run.
    TimedOut,
    /// The connection broke, or the response was unusable. The request may have run.
    Interrupted,
    /// The response is larger than allowed.
    TooLarge,
}

/// The step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnNext {
    /// Find another destination than that of this attempt.
    FindElsewhere,
    /// Find the destination that is valid after a delay.
    FindAfter(Millis),
    /// Refuse the request.
    Refuse(Refusal),
}

/// The state of a request.
#[derive(Clone, Copy, Debug)]
pub struct OwnRequest {
    terms: OwnTerms,
    progress: Progress,
    /// When the current search for the owner began.
    searching_since: Option<Millis>,
    /// The attempts that were begun.
    attempts: u32,
    is_keyed: bool,
    daemon_tries: DaemonTries,
}

impl OwnRequest {
    /// Creates the state of a request that was not sent yet.
    pub fn new(terms: OwnTerms) -> OwnRequest {
        OwnRequest {
            terms,
            progress: Progress::new(terms.is_idempotent, terms.deadline),
            searching_since: None,
            attempts: 0,
            is_keyed: false,
            daemon_tries: DaemonTries::default(),
        }
    }

    /// Returns whether the request may have run in an attempt without a response.
    pub fn may_have_run(&self) -> bool {
        self.progress.may_have_run()
    }

    /// Returns the final form of a refusal.
    pub fn finish<R: MayHaveRun>(&self, refusal: R) -> R {
        self.progress.finish(refusal)
    }

    /// Returns how long to wait for a view in which the request's key is served, or `None` if the
    /// request is refused instead. `recovery` is the maximum time until the keys of a lost owner are
    /// served again, if the owner is lost.
    pub fn on_not_served(&mut self, now: Millis, recovery: Option<Millis>) -> Option<Millis> {
        let started = *self.searching_since.get_or_insert(now);
        let wait_until = started + recovery.unwrap_or(MAX_MOVE_WAIT);
        match wait_until.min(self.terms.deadline).since(now) {
            Millis::ZERO => None,
            // Waiting is only useful if the recovery can end before the deadline.
            _ if recovery.is_some() && self.terms.deadline < wait_until => None,
            left => Some(left),
        }
    }

    /// Decides on the step after a server was found.
    pub fn on_found(&mut self, found: Found) -> FoundNext {
        self.searching_since = None;
        self.attempts += 1;
        self.is_keyed = found.is_keyed;
        let is_repeat = self.terms.is_caller_repeat && !self.terms.is_idempotent;
        let refusal = |kind, reason| self.finish(Refusal::new(kind, reason));
        match found.is_path_lost {
            // An owner keeps the ids of the requests that it ran, so that it can recognise a repeat.
            // The ids of a lost owner are lost with it.
            _ if is_repeat && found.is_after_loss => {
                let reason = "the owner of an earlier attempt may have been lost";
                FoundNext::Refuse(refusal(RefusalKind::RepeatAfterLoss, reason))
            }
            true if self.terms.is_handed_over => {
                let reason = "no path to the server";
                FoundNext::RefuseWithoutPath(refusal(RefusalKind::Unreachable, reason))
            }
            true => FoundNext::HandOver,
            false => FoundNext::Attempt,
        }
    }

    /// Starts to hand the request over to a daemon that reaches the server.
    pub fn start_hand_over(&mut self, now: Millis) -> HandOverNext {
        self.daemon_tries = DaemonTries::default();
        self.next_daemon(now)
    }

    fn next_daemon(&self, now: Millis) -> HandOverNext {
        match self.daemon_tries.check(self.progress.remaining(now)) {
            Ok(()) => HandOverNext::ChooseDaemon,
            Err(NoFurtherTry::Exhausted) => HandOverNext::NoPath,
            Err(NoFurtherTry::NoTime) => {
                let reason = "the deadline is too close for another daemon";
                HandOverNext::Refuse(self.finish(Refusal::new(RefusalKind::Deadline, reason)))
            }
        }
    }

    /// Records that the chosen daemon is asked.
    pub fn ask_daemon(&mut self) {
        self.daemon_tries.on_asked();
    }

    /// Decides on the step after a daemon was asked that has returned neither a response nor a
    /// refusal. `try_spend_retry` spends a retry of the service's budget, and returns whether there was
    /// one.
    pub fn on_daemon_ended(
        &mut self,
        now: Millis,
        end: DaemonEnd,
        try_spend_retry: impl FnOnce() -> bool,
    ) -> HandOverNext {
        let refuse = |reason| Refusal::new(RefusalKind::OutcomeUnknown, reason);
        match end {
            DaemonEnd::NotRun => self.next_daemon(now),
            DaemonEnd::Malformed => HandOverNext::Refuse(refuse("a daemon's reply is malformed")),
            DaemonEnd::Lost => {
                self.progress.on_may_have_run();
                match self.progress.may_repeat(now) && try_spend_retry() {
                    true => self.next_daemon(now),
                    false => {
                        HandOverNext::Refuse(self.finish(refuse("another daemon did not respond")))
                    }
                }
            }
        }
    }

    /// Returns the refusal of a request that the queue for the server does not take.
    pub fn on_queue_refused(&self, refusal: QueueRefusal) -> Refusal {
        self.finish(match refusal {
            QueueRefusal::Full(wait) => Refusal::new(RefusalKind::Overloaded, "policy.queue")
                .with_retry_after(wait.max(BASE_RETRY_DELAY)),
            QueueRefusal::Deadline(Millis::ZERO) => {
                Refusal::new(RefusalKind::Deadline, "the deadline passed in the queue")
            }
            QueueRefusal::Deadline(wait) => {
                Refusal::new(RefusalKind::Deadline, "the queue is longer than the deadline")
                    .with_retry_after(wait)
            }
        })
    }

    /// Returns how long to wait for the response of an attempt that is sent now.
    ///
    /// The first attempt of an idempotent request gets only a part of the time, since its connection
    /// may have stopped delivering data: the rest allows one more attempt on a new connection. Bulk
    /// requests are excepted.
    pub fn response_timeout(&self, now: Millis) -> Millis {
        let left = self.progress.remaining(now);
        match self.attempts {
            1 if self.terms.is_idempotent && !self.terms.is_bulk => left.min(FIRST_ATTEMPT_TIMEOUT),
            _ => left,
        }
    }

    /// Decides on the step after an attempt that ended without a response for the caller.
    /// `try_spend_retry` spends a retry of the service's budget, and returns whether there was one.
    pub fn on_attempt_ended(
        &mut self,
        now: Millis,
        end: OwnAttemptEnd,
        try_spend_retry: impl FnOnce() -> bool,
    ) -> OwnNext {
        let has_no_response = matches!(end, OwnAttemptEnd::TimedOut | OwnAttemptEnd::Interrupted);
        if has_no_response {
            self.progress.on_may_have_run();
        }
        let can_retry = self.progress.is_before_deadline(now) && self.attempts < MAX_ATTEMPTS;
        let may_repeat = can_retry && self.progress.may_repeat(now);
        let (kind, reason) = match end {
            _ if has_no_response && may_repeat && try_spend_retry() => {
                return OwnNext::FindAfter(Millis::ZERO);
            }
            OwnAttemptEnd::Shed if can_retry && self.is_keyed => {
                return OwnNext::FindAfter(Millis::ZERO);
            }
            OwnAttemptEnd::Shed | OwnAttemptEnd::NotOwner if can_retry => {
                return OwnNext::FindElsewhere;
            }
            OwnAttemptEnd::Shed | OwnAttemptEnd::NotOwner => {
                (RefusalKind::ServerRefused, "refused before running")
            }
            OwnAttemptEnd::NotSent if can_retry && self.is_keyed => {
                let delay = retry_delay(self.attempts).min(self.progress.remaining(now));
                return OwnNext::FindAfter(delay);
            }
            OwnAttemptEnd::NotSent if can_retry => return OwnNext::FindElsewhere,
            OwnAttemptEnd::NotSent => (RefusalKind::Unreachable, "no connection"),
            OwnAttemptEnd::TooLarge => (RefusalKind::AnswerTooLarge, "policy.max_answer_bytes"),
            OwnAttemptEnd::TimedOut => (RefusalKind::OutcomeUnknown, "no answer in time"),
            OwnAttemptEnd::Interrupted => {
                (RefusalKind::OutcomeUnknown, "the connection or the answer broke")
            }
        };
        OwnNext::Refuse(self.finish(Refusal::new(kind, reason)))
    }
}

fn retry_delay(attempts: u32) -> Millis {
    (BASE_RETRY_DELAY * (1 << attempts.min(8))).min(MAX_RETRY_DELAY)
}
