//! What an assigner does when the store continues from an older copy: it stops, and takes the role
//! again in the new era.

use {
    crate::control::{
        actor::{Control, Role},
        assigner::{Assigner, STARTUP_GRACE},
        claim::Candidacy,
        election::{ASSIGNER_KEY, campaign},
        fanout::Fanout,
        message::{ElectionOutcome, Input, Member},
    },
    kameo::actor::ActorRef,
    oriolehoist_log::{Event, report},
    oriolehoist_port::StoreRequest,
    oriolehoist_time::Millis,
    std::sync::Arc,
};

/// The delay before the next attempt to claim the role in the new era.
const RECLAIM_RETRY_DELAY: Millis = Millis(100);

/// How long before the end of the time in which a daemon may continue as the last assigner it calls the
/// store for the last time, and how often. Few calls are made while the store is away, and one that waits
/// when the store returns is not answered: it was noticed up to 0.9 s late.
const ERA_PROBE_SPAN: Millis = Millis(350);
const ERA_PROBE_INTERVAL: Millis = Millis(100);

/// The state of an assigner that has stopped because the store is in a later era than its term.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspension {
    /// Until this time its lease of the earlier era keeps all other daemons from acting.
    lease_valid_until: Millis,
    claim_in_flight: bool,
    next_claim_at: Millis,
    /// When the store is called next to learn of a later era.
    next_probe_at: Millis,
}

impl Assigner {
    /// Stops sending orders, because the lease belongs to an earlier era.
    fn suspend(&mut self) {
        let lease_valid_until = self.order_sender.lease_valid_until();
        self.order_sender.revoke();
        self.suspension = Some(Suspension {
            lease_valid_until,
            claim_in_flight: false,
            next_claim_at: Millis::ZERO,
            next_probe_at: lease_valid_until + STARTUP_GRACE.since(ERA_PROBE_SPAN),
        });
    }
}

impl Control {
    /// Suspends this daemon's role as assigner if the store is in a later era than its term.
    pub(super) fn check_era(&mut self) {
        let era = self.cx.store_era();
        match &mut self.role {
            Role::Assigner(assigner)
                if assigner.suspension.is_none()
                    && era.is_some_and(|era| era > assigner.term_lease.term.era()) =>
            {
                assigner.suspend();
            }
            _ => {}
        }
    }

    /// Claims the role again while this daemon's lease of the earlier era excludes all others, and
    /// gives it up after that.
    pub(super) fn reclaim(&mut self, control: &ActorRef<Control>) {
        let now = self.now();
        let Role::Assigner(assigner) = &mut self.role else { return };
        let Some(suspension) = &mut assigner.suspension else { return };
        if suspension.claim_in_flight || now < suspension.next_claim_at {
            return;
        }
        if now >= suspension.lease_valid_until || self.cx.is_stopping() {
            self.retire("the store lost the lease");
            return;
        }
        suspension.claim_in_flight = true;
        let (cx, store) = (Arc::clone(&self.cx), Arc::clone(&self.store));
        let (member, control) = (self.local.clone(), control.clone());
        let candidacy = Candidacy {
            is_last_assigner: true,
            knows_assignments: true,
            claim_delay: Millis::ZERO,
        };
        tokio::spawn(async move {
            let outcome = campaign(&cx, &store, &member, candidacy).await;
            // The actor runs until the process exits.
            let _ = control.tell(Input::ElectionEnded { outcome, candidacy }).await;
        });
    }

    /// Gives up the role because the lease has ended, but keeps what this daemon knows. If no other
    /// daemon becomes the assigner before the store continues from an older copy, it knows more than
    /// the stored table.
    pub(super) fn retire(&mut self, reason: &str) {
        let now = self.now();
        if let Role::Assigner(assigner) = &mut self.role
            && assigner.suspension.is_none()
        {
            assigner.suspend();
        }
        let next_election_at = now;
        match std::mem::replace(&mut self.role, Role::Follower { next_election_at }) {
            Role::Assigner(assigner) => {
                report(Event::TermLost, format_args!("term={} why=\"{reason}\"", self.term));
                self.retired = Some(assigner);
                // The next assigner gets the usual time to make contact.
                self.assigner_seen_at = now;
            }
            role => self.role = role,
        }
    }

    /// Calls a store that does not answer while the time ends in which this daemon may continue as the
    /// last assigner, so that it learns in time of an era that has begun.
    pub(super) fn probe_era(&mut self) {
        let now = self.now();
        let is_failing = self.cx.is_store_failing() || self.cx.is_store_away();
        let suspension = self.retired.as_mut().and_then(|retired| retired.suspension.as_mut());
        match suspension {
            Some(suspension)
                if is_failing
                    && now >= suspension.next_probe_at
                    && now < suspension.lease_valid_until + STARTUP_GRACE =>
            {
                suspension.next_probe_at = now + ERA_PROBE_INTERVAL;
                let store = Arc::clone(&self.store);
                // The era of an answer is observed by the client.
                tokio::spawn(async move {
                    let _ = store.call(StoreRequest::Get(ASSIGNER_KEY.into())).await;
                });
            }
            _ => {}
        }
    }

    /// Returns the daemons that may have become the assigner after this daemon's last term, if the
    /// store has returned to an older copy since, and no others can have moved any keys.
    pub(super) fn possible_successors(&self) -> Option<Vec<Member>> {
        let assigner = self.retired.as_ref()?;
        let (era, suspension) = (self.cx.observed_store_era()?, assigner.suspension?);
        let is_short = era.since.since(suspension.lease_valid_until) < STARTUP_GRACE;
        if !is_short || era.era <= assigner.term_lease.term.era() {
            return None;
        }
        let members =
            self.registered_members.iter().filter(|member| !member.is_same_run(&self.local));
        Some(members.cloned().collect())
    }

    /// Continues with what this daemon knows as the last assigner, in the term that it has won.
    /// Returns whether it could.
    pub(super) fn resume_retired(
        &mut self,
        control: &ActorRef<Control>,
        outcome: &ElectionOutcome,
    ) -> bool {
        let now = self.now();
        let ElectionOutcome::Won { term_lease, fences, .. } = outcome else { return false };
        let Some(mut assigner) = self.retired.take() else { return false };
        assigner.resume(now, *term_lease, *fences);
        // Responses of the peers since the lease ended are lost.
        self.fanout = Fanout::default();
        assigner.wait_for_servers(self.state.registry.settles_at());
        assigner.on_servers(now, &self.state, true);
        self.role = Role::Assigner(assigner);
        self.begin_term(control, term_lease.term);
        true
    }

    /// Handles the result of a claim by a suspended assigner. Returns it if it is to be handled like
    /// that of any other daemon.
    pub(super) fn on_reclaimed(
        &mut self,
        control: &ActorRef<Control>,
        outcome: ElectionOutcome,
    ) -> Option<ElectionOutcome> {
        let now = self.now();
        let Role::Assigner(assigner) = &mut self.role else { return Some(outcome) };
        let Some(suspension) = &mut assigner.suspension else { return Some(outcome) };
        let known_state_is_current = now < suspension.lease_valid_until;
        match outcome {
            ElectionOutcome::Won { term_lease, fences, .. } if known_state_is_current => {
                assigner.resume(now, term_lease, fences);
                self.begin_term(control, term_lease.term);
                None
            }
            ElectionOutcome::Won { term_lease, .. } => {
                self.retire("the store lost the lease");
                self.revoke_lease(term_lease.lease);
                None
            }
            ElectionOutcome::Lost => {
                suspension.claim_in_flight = false;
                suspension.next_claim_at = now + RECLAIM_RETRY_DELAY;
                None
            }
        }
    }
}
