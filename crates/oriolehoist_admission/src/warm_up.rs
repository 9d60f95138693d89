use {
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// The longest time for which a server is believed to be cold. A longer one is malformed.
pub const MAX_WARM_UP: Millis = Millis::from_secs(600);
/// How many events are remembered, so that a late report of one does not count again. All daemons of
/// a fleet may see a restart at the same time and give it different numbers.
const MAX_SEEN_EVENTS: usize = 128;
/// How long daemons that could not connect keep telling the others. A server that is away for longer
/// loses its registration, and all notice when it registers again.
const MAX_REPORTED_OUTAGE: Millis = Millis(5000);
/// How long the early end of a warm-up is reported to the other daemons.
const END_REPORT_DURATION: Millis = Millis(2000);
/// The mean time between two checks of one presumption by different daemons: longer than the outcome
/// of the first one takes to reach the others by way of relays.
const CHECK_SPACING: Millis = Millis(150);

/// What the operators require for servers of one service that have just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpPolicy {
    /// How long a server is cold after its start.
    pub duration: Millis,
    /// The requests per second that a cold server may get from all daemons together.
    pub rate: f64,
    /// How many requests it may get beyond that in any one second.
    pub slack: f64,
}

/// Whether one server is cold, as far as one daemon knows or has to presume.
///
/// A server that may have restarted is presumed to be cold until it says otherwise, because the news
/// of its restart takes longer than the first requests. Events have numbers, so that a report that
/// goes from daemon to daemon, or arrives late, does not prolong the presumption.
#[derive(Clone, Debug, Default)]
pub struct WarmUp {
    policy: Option<WarmUpPolicy>,
    statement: Option<Statement>,
    presumption: Option<Presumption>,
    /// The events known from reports, the latest last.
    seen: VecDeque<u32>,
    /// The event that a later statement has shown to be over, and when that was.
    ended: Option<(u32, Millis)>,
    /// When to ask the server, and the event that it is asked because of.
    check: Option<(u32, Option<Millis>)>,
    /// Whether the server was cold when that was last asked for.
    was_cold: bool,
    /// Since when it had been cold and could be reached at that time.
    cold_since: Option<Millis>,
}

/// The last statement of the server that it is cold, or no longer.
#[derive(Clone, Copy, Debug)]
struct Statement {
    event: u32,
    /// When it was received. What is known to have been made after that is later.
    received_at: Millis,
    cold_until: Millis,
}

/// A reason to presume that the server is cold.
#[derive(Clone, Copy, Debug)]
struct Presumption {
    event: u32,
    /// Statements made before this time say nothing about it.
    at: Millis,
    /// Whether the other daemons are told.
    is_shared: bool,
    state: Presumed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presumed {
    /// It can't be reached since `since`. It is cold from when it is back.
    Unreachable { since: Millis },
    /// It is cold until then.
    Until(Millis),
}

/// What a daemon tells the others about a cold server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WarmUpReport {
    /// Identifies the event or the statement.
    pub event: u32,
    /// For how long the server counts as cold because of it. Zero if it has turned out to be warm.
    pub remaining: Millis,
    /// Whether it is only presumed.
    pub presumed: bool,
}

impl WarmUp {
    /// Returns what the operators require, or `None` if cold servers have no limit.
    pub fn policy(&self) -> Option<WarmUpPolicy> {
        self.policy
    }

    /// Sets what the operators require, or `None` if cold servers have no limit.
    pub fn set_policy(&mut self, policy: Option<WarmUpPolicy>) {
        self.policy = policy;
    }

    /// Returns what the operators require, if the server is cold.
    pub fn cold_policy(&self, now: Millis) -> Option<WarmUpPolicy> {
        self.policy.filter(|_| self.cold_until(now).is_some())
    }

    /// Returns until when the server counts as cold, or `None` if it does not. Of one that can't be
    /// reached, this is the earliest end.
    pub fn cold_until(&self, now: Millis) -> Option<Millis> {
        let policy = self.policy?;
        let stated = self.statement.map_or(Millis::ZERO, |statement| statement.cold_until);
        let presumed = match self.presumption.map(|presumption| presumption.state) {
            Some(Presumed::Unreachable { .. }) => now + policy.duration,
            Some(Presumed::Until(until)) => until,
            None => Millis::ZERO,
        };
        Some(stated.max(presumed)).filter(|until| *until > now)
    }

    /// Returns whether the server is only presumed to be cold.
    pub fn is_presumed(&self, now: Millis) -> bool {
        let is_stated = self.statement.is_some_and(|statement| statement.cold_until > now);
        self.cold_until(now).is_some() && !is_stated
    }

    /// Returns whether the server can't be reached, as far as this daemon has tried.
    pub fn is_unreachable(&self) -> bool {
        let state = self.presumption.map(|presumption| presumption.state);
        matches!(state, Some(Presumed::Unreachable { .. }))
    }

    /// Records that the server said for how long it is still cold, in a statement made no earlier
    /// than `made_after`. It settles what was presumed because of earlier events.
    pub fn on_statement(&mut self, now: Millis, made_after: Millis, remaining: Millis, event: u32) {
        self.on_statement_after(now, made_after, remaining, event, None);
    }

    /// Records the same, made later than the statement `previous`.
    pub fn on_statement_after(
        &mut self,
        now: Millis,
        made_after: Millis,
        remaining: Millis,
        event: u32,
        previous: Option<u32>,
    ) {
        // Of one that may have been made before the last one was received, the order is not known.
        let is_latest = self.statement.is_none_or(|statement| {
            statement.received_at <= made_after || Some(statement.event) == previous
        });
        let cold_until = now + remaining.min(MAX_WARM_UP);
        let settles = |presumption: &Presumption| presumption.at <= made_after;
        let settled = self.presumption.filter(settles);
        if settled.is_some() {
            self.presumption = None;
        }
        let ended = match self.statement {
            Some(statement) if is_latest && statement.cold_until > now => Some(statement.event),
            _ => settled.map(|presumption| presumption.event),
        };
        if remaining == Millis::ZERO {
            self.ended = ended.map(|event| (event, now)).or(self.ended);
        }
        match self.statement {
            // A statement that may be earlier than the last one can't shorten what that one said.
            Some(statement) if !is_latest && statement.cold_until >= cold_until => {}
            _ => self.statement = Some(Statement { event, received_at: now, cold_until }),
        }
        if remaining > Millis::ZERO {
            self.remember(event);
        }
    }

    /// Presumes that the server is cold from now on.
    pub fn presume(&mut self, now: Millis, event: u32) {
        let Some(policy) = self.policy else { return };
        self.remember(event);
        let state = Presumed::Until(now + policy.duration);
        self.presumption = Some(Presumption { event, at: now, is_shared: false, state });
    }

    /// Records that the server can't be reached. `is_refused` is whether its machine says that no
    /// process listens, which holds for all daemons; otherwise the cause may be a single path.
    pub fn on_unreachable(&mut self, now: Millis, is_refused: bool, event: u32) {
        let Some(policy) = self.policy else { return };
        // Of a restart that another daemon has just reported, no second event is made.
        let is_fresh = |until: Millis| until.since(now) > Millis(policy.duration.0 * 2 / 3);
        let (event, since, is_shared) = match self.presumption {
            Some(Presumption {
                event: known,
                state: Presumed::Unreachable { since },
                is_shared,
                at,
            }) if now.since(at) * 3 < policy.duration => (known, since, is_shared),
            Some(Presumption { state: Presumed::Unreachable { since }, is_shared, .. }) => {
                (event, since, is_shared)
            }
            Some(Presumption {
                event: known, state: Presumed::Until(until), is_shared, ..
            }) if is_fresh(until) => (known, now, is_shared),
            _ => (event, now, false),
        };
        self.remember(event);
        let state = Presumed::Unreachable { since };
        let is_shared = is_shared || is_refused;
        self.presumption = Some(Presumption { event, at: now, is_shared, state });
    }

    /// Records that the server has answered. If it could not be reached before, it may have restarted
    /// meanwhile.
    pub fn on_reached(&mut self, now: Millis) {
        let Some(policy) = self.policy else { return };
        if let Some(presumption) = &mut self.presumption
            && let Presumed::Unreachable { .. } = presumption.state
        {
            presumption.state = Presumed::Until(now + policy.duration);
        }
    }

    /// Records a report of another daemon.
    pub fn on_report(&mut self, now: Millis, report: WarmUpReport) {
        let WarmUpReport { event, remaining, presumed } = report;
        let Some(policy) = self.policy else { return };
        let is_new = self.remember(event);
        let cold_until = now + remaining.min(MAX_WARM_UP);
        match self.presumption {
            Some(presumption) if remaining == Millis::ZERO && presumption.event == event => {
                if matches!(presumption.state, Presumed::Until(_)) {
                    self.presumption = None;
                }
            }
            Some(presumption) if is_new && presumed => {
                if let Presumed::Until(until) = presumption.state
                    && until < cold_until
                {
                    self.presume_until(now, event, cold_until.min(now + policy.duration));
                }
            }
            None if is_new && presumed && remaining > Millis::ZERO => {
                self.presume_until(now, event, cold_until.min(now + policy.duration));
            }
            _ => {}
        }
        match &mut self.statement {
            Some(statement) if remaining == Millis::ZERO && statement.event == event => {
                statement.cold_until = statement.cold_until.min(now);
            }
            Some(statement) if is_new && !presumed && statement.cold_until < cold_until => {
                *statement = Statement { event, received_at: now, cold_until };
            }
            None if is_new && !presumed && remaining > Millis::ZERO => {
                self.statement = Some(Statement { event, received_at: now, cold_until });
            }
            _ => {}
        }
    }

    /// Returns what to tell the other daemons, if anything.
    pub fn report(&self, now: Millis) -> Option<WarmUpReport> {
        let policy = self.policy?;
        let report = |event, until: Millis, presumed| {
            let remaining = until.since(now);
            (remaining > Millis::ZERO).then_some(WarmUpReport { event, remaining, presumed })
        };
        let stated = self
            .statement
            .and_then(|statement| report(statement.event, statement.cold_until, false));
        let presumed = self.presumption.filter(|presumption| presumption.is_shared);
        let presumed = presumed.and_then(|presumption| match presumption.state {
            Presumed::Until(until) => report(presumption.event, until, true),
            Presumed::Unreachable { since } => {
                let until = now + policy.duration;
                let is_due = now.since(since) < MAX_REPORTED_OUTAGE;
                is_due.then(|| report(presumption.event, until, true)).flatten()
            }
        });
        let ended = self.ended.filter(|(_, at)| now.since(*at) < END_REPORT_DURATION);
        let ended = ended.map(|(event, _)| WarmUpReport {
            event,
            remaining: Millis::ZERO,
            presumed: false,
        });
        stated.or(presumed).or(ended)
    }

    /// Returns whether this daemon should ask the server now whether it is cold, which happens at most
    /// once for each event. `chance` is a random number below one that spreads the checks of
    /// `daemons` over time, as the outcome of the first one is told to the others. While their number is
    /// not known, none asks.
    pub fn take_due_check(&mut self, now: Millis, daemons: Option<usize>, chance: f64) -> bool {
        let Some(daemons) = daemons else { return false };
        let presumption = self.presumption.filter(|_| self.is_presumed(now));
        let Some(Presumption { event, state: Presumed::Until(until), .. }) = presumption else {
            return false;
        };
        match self.check {
            Some((known, at)) if known == event => {
                let is_due = at.is_some_and(|at| at <= now);
                if is_due {
                    self.check = Some((event, None));
                }
                is_due
            }
            _ => {
                let spread = (CHECK_SPACING * daemons as u64).0 as f64;
                let at = now + Millis((spread * chance) as u64);
                self.check = Some((event, Some(at).filter(|at| *at < until)));
                false
            }
        }
    }

    /// Returns whether the server has become cold, or no longer is, since the last call.
    pub fn take_change(&mut self, now: Millis) -> Option<bool> {
        let is_cold = self.cold_until(now).is_some();
        // One that can't be reached is cold from when it is back.
        self.cold_since = match self.is_unreachable() {
            true => None,
            false => is_cold.then(|| self.cold_since.unwrap_or(now)),
        };
        (std::mem::replace(&mut self.was_cold, is_cold) != is_cold).then_some(is_cold)
    }

    /// Returns since when the server has been cold and could be reached, as of the last call of
    /// [`WarmUp::take_change`].
    pub fn cold_since(&self) -> Option<Millis> {
        self.cold_since
    }

    fn presume_until(&mut self, now: Millis, event: u32, until: Millis) {
        let state = Presumed::Until(until);
        self.presumption = Some(Presumption { event, at: now, is_shared: true, state });
    }

    /// Remembers an event. Returns whether it was not known.
    fn remember(&mut self, event: u32) -> bool {
        let is_new = !self.seen.contains(&event);
        if is_new {
            if self.seen.len() == MAX_SEEN_EVENTS {
                self.seen.pop_front();
            }
            self.seen.push_back(event);
        }
        is_new
    }
}
