use {
    crate::{Timing, assigner::Effect},
    oriolehoist_protocol::{
        AcceptAnswer, AcceptTerm, ServiceName, Term, TermRecord, Witness, majority,
    },
    oriolehoist_time::Millis,
};

/// What a new assigner knows of the holders before it.
///
/// An earlier holder renews only while a majority of its witnesses vouches. Once a majority of
/// every earlier set has accepted the new term, no voucher is given any more; after the longest
/// one has run out, and one grant's length more, every earlier grant has lapsed.
#[derive(Clone, Debug)]
pub(super) struct Predecessors {
    timing: Timing,
    service: ServiceName,
    sets: Vec<WitnessSet>,
    asked: Option<Millis>,
}

#[derive(Clone, Debug)]
struct WitnessSet {
    majority: usize,
    members: Vec<Member>,
}

#[derive(Clone, Debug)]
struct Member {
    witness: Witness,
    vouchers_end: Option<Millis>,
}

impl Predecessors {
    pub(super) fn new(record: &TermRecord, timing: Timing) -> Predecessors {
        Predecessors {
            timing,
            service: record.service.clone(),
            sets: record.unsettled.iter().map(|set| WitnessSet::new(set)).collect(),
            asked: None,
        }
    }

    /// Returns whether every earlier holder's grants have ended by `now`.
    pub(super) fn are_over(&self, now: Millis) -> bool {
        let grant = self.timing.at_most(self.timing.grant);
        self.sets.iter().all(|set| set.end().is_some_and(|end| now > end + grant))
    }

    /// Returns whether no earlier holder is vouched for any more at `now`.
    pub(super) fn are_silenced(&self, now: Millis) -> bool {
        self.sets.iter().all(|set| set.end().is_some_and(|end| now > end))
    }

    /// Asks every witness that has not yet accepted, once a heartbeat interval.
    pub(super) fn ask(&mut self, now: Millis, term: Term, effects: &mut Vec<Effect>) {
        let due = self.asked.is_none_or(|asked| now.since(asked) >= self.timing.heartbeat);
        if !due || self.are_over(now) {
            return;
        }
        self.asked = Some(now);
        let waiting =
            self.sets.iter().flat_map(|set| &set.members).filter(|m| m.vouchers_end.is_none());
        effects.extend(waiting.map(|member| Effect::AskAccept {
            witness: member.witness.clone(),
            request: AcceptTerm { service: self.service.clone(), term },
        }));
    }

    pub(super) fn on_accepted(
        &mut self,
        now: Millis,
        from: &Witness,
        term: Term,
        answer: &AcceptAnswer,
    ) {
        let restarted = answer.incarnation != from.incarnation;
        let left = match restarted {
            // The earlier process may have vouched until the moment that it ended.
            true => self.timing.voucher,
            false if answer.accepted >= term => answer.voucher_left,
            false => return,
        };
        let end = now + self.timing.at_most(left);
        let members = self.sets.iter_mut().flat_map(|set| &mut set.members);
        for member in members.filter(|m| m.witness == *from) {
            member.vouchers_end.get_or_insert(end);
        }
    }
}

impl WitnessSet {
    fn new(witnesses: &[Witness]) -> WitnessSet {
        WitnessSet {
            majority: majority(witnesses),
            members: witnesses
                .iter()
                .map(|witness| Member { witness: witness.clone(), vouchers_end: None })
                .collect(),
        }
    }

    /// Returns when the vouchers of a majority have run out, once a majority has accepted.
    fn end(&self) -> Option<Millis> {
        let mut ends: Vec<Millis> = self.members.iter().filter_map(|m| m.vouchers_end).collect();
        ends.sort();
        // An empty set has no majority: nothing could prove that its holder has stopped.
        ends.get(self.majority.checked_sub(1)?).copied()
    }
}
