use {
    crate::Timing,
    oriolehoist_protocol::{Incarnation, InstanceName, TermRecord, Witness, quorum_size},
    oriolehoist_time::Millis,
};

/// The leases that an assigner has from the witnesses of its record.
#[derive(Clone, Debug)]
pub(super) struct WitnessLeases {
    timing: Timing,
    quorum: usize,
    leases: Vec<Lease>,
}

#[derive(Clone, Debug)]
struct Lease {
    witness: Witness,
    /// When the latest granted lease was requested.
    requested_at: Option<Millis>,
    /// When the assigner started to expect leases from the witness.
    tracked_since: Millis,
}

impl WitnessLeases {
    pub(super) fn new(record: &TermRecord, timing: Timing, now: Millis) -> WitnessLeases {
        let lease = |witness: &Witness| Lease {
            witness: witness.clone(),
            requested_at: None,
            tracked_since: now,
        };
        WitnessLeases {
            timing,
            quorum: quorum_size(&record.witnesses),
            leases: record.witnesses.iter().map(lease).collect(),
        }
    }

    /// Records a granted lease. Its duration is measured from `requested_at`, which is before the
    /// witness can have granted it.
    pub(super) fn on_granted(
        &mut self,
        from: &InstanceName,
        incarnation: Incarnation,
        requested_at: Millis,
    ) {
        let matches =
            |l: &&mut Lease| l.witness.instance == *from && l.witness.incarnation == incarnation;
        if let Some(lease) = self.leases.iter_mut().find(matches) {
            lease.requested_at = lease.requested_at.max(Some(requested_at));
        }
    }

    /// Returns whether leases of a majority of the witnesses are in force.
    pub(super) fn has_quorum(&self, now: Millis) -> bool {
        let duration = self.timing.min_elapsed(self.timing.witness_lease);
        let in_force = |l: &&Lease| l.requested_at.is_some_and(|at| now < at + duration);
        self.leases.iter().filter(in_force).count() >= self.quorum
    }

    /// Returns how many witnesses have not granted a lease for longer than `silence`.
    pub(super) fn silent_witnesses(&self, now: Millis, silence: Millis) -> usize {
        let is_silent = |l: &&Lease| now.since(l.requested_at.unwrap_or(l.tracked_since)) > silence;
        self.leases.iter().filter(is_silent).count()
    }
}
