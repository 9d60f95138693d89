use {
    crate::{
        Outage, StoreNews,
        check::{CHECK_TTL, CHECK_WAIT, Check},
        failures::Failures,
    },
    oriolehoist_time::Millis,
};

/// The mean time between two calls to a store that is away, over all daemons. In a calm second 65
/// daemons make about 7 calls, and twice as many are allowed. A store that is back is noticed after
/// this time on average.
const FLEET_CALL_INTERVAL: Millis = Millis(167);
/// How long a failed call shows that the store is away.
const NEWS_TTL: Millis = Millis::from_secs(60);
/// Within which time daemons that hear that the store is back may call it. Most of them are served by
/// the assigner by then.
const RETURN_SPREAD: Millis = Millis(1000);

/// How long before its end a call shows whether the store answers. A watch may have waited for long,
/// and a call is given up after less.
const MAX_EVIDENCE_AGE: Millis = Millis(1000);

/// What a call to the store is for. Calls that keep keys owned are not delayed and have no kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Taking the assigner's role.
    Election,
    /// Reading or watching the configuration.
    Configuration,
    /// Reading or watching the servers.
    Servers,
    /// Reading or watching the evacuated zones.
    Evacuations,
    /// Reading or watching the other daemons.
    Members,
    /// Writing or renewing this daemon's own entry.
    Registration,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [CallKind; 6] = [
        CallKind::Election,
        CallKind::Configuration,
        CallKind::Servers,
        CallKind::Evacuations,
        CallKind::Members,
        CallKind::Registration,
    ];

    /// Returns the shortest and the longest range of the delay after a failure. The configuration, the
    /// servers and the evacuated zones have to be known soon after the store is back.
    const fn delays(self) -> (Millis, Millis) {
        match self {
            CallKind::Election => (Millis(250), Millis(1000)),
            CallKind::Configuration | CallKind::Servers | CallKind::Evacuations => {
                (Millis(200), Millis(1000))
            }
            CallKind::Members => (Millis(200), Millis(2000)),
            CallKind::Registration => (Millis(400), Millis(3200)),
        }
    }
}

/// When a call to the store was made, and when it was answered or given up.
#[derive(Clone, Copy, Debug)]
pub struct CallTime {
    /// When it began.
    pub started_at: Millis,
    /// When it ended.
    pub ended_at: Millis,
}

/// The delay of one kind of call.
#[derive(Clone, Copy, Debug, Default)]
struct Delay {
    /// The calls since the last answer.
    attempts: u32,
    next_at: Millis,
}

/// Decides when a daemon may call the store. Times are of one clock; `chance` is from 0 to 1.
#[derive(Clone, Debug)]
pub struct Backoff {
    /// The number of this daemon's run.
    daemon: u64,
    delays: [Delay; CallKind::ALL.len()],
    /// When a call of any kind is next allowed while the store is away for others too.
    budget_at: Millis,
    /// When the store last answered a call of any daemon.
    answered_at: Option<Millis>,
    /// When the store last failed to answer this daemon.
    failed_at: Option<Millis>,
    /// When the store last failed to answer another daemon.
    others_failed_at: Option<Millis>,
    /// Which daemons the store has failed to answer.
    known_failures: Failures,
    check: Check,
    /// When a call was last answered that began after a failed one, so that the store answers some
    /// daemons.
    cleared_at: Option<Millis>,
    /// The failures of this daemon's calls since the last answer.
    failures: u32,
    /// When the first call since the last answer failed, of any daemon.
    failing_since: Option<Millis>,
    last_outage: Option<Outage>,
}

impl Backoff {
    /// Returns the state of a daemon that has made no call. `daemon` is the number of its run.
    pub fn new(daemon: u64) -> Backoff {
        Backoff {
            daemon,
            delays: Default::default(),
            budget_at: Millis::ZERO,
            answered_at: None,
            failed_at: None,
            others_failed_at: None,
            known_failures: Failures::default(),
            check: Check::default(),
            cleared_at: None,
            failures: 0,
            failing_since: None,
            last_outage: None,
        }
    }

    /// Returns whether a call may be made now, and counts it as made. `daemons` is how many share the
    /// calls: all that are known, or one if the call is made for the others, as the assigner's are.
    pub fn try_call(&mut self, now: Millis, kind: CallKind, daemons: u32, chance: f64) -> bool {
        if daemons > 1 && self.awaits_check(now) {
            return false;
        }
        let is_away = self.is_away(now);
        if self.failures == 0 && !is_away && now >= self.budget_at {
            return true;
        }
        let delay = self.delays[kind as usize];
        // One daemon that serves all the others is not held back by their number.
        let is_budgeted = (is_away && daemons > 1) || self.failures == 0;
        if now < delay.next_at || (is_budgeted && now < self.budget_at) {
            return false;
        }
        self.delays[kind as usize].attempts += 1;
        self.delays[kind as usize].next_at = now + self.delay(kind, chance);
        self.budget_at = now + budget_delay(daemons, chance);
        true
    }

    /// Records that a call of this daemon was answered. Ends all delays.
    pub fn on_answered(&mut self, call: CallTime) {
        self.observe_answer(call.shown_at());
        self.failures = 0;
        self.delays = Default::default();
        self.budget_at = Millis::ZERO;
    }

    /// Records that a call of this daemon has failed.
    pub fn on_failed(&mut self, call: CallTime, daemons: u32, chance: f64) {
        let now = call.ended_at;
        self.failed_at = self.failed_at.max(Some(call.shown_at()));
        self.known_failures.observe(self.daemon, call.shown_at());
        self.observe_failure(call.shown_at());
        self.failures = self.failures.saturating_add(1);
        for kind in CallKind::ALL {
            if self.delays[kind as usize].next_at <= now {
                self.delays[kind as usize].next_at = now + self.delay(kind, chance);
            }
        }
        if self.budget_at <= now {
            self.budget_at = now + budget_delay(daemons, chance);
        }
    }

    /// Applies what another daemon knows.
    pub fn on_news(&mut self, now: Millis, news: &StoreNews, daemons: u32, chance: f64) {
        let was_away = self.is_away(now);
        self.known_failures.apply(now, self.daemon, news);
        let at = |age: Option<Millis>| age.map(|age| now.since(age));
        let was_answered_at = self.answered_at;
        let others = news.failures.iter().filter(|failure| failure.daemon != self.daemon);
        let named = others.map(|failure| failure.age).min();
        let failed_age = if news.failures.is_empty() { news.failed_age } else { named };
        if let Some(failed_at) = at(failed_age) {
            self.others_failed_at = self.others_failed_at.max(Some(failed_at));
            self.observe_failure(failed_at);
        }
        if let Some(answered_at) = at(news.answered_age) {
            self.observe_answer(answered_at);
        }
        match self.is_away(now) {
            // A daemon that has a delay already, since its own call has failed, keeps it.
            true if !was_away && self.budget_at <= now => {
                self.budget_at = now + budget_delay(daemons, chance);
            }
            // The daemon whose call was answered reads for the others.
            false if was_away && self.answered_at > was_answered_at => {
                self.failures = 0;
                self.delays = Default::default();
                self.budget_at = now + scale(RETURN_SPREAD, chance);
            }
            _ => {}
        }
    }

    /// Returns whether to check now whether the store answers this daemon, because only one other
    /// daemon is known to fail. `share` is the share of the daemons that check. The caller makes a call,
    /// and records its result.
    pub fn try_check(&mut self, now: Millis, share: f64, chance: f64) -> bool {
        // A daemon whose own call was answered or has failed since needs no check.
        if !self.is_suspected(now) || self.failures > 0 {
            self.check.cancel();
            return false;
        }
        self.check.is_due(now, share, chance)
    }

    /// Returns what this daemon knows, for the others.
    pub fn news(&self, now: Millis) -> StoreNews {
        let failed_at = self.failed_at.max(self.others_failed_at);
        StoreNews { failed_age: failed_at.map(|at| now.since(at)), ..self.relayed_news(now) }
    }

    /// Returns what a relay passes on. `failed_age` lacks the failures of its own calls: for daemons of
    /// old builds, one failure makes the store away, and it may refuse to serve this one daemon.
    pub fn relayed_news(&self, now: Millis) -> StoreNews {
        let age = |at: Option<Millis>| at.map(|at| now.since(at));
        StoreNews {
            answered_age: age(self.answered_at),
            failed_age: age(self.others_failed_at),
            failures: self.known_failures.news(now),
        }
    }

    /// Returns whether the store is away: calls of two daemons have failed, one of which may be this
    /// daemon, and none is known to have been answered since.
    pub fn is_away(&self, now: Millis) -> bool {
        let (daemons, has_other) = self.known_failures.after(self.answered_at, self.daemon);
        has_other && Failures::are_enough(daemons) && self.has_recent_failure(now)
    }

    /// Returns whether the store is suspected to be away: a call of one other daemon has failed, and
    /// none is known to have been answered since.
    pub fn is_suspected(&self, now: Millis) -> bool {
        let (daemons, has_other) = self.known_failures.after(self.answered_at, self.daemon);
        has_other && !Failures::are_enough(daemons) && self.has_recent_failure(now)
    }

    /// Returns whether this daemon's own calls fail.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the last outage that is known to have ended.
    pub fn last_outage(&self) -> Option<Outage> {
        self.last_outage
    }

    /// Returns whether the result of a check is awaited. A daemon that has none calls the store
    /// itself after a while.
    fn awaits_check(&self, now: Millis) -> bool {
        let is_cleared = self.cleared_at.is_some_and(|at| now.since(at) < CHECK_TTL);
        let is_new = self.failing_since.is_some_and(|since| now.since(since) < CHECK_WAIT);
        is_new && !is_cleared && self.is_suspected(now)
    }

    fn has_recent_failure(&self, now: Millis) -> bool {
        self.known_failures.latest_at().is_some_and(|at| now.since(at) < NEWS_TTL)
    }

    /// Records that a call of any daemon failed at `at`.
    fn observe_failure(&mut self, at: Millis) {
        if self.answered_at.is_none_or(|answered_at| answered_at < at) {
            self.failing_since.get_or_insert(at);
        }
    }

    /// Records that a call of any daemon was answered at `at`.
    fn observe_answer(&mut self, at: Millis) {
        // A store that refuses one daemon loses no registrations.
        let is_refusal = self.known_failures.are_of_one_other(self.answered_at, self.daemon);
        self.answered_at = self.answered_at.max(Some(at));
        match self.failing_since {
            Some(since) if since < at => {
                self.failing_since = None;
                self.cleared_at = Some(at);
                let outage = Outage { since, until: at };
                self.last_outage = Some(outage)
                    .filter(|outage| outage.is_long() && !is_refusal)
                    .or(self.last_outage);
            }
            _ => {}
        }
    }

    /// Returns a delay with full jitter above the kind's floor, whose range doubles with each call up
    /// to the ceiling.
    fn delay(&self, kind: CallKind, chance: f64) -> Millis {
        let (floor, ceiling) = kind.delays();
        let doublings = self.delays[kind as usize].attempts.min(8) + 1;
        let range = Millis(floor.0 << doublings).min(ceiling).since(floor);
        floor + scale(range, chance)
    }
}

impl CallTime {
    /// Returns the earliest time of which the call shows whether the store answers. A call over a
    /// connection that has gone silent fails later than one that began after it is answered.
    fn shown_at(self) -> Millis {
        self.started_at.max(self.ended_at.since(MAX_EVIDENCE_AGE))
    }
}

fn scale(range: Millis, chance: f64) -> Millis {
    Millis((range.0 as f64 * chance) as u64)
}

/// Returns a delay with full jitter after which a daemon makes its part of the calls of all.
fn budget_delay(daemons: u32, chance: f64) -> Millis {
    scale(FLEET_CALL_INTERVAL * u64::from(daemons.max(1)) * 2, chance)
}
