use {
    crate::{Timing, assigner::Effect},
    oriolehoist_protocol::{
        AcceptTermRequest, AcceptTermResponse, ServiceName, Term, TermRecord, Witness, quorum_size,
    },
    oriolehoist_time::Millis,
};

/// Tracks when previous holders can no longer renew grants, and when their grants have expired.
///
/// A previous holder renews grants only while leases of a majority of its witnesses are in force.
/// Once a majority of every unsettled witness set has accepted the new term, those witnesses grant
/// no more leases to it. When their leases have expired, it can no longer renew grants, and one
/// grant duration later all of its grants have expired.
#[derive(Clone, Debug)]
pub(super) struct Predecessors {
    timing: Timing,
    service: ServiceName,
    /// The unsettled witness sets of the record.
    sets: Vec<WitnessSet>,
    last_request: Option<Millis>,
}

#[derive(Clone, Debug)]
struct WitnessSet {
    quorum: usize,
    members: Vec<Member>,
}

#[derive(Clone, Debug)]
struct Member {
    witness: Witness,
    /// When the last lease that the witness granted to a previous holder expires, once it is known
    /// that the witness grants no more of them.
    lease_expiry: Option<Millis>,
}

impl Predecessors {
    pub(super) fn new(record: &TermRecord, timing: Timing) -> Predecessors {
        Predecessors {
            timing,
            service: record.service.clone(),
            sets: record.unsettled.iter().map(|set| WitnessSet::new(set)).collect(),
            last_request: None,
        }
    }

    /// Returns whether all grants of previous holders have expired at `now`.
    pub(super) fn grants_have_expired(&self, now: Millis) -> bool {
        let grant = self.timing.max_elapsed(self.timing.grant);
        self.sets.iter().all(|set| set.quorum_expiry().is_some_and(|end| now > end + grant))
    }

    /// Returns whether no previous holder has a quorum of witness leases any more at `now`.
    pub(super) fn leases_have_expired(&self, now: Millis) -> bool {
        self.sets.iter().all(|set| set.quorum_expiry().is_some_and(|end| now > end))
    }

    /// Asks every witness that has not accepted the term yet to do so, once per heartbeat interval.
    pub(super) fn request_acceptance(
        &mut self,
        now: Millis,
        term: Term,
        effects: &mut Vec<Effect>,
    ) {
        let due = self.last_request.is_none_or(|sent| now.since(sent) >= self.timing.heartbeat);
        if !due || self.grants_have_expired(now) {
            return;
        }
        self.last_request = Some(now);
        let waiting =
            self.sets.iter().flat_map(|set| &set.members).filter(|m| m.lease_expiry.is_none());
        effects.extend(waiting.map(|member| Effect::SendAcceptTerm {
            witness: member.witness.clone(),
            request: AcceptTermRequest { service: self.service.clone(), term },
        }));
    }

    /// Handles a response of the witness `from` to the request to accept `term`.
    pub(super) fn on_response(
        &mut self,
        now: Millis,
        from: &Witness,
        term: Term,
        response: &AcceptTermResponse,
    ) {
        let restarted = response.incarnation != from.incarnation;
        let remaining = match restarted {
            // The previous incarnation may have granted leases until the moment that it ended.
            true => self.timing.witness_lease,
            false if response.accepted >= term => response.lease_remaining,
            false => return,
        };
        let expiry = now + self.timing.max_elapsed(remaining);
        let members = self.sets.iter_mut().flat_map(|set| &mut set.members);
        for member in members.filter(|m| m.witness == *from) {
            member.lease_expiry.get_or_insert(expiry);
        }
    }
}

impl WitnessSet {
    fn new(witnesses: &[Witness]) -> WitnessSet {
        WitnessSet {
            quorum: quorum_size(witnesses),
            members: witnesses
                .iter()
                .map(|witness| Member { witness: witness.clone(), lease_expiry: None })
                .collect(),
        }
    }

    /// Returns when the leases of a majority of the witnesses have expired, once a majority has
    /// accepted the term.
    fn quorum_expiry(&self) -> Option<Millis> {
        let mut expiries: Vec<Millis> =
            self.members.iter().filter_map(|m| m.lease_expiry).collect();
        expiries.sort();
        // An empty set has no majority, so nothing could prove that its holder has stopped.
        expiries.get(self.quorum.checked_sub(1)?).copied()
    }
}
