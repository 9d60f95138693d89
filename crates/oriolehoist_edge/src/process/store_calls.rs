//! When this daemon may call the store while calls fail.

use {
    crate::process::{LoadPeers, Shared, lock},
    oriolehoist_backoff::{Backoff, CallKind, CallTime, StoreNews},
    oriolehoist_log::{Event, report},
    oriolehoist_time::Millis,
};

/// How many daemons check a suspected store on average, in a fleet without relays.
const CHECKING_DAEMONS: f64 = 8.0;

impl Shared {
    /// Returns whether a call to the store may be made now, and counts it as made. The assigner's
    /// calls serve all daemons, so it does not share them with the others.
    pub(crate) fn try_call_store(&self, kind: CallKind, is_assigner: bool) -> bool {
        let daemons = if is_assigner { 1 } else { self.daemon_count() };
        lock(&self.store_backoff).try_call(self.clock.now(), kind, daemons, fastrand::f64())
    }

    /// Records a call to the store that was answered, or failed.
    pub(crate) fn on_store_call_ended(&self, call: CallTime, answered: bool) {
        let daemons = self.daemon_count();
        self.update_store_backoff(|backoff| match answered {
            true => backoff.on_answered(call),
            false => backoff.on_failed(call, daemons, fastrand::f64()),
        });
    }

    /// Applies what another daemon knows of calls to the store.
    pub(crate) fn on_store_news(&self, news: &StoreNews) {
        let daemons = self.daemon_count();
        let now = self.clock.now();
        self.update_store_backoff(|backoff| backoff.on_news(now, news, daemons, fastrand::f64()));
    }

    /// Returns what this daemon knows of calls to the store, with or without the failures of its own
    /// calls, for the others.
    pub(crate) fn store_news(&self, with_own: bool) -> StoreNews {
        let (backoff, now) = (lock(&self.store_backoff), self.clock.now());
        if with_own { backoff.news(now) } else { backoff.relayed_news(now) }
    }

    /// Returns whether to check now whether a suspected store answers this daemon.
    pub(crate) fn try_check_store(&self) -> bool {
        let share = match &*self.load_peers() {
            LoadPeers::All => (CHECKING_DAEMONS / f64::from(self.daemon_count())).min(1.0),
            LoadPeers::Relayed { down, .. } => f64::from(u8::from(!down.is_empty())),
        };
        lock(&self.store_backoff).try_check(self.clock.now(), share, fastrand::f64())
    }

    /// Returns whether only one other daemon's calls to the store are known to fail.
    pub(crate) fn is_store_suspected(&self) -> bool {
        lock(&self.store_backoff).is_suspected(self.clock.now())
    }

    /// Returns whether the store is away, as calls of two daemons show.
    pub(crate) fn is_store_away(&self) -> bool {
        lock(&self.store_backoff).is_away(self.clock.now())
    }

    /// Returns whether this daemon's own calls to the store fail.
    pub(crate) fn is_store_failing(&self) -> bool {
        lock(&self.store_backoff).is_failing()
    }

    /// Returns whether registrations of servers may have expired: an outage of the store has ended
    /// after the list of servers was last known to match the store.
    pub(crate) fn servers_may_have_lapsed(&self) -> bool {
        let outage = lock(&self.store_backoff).last_outage();
        outage.is_some_and(|outage| outage.until > self.servers_confirmed_at())
    }

    /// Updates the state, and logs whether the store is away if that changes.
    fn update_store_backoff(&self, update: impl FnOnce(&mut Backoff)) {
        let now = self.clock.now();
        let (was_away, is_away, news) = {
            let mut backoff = lock(&self.store_backoff);
            let was_away = backoff.is_away(now);
            update(&mut backoff);
            (was_away, backoff.is_away(now), backoff.news(now))
        };
        if was_away != is_away {
            self.metrics.set_store_away(is_away);
            let event = if is_away { Event::StoreAway } else { Event::StoreBack };
            let millis = |age: Option<Millis>| age.map_or(-1, |age| age.0 as i64);
            let (answered, failed) = (millis(news.answered_age), millis(news.failed_age));
            report(event, format_args!("answered_ms={answered} failed_ms={failed}"));
        }
    }

    /// Returns how many daemons share the calls.
    fn daemon_count(&self) -> u32 {
        let count = self.view.load().and_then(|view| view.fleet_size).unwrap_or(1);
        u32::try_from(count).unwrap_or(u32::MAX).max(1)
    }
}
