//! Becoming the assigner: whoever holds the assigner's key in the store.

use {
    crate::{
        control::{
            message::{Candidacy, Member, Won},
            store::{StoreClient, StoreError},
        },
        process::Shared,
    },
    bytes::Bytes,
    oriolehoist_port::{Change, LeaseId, Revision, StoreRequest, StoreResponse, Transaction},
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// The key whose holder is the assigner.
pub(crate) const ASSIGNER_KEY: &str = "oriolehoist/assigner";
/// The key of the table of owners.
pub(crate) const TABLE_KEY: &str = "oriolehoist/table";
/// The prefix of the members' keys.
pub(crate) const MEMBERS_PREFIX: &str = "oriolehoist/members/";
/// How long the assigner's lease lasts without a renewal. A grant outlasts it, so that another
/// daemon can take over before one lapses.
pub(crate) const ASSIGNER_LEASE: Millis = Millis(1200);
/// How often a lease is asked for when the store gives no answer.
const LEASE_ATTEMPTS: u32 = 3;
/// The longest wait for the end of another daemon's lease, before looking again.
const WATCH_WAIT: Millis = Millis(3000);

/// What the assigner's key holds.
#[derive(Debug, Serialize, Deserialize)]
struct Holder {
    member: Member,
    lease: LeaseId,
}

/// Tries to become the assigner: at once if nobody is, or after the present one's lease has ended.
pub(crate) async fn stand(cx: &Shared, store: &StoreClient, me: &Member) -> Candidacy {
    let found = store.call(StoreRequest::Get(ASSIGNER_KEY.into())).await;
    match found {
        Ok(StoreResponse::Item { item: None, .. }) => take(cx, store, me).await,
        Ok(StoreResponse::Item { item: Some(item), revision: at }) => {
            let holder = serde_json::from_slice::<Holder>(&item.value);
            let earlier_life = holder.ok().filter(|holder| {
                holder.member.instance == me.instance && holder.member.incarnation != me.incarnation
            });
            match earlier_life {
                Some(holder) => {
                    // An earlier life of this daemon gives no orders any more. Without an answer
                    // the lease may have ended all the same.
                    let _ = store.call(StoreRequest::RevokeLease(holder.lease)).await;
                    take(cx, store, me).await
                }
                None => {
                    let prefix = ASSIGNER_KEY.into();
                    let call = StoreRequest::Watch { prefix, after: at, wait: WATCH_WAIT };
                    match store.call(call).await {
                        // The lease has ended, and with it the holder's permission.
                        Ok(StoreResponse::Changes { changes, .. })
                            if changes.iter().any(|c| matches!(c, Change::Removed(_))) =>
                        {
                            take(cx, store, me).await
                        }
                        // Whatever else it says, the next candidacy reads the key.
                        _ => Candidacy::Lost,
                    }
                }
            }
        }
        _ => Candidacy::Lost,
    }
}

async fn take(cx: &Shared, store: &StoreClient, me: &Member) -> Candidacy {
    let Some((lease, until)) = open_lease(cx, store).await else { return Candidacy::Lost };
    let holder = Holder { member: me.clone(), lease };
    let Ok(value) = serde_json::to_vec(&holder) else { return Candidacy::Lost };
    let commit = Transaction::default().require_revision(ASSIGNER_KEY, Revision::ABSENT).put(
        ASSIGNER_KEY,
        value.clone(),
        Some(lease),
    );
    let term = match store.call(StoreRequest::Transaction(commit)).await {
        Ok(StoreResponse::Committed(term)) => term,
        // The write may have taken effect. If it does later, the key ends with its lease, unused.
        Err(StoreError::Unknown) => {
            match store.call(StoreRequest::Get(ASSIGNER_KEY.into())).await {
                Ok(StoreResponse::Item { item: Some(item), .. }) if item.value == value => {
                    item.revision
                }
                _ => return Candidacy::Lost,
            }
        }
        _ => return Candidacy::Lost,
    };
    let won = Won { term, lease, until };
    match read_table(store).await {
        Some(table) => Candidacy::Won { won, table },
        None => {
            // Without the table nothing may be granted; another daemon may have more luck.
            let _ = store.call(StoreRequest::RevokeLease(lease)).await;
            Candidacy::Lost
        }
    }
}

/// Opens a lease. Returns until when it lasts at least.
async fn open_lease(cx: &Shared, store: &StoreClient) -> Option<(LeaseId, Millis)> {
    let length = ASSIGNER_LEASE.max(cx.boot.min_lease_ttl);
    for _ in 0..LEASE_ATTEMPTS {
        let sent = cx.clock.now();
        match store.call(StoreRequest::CreateLease(length)).await {
            Ok(StoreResponse::Lease { id: Some(lease), ttl: length }) => {
                return Some((lease, sent + length));
            }
            // One that was opened without an answer ends by itself.
            Err(StoreError::Unknown) => {}
            _ => return None,
        }
    }
    None
}

/// Reads the table; `None` if the store does not answer.
async fn read_table(store: &StoreClient) -> Option<Option<(Revision, Bytes)>> {
    match store.call(StoreRequest::Get(TABLE_KEY.into())).await {
        Ok(StoreResponse::Item { item, .. }) => Some(item.map(|item| (item.revision, item.value))),
        _ => None,
    }
}
