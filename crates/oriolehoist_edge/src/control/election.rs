//! Election of the assigner. The daemon that holds the assigner key in the store has the role.

use {
    crate::{
        control::{
            claim::{Candidacy, lease_ttl, may_claim},
            message::{ElectionOutcome, Member, TermLease},
            store::{StoreClient, StoreError},
        },
        process::Shared,
        wire::AssignerRecord,
    },
    oriolehoist_keyspace::{AssignmentTable, FenceCounter},
    oriolehoist_log::{Event, report},
    oriolehoist_port::{
        Change, LeaseId, Revision, StoreEra, StoreRequest, StoreResponse, Transaction,
    },
    oriolehoist_time::Millis,
    std::time::Duration,
    tokio::time::sleep,
};

/// The key whose holder is the assigner.
pub(crate) const ASSIGNER_KEY: &str = "oriolehoist/assigner";
/// The key of the assignment table.
pub(crate) const TABLE_KEY: &str = "oriolehoist/table";
/// The prefix of the keys under which daemons register as members.
pub(crate) const MEMBERS_PREFIX: &str = "oriolehoist/members/";
/// The duration of the assigner's lease. It is shorter than a grant, so that another daemon can
/// take over before grants expire.
pub(crate) const ASSIGNER_LEASE_TTL: Millis = Millis(1200);
/// The maximum number of attempts to create a lease if the store does not respond.
const MAX_LEASE_ATTEMPTS: u32 = 3;
/// The maximum wait for another daemon's lease to end before the key is read again.
const WATCH_TIMEOUT: Millis = Millis(3000);

/// Tries to become the assigner: immediately if there is none, otherwise after the lease of the
/// current one has ended.
pub(crate) async fn campaign(
    cx: &Shared,
    store: &StoreClient,
    local: &Member,
    candidacy: Candidacy,
) -> ElectionOutcome {
    let response = store.call(StoreRequest::Get(ASSIGNER_KEY.into())).await;
    match response {
        Ok(StoreResponse::Item { item: None, .. }) => {
            claim_if_allowed(cx, store, local, candidacy).await
        }
        Ok(StoreResponse::Item { item: Some(item), revision: at }) => {
            // A claim that can't be decoded is in force until its lease ends, like any other.
            let log_malformed = |error: &serde_json::Error| {
                let text = format_args!("key={ASSIGNER_KEY} error=\"{error}\"");
                report(Event::PeerMalformed, text);
            };
            let record = serde_json::from_slice::<AssignerRecord>(&item.value);
            let record = record.inspect_err(log_malformed);
            // The key is held by a previous incarnation of this daemon, or in an earlier era. Its
            // holder sends no more orders once this daemon may claim the role.
            let invalid = record.ok().filter(|record| {
                let is_previous = record.member.instance == local.instance
                    && record.member.incarnation != local.incarnation;
                is_previous || record.era < at.era()
            });
            match invalid {
                Some(record) => {
                    if !may_claim(cx, store, candidacy).await {
                        return ElectionOutcome::Lost;
                    }
                    // The lease may have been revoked even if the request gets no response.
                    let _ = store.call(StoreRequest::RevokeLease(record.lease)).await;
                    claim_role(cx, store, local, candidacy).await
                }
                None => {
                    let prefix = ASSIGNER_KEY.into();
                    let request = StoreRequest::Watch { prefix, after: at, wait: WATCH_TIMEOUT };
                    match store.call(request).await {
                        // The lease has ended, and with it the right of its holder to send orders.
                        Ok(StoreResponse::Changes { changes, .. })
                            if changes.iter().any(is_removal_of_assigner) =>
                        {
                            sleep(Duration::from(candidacy.claim_delay)).await;
                            claim_if_allowed(cx, store, local, candidacy).await
                        }
                        // After any other response, the next election attempt reads the key again.
                        _ => ElectionOutcome::Lost,
                    }
                }
            }
        }
        _ => ElectionOutcome::Lost,
    }
}

fn is_removal_of_assigner(change: &Change) -> bool {
    matches!(change, Change::Removed { key, .. } if key == ASSIGNER_KEY)
}

async fn claim_if_allowed(
    cx: &Shared,
    store: &StoreClient,
    local: &Member,
    candidacy: Candidacy,
) -> ElectionOutcome {
    match may_claim(cx, store, candidacy).await {
        true => claim_role(cx, store, local, candidacy).await,
        false => ElectionOutcome::Lost,
    }
}

/// Claims the role. The same transaction reserves a block of fencing tokens, so that grants can be
/// sent even if the store becomes unavailable right afterwards. The table does not change before it,
/// because a table is written only by the holder of the role.
async fn claim_role(
    cx: &Shared,
    store: &StoreClient,
    local: &Member,
    candidacy: Candidacy,
) -> ElectionOutcome {
    // Nothing can be granted without the table. Another daemon may be able to read it.
    let Some(stored) = read_table(store).await else { return ElectionOutcome::Lost };
    let (revision, table) = stored.unzip();
    let Some((lease, expiry)) = create_lease(cx, store).await else { return ElectionOutcome::Lost };
    let era = cx.store_era().unwrap_or_default();
    let stored_limit = table.as_ref().map_or(0, |table| table.fence_limit);
    let mut fences = FenceCounter::after(stored_limit, era);
    let fence_limit = fences.next_limit();
    let record = AssignerRecord { member: local.clone(), lease, era };
    // The claim makes the assignments of an earlier era no more reliable.
    let table_era = match &table {
        Some(table) => table.era,
        None if candidacy.knows_assignments => StoreEra::default(),
        None => era,
    };
    let reserved = AssignmentTable {
        writer: cx.incarnation.0,
        version: 0,
        era: table_era,
        fence_limit,
        services: table.as_ref().map(|table| table.services.clone()).unwrap_or_default(),
    };
    let (Ok(value), Ok(reserved)) = (serde_json::to_vec(&record), serde_json::to_vec(&reserved))
    else {
        return ElectionOutcome::Lost;
    };
    let transaction = Transaction::default()
        .require_revision(ASSIGNER_KEY, Revision::ABSENT)
        .require_revision(TABLE_KEY, revision.unwrap_or(Revision::ABSENT))
        .put(ASSIGNER_KEY, value.clone(), Some(lease))
        .put(TABLE_KEY, reserved, None);
    let term = match store.call(StoreRequest::Transaction(transaction)).await {
        Ok(StoreResponse::Committed(term)) => term,
        // The write may have succeeded. If it takes effect later, the key expires with its lease
        // and is never used.
        Err(StoreError::Lost) => match store.call(StoreRequest::Get(ASSIGNER_KEY.into())).await {
            Ok(StoreResponse::Item { item: Some(item), .. }) if item.value == value => {
                item.revision
            }
            _ => return ElectionOutcome::Lost,
        },
        _ => return ElectionOutcome::Lost,
    };
    let is_of_other_era = |revision: Revision| revision.era() != era;
    if is_of_other_era(term) || revision.is_some_and(is_of_other_era) {
        // Other daemons would take the key for one of an earlier era, and the table may not be the
        // one that was read.
        let _ = store.call(StoreRequest::RevokeLease(lease)).await;
        return ElectionOutcome::Lost;
    }
    fences.on_stored(fence_limit);
    ElectionOutcome::Won { term_lease: TermLease { term, lease, expiry }, table, fences }
}

/// Creates a lease. Returns it with the earliest time at which it can expire.
async fn create_lease(cx: &Shared, store: &StoreClient) -> Option<(LeaseId, Millis)> {
    let ttl = lease_ttl(cx);
    for _ in 0..MAX_LEASE_ATTEMPTS {
        let sent_at = cx.clock.now();
        match store.call(StoreRequest::CreateLease(ttl)).await {
            Ok(StoreResponse::Lease { id: Some(lease), ttl: length }) => {
                return Some((lease, sent_at + length));
            }
            // A lease that was created without a response expires on its own.
            Err(StoreError::Lost) => {}
            _ => return None,
        }
    }
    None
}

/// Reads the table and its revision. Returns `None` if the table can't be read, and `Some(None)` if
/// there is no table yet.
pub(super) async fn read_table(store: &StoreClient) -> Option<Option<(Revision, AssignmentTable)>> {
    let item = match store.call(StoreRequest::Get(TABLE_KEY.into())).await {
        Ok(StoreResponse::Item { item: Some(item), .. }) => item,
        Ok(StoreResponse::Item { item: None, .. }) => return Some(None),
        _ => return None,
    };
    match AssignmentTable::decode(&item.value) {
        Ok(table) => Some(Some((item.revision, table))),
        Err(error) => {
            let text = format_args!("table=\"failed to decode the stored table: {error}\"");
            report(Event::TermAttemptFailed, text);
            None
        }
    }
}
