//! Writes the stored assignment table.

use {
    crate::control::{
        election::{ASSIGNER_KEY, TABLE_KEY},
        message::TableWrite,
        store::{StoreClient, StoreError},
    },
    oriolehoist_keyspace::AssignmentTable,
    oriolehoist_port::{Revision, StoreRequest, StoreResponse, Transaction},
};

/// Writes the table on the condition that this daemon is still the assigner.
pub(super) async fn write_table(
    store: &StoreClient,
    term: Revision,
    previous_revision: Revision,
    table: &AssignmentTable,
) -> TableWrite {
    let Ok(value) = serde_json::to_vec(table) else { return TableWrite::Failed };
    let transaction = Transaction::default()
        .require_revision(ASSIGNER_KEY, term)
        .require_revision(TABLE_KEY, previous_revision)
        .put(TABLE_KEY, value, None);
    match store.call(StoreRequest::Transaction(transaction)).await {
        Ok(StoreResponse::Committed(revision)) if revision.era() == term.era() => {
            TableWrite::Stored { revision, fence_limit: table.fence_limit }
        }
        Ok(StoreResponse::Conflict(_)) | Err(StoreError::Lost | StoreError::Malformed) => {
            resolve_unknown_write(store, term, table).await
        }
        _ => TableWrite::Failed,
    }
}

/// Determines the result of a write that got no response or a conflict.
async fn resolve_unknown_write(
    store: &StoreClient,
    term: Revision,
    table: &AssignmentTable,
) -> TableWrite {
    match store.call(StoreRequest::Get(ASSIGNER_KEY.into())).await {
        Ok(StoreResponse::Item { item: Some(item), .. }) if item.revision == term => {}
        Ok(StoreResponse::Item { .. }) => return TableWrite::Superseded,
        _ => return TableWrite::Failed,
    }
    let (revision, stored) = match store.call(StoreRequest::Get(TABLE_KEY.into())).await {
        Ok(StoreResponse::Item { item: Some(item), .. }) => (item.revision, item.value),
        Ok(StoreResponse::Item { item: None, .. }) => return TableWrite::Earlier(Revision::ABSENT),
        _ => return TableWrite::Failed,
    };
    match AssignmentTable::decode(&stored) {
        // Another attempt to write this version may have reserved fewer fencing tokens.
        Ok(stored) if stored.writer == table.writer && stored.version == table.version => {
            TableWrite::Stored { revision, fence_limit: stored.fence_limit }
        }
        // An earlier write of this assigner, or the table that it took over. The next write is
        // based on it.
        Ok(_) => TableWrite::Earlier(revision),
        Err(_) => TableWrite::Failed,
    }
}
