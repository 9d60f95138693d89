//! How daemons win terms and replace their records in the store.

use {
    super::{World, server_addresses, service},
    oriolehoist_ownership::{Assigner, Timing, initial_record, successor_record},
    oriolehoist_placement::MoveBudget,
    oriolehoist_protocol::TermRecord,
};

impl World {
    pub(super) fn settle(&mut self, d: usize) {
        let now = self.daemons[d].drift.at(self.time);
        let Some(assigner) = &mut self.daemons[d].assigner else { return };
        if self.store_up && self.record.as_ref() == Some(assigner.record()) {
            let record = TermRecord { unsettled: Vec::new(), ..assigner.record().clone() };
            self.record = Some(record.clone());
            assigner.continue_under(now, record);
        }
    }

    /// Tries to win the term. If the reply is lost, the write has taken effect all the same.
    pub fn take_over(&mut self, d: usize, reply: bool) {
        if !self.store_up || self.daemons[d].frozen || self.daemons[d].assigner.is_some() {
            return;
        }
        let me = self.witness(d);
        let record = match &self.record {
            Some(held) if held.holder == me => held.clone(),
            Some(held) => successor_record(held, me, &self.peers_of(d), server_addresses()),
            None => initial_record(service(), me, &self.peers_of(d), server_addresses()),
        };
        self.record = Some(record.clone());
        if reply {
            self.begin(d, record);
        }
    }

    fn begin(&mut self, d: usize, record: TermRecord) {
        self.takeovers += 1;
        let now = self.daemons[d].drift.at(self.time);
        let budget = MoveBudget { moves: 1, ratio_percent: 100 };
        let known = self.daemons[d].follower.assignment().clone();
        self.daemons[d].assigner =
            Some(Assigner::new(now, Timing::default(), budget, record, &known));
        self.tick(d);
    }

    /// Replaces a holder's own record, as when its witnesses have changed.
    pub(super) fn replace(&mut self, d: usize, reply: bool) {
        let now = self.daemons[d].drift.at(self.time);
        let (me, peers) = (self.witness(d), self.peers_of(d));
        let frozen = self.daemons[d].frozen;
        let Some(assigner) = &mut self.daemons[d].assigner else { return };
        let current = self.record.as_ref() == Some(assigner.record());
        if !self.store_up || !current || frozen {
            return;
        }
        let record = successor_record(assigner.record(), me, &peers, server_addresses());
        self.record = Some(record.clone());
        if reply {
            assigner.continue_under(now, record);
        }
    }

    /// Does what the runtime does for a holder that lacks vouchers: it looks at the store, and
    /// names other witnesses.
    pub(super) fn replace_unvouched(&mut self) {
        for d in 0..self.daemons.len() {
            let now = self.daemons[d].drift.at(self.time);
            let me = self.witness(d);
            let Some(assigner) = &mut self.daemons[d].assigner else { continue };
            match &self.record {
                Some(held) if held.holder != me => self.daemons[d].assigner = None,
                Some(held) if held != assigner.record() => {
                    assigner.continue_under(now, held.clone());
                }
                _ if !assigner.is_vouched(now) => self.replace(d, true),
                _ => {}
            }
        }
    }
}
