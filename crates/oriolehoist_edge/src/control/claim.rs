//! Decides whether a daemon may claim the assigner's role after the store has continued from an older
//! copy.

use {
    crate::{
        control::{
            election::{ASSIGNER_LEASE_TTL, read_table},
            store::StoreClient,
        },
        process::Shared,
    },
    oriolehoist_keyspace::{AssignmentTable, Takeover, earlier_leases_end_at},
    oriolehoist_time::Millis,
};

/// What a daemon that campaigns knows about the assigners before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidacy {
    /// Whether this daemon was the assigner in an earlier era, and no other one has acted since.
    pub(crate) is_last_assigner: bool,
    /// Whether this daemon knows that keys have been assigned.
    pub(crate) knows_assignments: bool,
    /// How long it leaves the role to larger daemons once the lease of the assigner before has ended.
    pub(crate) claim_delay: Millis,
}

/// Returns the duration of the assigner's lease.
pub(crate) fn lease_ttl(cx: &Shared) -> Millis {
    ASSIGNER_LEASE_TTL.max(cx.bootstrap.min_lease_ttl)
}

/// Returns what this daemon knows about the assigners before, with the stored table. Returns `None`
/// if the store names no era.
pub(crate) fn takeover(
    cx: &Shared,
    table: Option<&AssignmentTable>,
    knows_assignments: bool,
) -> Option<Takeover> {
    let observed = cx.observed_store_era()?;
    let table_era = table.map(|table| table.era);
    Some(Takeover { era: observed.era, era_since: observed.since, table_era, knows_assignments })
}

/// Returns whether this daemon may claim the role: no other daemon can rely on a lease that the
/// store has lost.
pub(super) async fn may_claim(cx: &Shared, store: &StoreClient, candidacy: Candidacy) -> bool {
    let leases_may_be_valid = cx.observed_store_era().is_some_and(|observed| {
        cx.clock.now() < earlier_leases_end_at(observed.since, lease_ttl(cx))
    });
    if candidacy.is_last_assigner || !leases_may_be_valid {
        return true;
    }
    // An assigner that has stored a table in this era held the last lease, or has waited for its end.
    let Some(stored) = read_table(store).await else { return false };
    let table = stored.as_ref().map(|(_, table)| table);
    let takeover = takeover(cx, table, candidacy.knows_assignments);
    !takeover.is_some_and(|takeover| takeover.table_is_outdated())
}
