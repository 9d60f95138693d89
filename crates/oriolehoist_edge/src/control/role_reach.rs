//! What the assigner does when it does not reach the servers: another daemon may.

use {
    crate::{
        control::{
            actor::{Control, Role},
            assigner::Assigner,
        },
        process::Shared,
    },
    kameo::actor::ActorRef,
    oriolehoist_keyspace::{Confidence, GRANT_TIMEOUT},
    oriolehoist_log::{Event, report},
    oriolehoist_port::StoreRequest,
    oriolehoist_reach::ReachSummary,
    oriolehoist_time::Millis,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// The time between two looks at which servers are reached.
const REACH_INTERVAL: Millis = Millis(100);
/// How long other daemons take to report what they reach since this one has lost most servers.
const REPORT_DELAY: Millis = Millis(400);
/// How long a daemon that has handed over the role leaves it to the others.
const HAND_OVER_PAUSE: Millis = Millis(3000);

/// What is best for the role, given which servers the daemons reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RoleAdvice {
    /// This daemon keeps it.
    Keep,
    /// This daemon has lost most servers, and the others are asked.
    Ask,
    /// Another daemon reaches servers that this one does not.
    HandOver,
}

/// What the assigner remembers of its paths to servers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoleReach {
    next_look_at: Millis,
    /// Since when this daemon has lost most servers.
    lost_since: Option<Millis>,
}

impl Assigner {
    /// Updates which servers are lost, from what this daemon and the others reach.
    fn update_reach(&mut self, now: Millis, cx: &Shared, others: &[ReachSummary]) -> RoleAdvice {
        let own = cx.reach_of_key_holders();
        let lost_since = own.is_mostly_lost().then(|| self.reach.lost_since.unwrap_or(now));
        self.reach.lost_since = lost_since;
        // The others are asked for servers that this daemon has lost.
        let asked = ReachSummary { reached: 0, lost: own.lost };
        let advice = match lost_since {
            None => RoleAdvice::Keep,
            Some(since)
                if now.since(since) >= REPORT_DELAY
                    && others.iter().any(|other| asked.is_bettered_by(*other)) =>
            {
                RoleAdvice::HandOver
            }
            Some(_) => RoleAdvice::Ask,
        };
        let have_looked = |other: &ReachSummary| other.reached + other.lost > 0;
        let all_agree = !others.is_empty() && others.iter().all(|other| other.is_mostly_lost());
        let confirmed = own.reached > 0 && all_agree && others.iter().all(have_looked);
        let confidence = if confirmed { Confidence::Confirmed } else { Confidence::Alone };
        let Some(view) = cx.view.load() else { return advice };
        let mut paths = cx.paths();
        for range_assigner in self.range_assigners.values_mut() {
            range_assigner.set_confidence(confidence);
            range_assigner.on_reached(now, |incarnation, since| {
                let backend = view.backends.get(&incarnation.id);
                let backend = backend.filter(|backend| backend.incarnation == *incarnation);
                backend.is_some_and(|backend| paths.answered_since(backend.short_id, since))
            });
            let unresponsive = range_assigner.unresponsive_servers(now);
            let backends = unresponsive.filter_map(|server| view.backends.get(&server.id));
            paths.ask(now, backends.map(|backend| backend.short_id));
        }
        advice
    }
}

impl Control {
    /// Looks at which servers the daemons reach, as the assigner, if that is due. Hands the role over
    /// if another daemon reaches more.
    pub(super) fn look_at_reach(&mut self, control: &ActorRef<Control>) {
        let now = self.now();
        let Role::Assigner(assigner) = &mut self.role else { return };
        if now < assigner.reach.next_look_at {
            return;
        }
        assigner.reach.next_look_at = now + REACH_INTERVAL;
        let reports = self.fanout.reach_reports(now);
        let advice = assigner.update_reach(now, &self.cx, &reports);
        let was_asking = !self.asked.is_empty();
        self.asked = match advice {
            RoleAdvice::Keep => Vec::new(),
            RoleAdvice::Ask | RoleAdvice::HandOver => self.cx.lost_key_holders(),
        };
        if !was_asking && !self.asked.is_empty() {
            self.fanout.send_soon();
        }
        if advice == RoleAdvice::HandOver {
            self.hand_over_role(control);
        }
    }

    /// Gives up the assigner's role, so that a daemon takes it that reaches the servers.
    fn hand_over_role(&mut self, control: &ActorRef<Control>) {
        let Role::Assigner(assigner) = &self.role else { return };
        let lease = assigner.lease();
        assigner.order_sender.revoke();
        let reach = self.cx.reach_of_key_holders();
        report(
            Event::RoleHandedOver,
            format_args!("term={} reached={} lost={}", self.term, reach.reached, reach.lost),
        );
        let store = Arc::clone(&self.store);
        tokio::spawn(async move {
            // The orders in flight have to end before the next assigner can send any.
            sleep(Duration::from(GRANT_TIMEOUT)).await;
            // If this fails, the lease expires on its own.
            let _ = store.call(StoreRequest::RevokeLease(lease)).await;
        });
        self.sync_peers(control, true);
        self.step_down("other daemons reach more servers");
        self.asked.clear();
        self.role = Role::Follower { next_election_at: self.now() + HAND_OVER_PAUSE };
    }
}
