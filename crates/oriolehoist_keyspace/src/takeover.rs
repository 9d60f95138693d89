use {crate::latest_grant_expiry, oriolehoist_port::StoreEra, oriolehoist_time::Millis};

/// How long after the end of its lease an assigner may still act. Covers rounding and differences
/// between clocks.
const LEASE_END_MARGIN: Millis = Millis(30);

/// Returns from when on all leases of this duration have ended that were renewed in earlier eras. They
/// may have been renewed until the store continued from the copy, at `era_since` at the latest.
pub fn earlier_leases_end_at(era_since: Millis, lease_ttl: Millis) -> Millis {
    era_since + lease_ttl + LEASE_END_MARGIN
}

/// What a daemon that could become the assigner knows about the assigners before it.
///
/// In a later era the store may lack their lease and the last tables that they stored, because it
/// continued from an older copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Takeover {
    /// The store's era.
    pub era: StoreEra,
    /// When the daemon learned of the era.
    pub era_since: Millis,
    /// The era in which the stored table was written, if there is a table.
    pub table_era: Option<StoreEra>,
    /// Whether the daemon knows that keys have been assigned.
    pub knows_assignments: bool,
}

impl Takeover {
    /// Returns whether the stored table may lack assignments that were carried out.
    pub fn table_is_outdated(&self) -> bool {
        match self.table_era {
            Some(table_era) => table_era < self.era,
            None => self.knows_assignments,
        }
    }

    /// Returns from when on no assigner of an earlier era can rely on its lease.
    pub fn earlier_leases_end_at(&self, lease_ttl: Millis) -> Millis {
        match self.table_is_outdated() {
            true => earlier_leases_end_at(self.era_since, lease_ttl),
            false => Millis::ZERO,
        }
    }

    /// Returns from when on all grants of the assignments that the table lacks have expired.
    pub fn unknown_grants_end_at(&self, lease_ttl: Millis, max_grant_duration: Millis) -> Millis {
        match self.table_is_outdated() {
            true => latest_grant_expiry(self.earlier_leases_end_at(lease_ttl), max_grant_duration),
            false => Millis::ZERO,
        }
    }
}
