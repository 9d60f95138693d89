//! The beginning and the end of a daemon's term as the assigner.

use {
    crate::control::{
        actor::{Control, ELECTION_RETRY_DELAY, Role},
        assigner::Assigner,
        claim::Candidacy,
        fanout::Fanout,
        field::OrDash,
        message::ElectionOutcome,
    },
    kameo::actor::ActorRef,
    oriolehoist_log::{Event, report},
    oriolehoist_port::{LeaseId, Revision, StoreRequest},
    oriolehoist_replica::TermVersion,
    std::sync::Arc,
};

impl Control {
    /// Handles the end of an attempt to become the assigner.
    pub(super) fn on_election_ended(
        &mut self,
        control: &ActorRef<Control>,
        outcome: ElectionOutcome,
        candidacy: Candidacy,
    ) {
        let now = self.now();
        let outcome = match outcome {
            ElectionOutcome::Won { term_lease, .. } if self.cx.is_stopping() => {
                self.revoke_lease(term_lease.lease);
                ElectionOutcome::Lost
            }
            outcome => outcome,
        };
        let Some(outcome) = self.on_reclaimed(control, outcome) else { return };
        match (&self.role, &outcome) {
            (Role::Assigner(_), ElectionOutcome::Won { term_lease, .. }) => {
                return self.revoke_lease(term_lease.lease);
            }
            (Role::Assigner(_), ElectionOutcome::Lost) => return,
            _ => {}
        }
        self.role = Role::Follower { next_election_at: now + ELECTION_RETRY_DELAY };
        if candidacy.is_last_assigner && self.resume_retired(control, &outcome) {
            return self.tick(control);
        }
        let ElectionOutcome::Won { term_lease, table, fences } = outcome else { return };
        let mut assigner =
            Assigner::new(&self.cx, self.started_at, term_lease, table, fences, &self.state);
        assigner.wait_for_servers(self.state.registry.settles_at());
        self.retired = None;
        self.fanout = Fanout::default();
        self.begin_term(control, term_lease.term);
        self.role = Role::Assigner(Box::new(assigner));
        // The members known from the previous assigner, until the registered ones have been read.
        self.registered_members = self.state.members.get().values().cloned().collect();
        self.tick(control);
    }

    /// Begins a term as the assigner.
    pub(super) fn begin_term(&mut self, control: &ActorRef<Control>, term: Revision) {
        self.term = term.0;
        self.cx.permits.set_issuer(Some(self.local.address.ip()));
        self.relay = None;
        let era = OrDash(self.cx.store_era());
        report(Event::TermWon, format_args!("term={} era={era}", self.term));
        // A version of the new term, so that the peers get what they lack.
        let version = self.next_version(TermVersion::default());
        self.state.members.set_version(version);
        self.state.routes.set_version(version);
        self.read_stored_suspects(control, term);
    }

    pub(super) fn revoke_lease(&self, lease: LeaseId) {
        let store = Arc::clone(&self.store);
        tokio::spawn(async move {
            // If this fails, the lease expires on its own.
            let _ = store.call(StoreRequest::RevokeLease(lease)).await;
        });
    }

    pub(super) fn step_down(&mut self, reason: &str) {
        if let Role::Assigner(assigner) = &self.role {
            assigner.order_sender.revoke();
            report(Event::TermLost, format_args!("term={} why=\"{reason}\"", self.term));
            self.role = Role::Follower { next_election_at: self.now() + ELECTION_RETRY_DELAY };
            // The next assigner gets the usual time to make contact.
            self.assigner_seen_at = self.now();
        }
    }
}
