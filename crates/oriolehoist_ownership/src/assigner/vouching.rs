use {
    crate::Timing,
    oriolehoist_protocol::{Incarnation, InstanceName, TermRecord, Witness, majority},
    oriolehoist_time::Millis,
};

/// The vouchers that an assigner holds from the witnesses of its record.
#[derive(Clone, Debug)]
pub(super) struct Vouching {
    timing: Timing,
    majority: usize,
    vouchers: Vec<Voucher>,
}

#[derive(Clone, Debug)]
struct Voucher {
    witness: Witness,
    asked: Option<Millis>,
    since: Millis,
}

impl Vouching {
    pub(super) fn new(record: &TermRecord, timing: Timing, now: Millis) -> Vouching {
        let voucher =
            |witness: &Witness| Voucher { witness: witness.clone(), asked: None, since: now };
        Vouching {
            timing,
            majority: majority(&record.witnesses),
            vouchers: record.witnesses.iter().map(voucher).collect(),
        }
    }

    /// Notes a voucher. It counts from `asked`, before the witness can have answered.
    pub(super) fn on_vouched(
        &mut self,
        from: &InstanceName,
        incarnation: Incarnation,
        asked: Millis,
    ) {
        let of =
            |v: &&mut Voucher| v.witness.instance == *from && v.witness.incarnation == incarnation;
        if let Some(voucher) = self.vouchers.iter_mut().find(of) {
            voucher.asked = voucher.asked.max(Some(asked));
        }
    }

    /// Returns whether a majority of the vouchers is in force.
    pub(super) fn holds(&self, now: Millis) -> bool {
        let length = self.timing.at_least(self.timing.voucher);
        let in_force = |v: &&Voucher| v.asked.is_some_and(|asked| now < asked + length);
        self.vouchers.iter().filter(in_force).count() >= self.majority
    }

    /// Returns how many witnesses have not vouched for `silence`.
    pub(super) fn silent(&self, now: Millis, silence: Millis) -> usize {
        let is_silent = |v: &&Voucher| now.since(v.asked.unwrap_or(v.since)) > silence;
        self.vouchers.iter().filter(is_silent).count()
    }
}
