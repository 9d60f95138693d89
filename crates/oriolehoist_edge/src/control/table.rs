//! Writes the stored table of owners.

use {
    crate::control::{
        election::{ASSIGNER_KEY, TABLE_KEY},
        message::TableWrite,
        store::{StoreClient, StoreError},
    },
    oriolehoist_keyspace::AssignmentTable,
    oriolehoist_port::{Revision, StoreRequest, StoreResponse, Transaction},
};

/// Writes the table under the condition that this daemon is the assigner.
pub(super) async fn write_table(
    store: &StoreClient,
    term: Revision,
    before: Revision,
    table: &AssignmentTable,
) -> TableWrite {
    let Ok(value) = serde_json::to_vec(table) else { return TableWrite::Failed };
    let commit = Transaction::default()
        .require_revision(ASSIGNER_KEY, term)
        .require_revision(TABLE_KEY, before)
        .put(TABLE_KEY, value, None);
    match store.call(StoreRequest::Transaction(commit)).await {
        Ok(StoreResponse::Committed(revision)) => TableWrite::Stored(revision),
        Ok(StoreResponse::Conflict(_)) | Err(StoreError::Unknown | StoreError::Malformed) => {
            look_back(store, term, table).await
        }
        _ => TableWrite::Failed,
    }
}

/// Finds out what became of a write without an answer.
async fn look_back(store: &StoreClient, term: Revision, table: &AssignmentTable) -> TableWrite {
    match store.call(StoreRequest::Get(ASSIGNER_KEY.into())).await {
        Ok(StoreResponse::Item { item: Some(item), .. }) if item.revision == term => {}
        Ok(StoreResponse::Item { .. }) => return TableWrite::Superseded,
        _ => return TableWrite::Failed,
    }
    let (revision, held) = match store.call(StoreRequest::Get(TABLE_KEY.into())).await {
        Ok(StoreResponse::Item { item: Some(item), .. }) => (item.revision, item.value),
        Ok(StoreResponse::Item { item: None, .. }) => return TableWrite::Earlier(Revision::ABSENT),
        _ => return TableWrite::Failed,
    };
    match serde_json::from_slice::<AssignmentTable>(&held) {
        Ok(held) if held.writer == table.writer && held.version == table.version => {
            TableWrite::Stored(revision)
        }
        // An earlier write of this assigner, or what it took over: the next write follows it.
        Ok(_) => TableWrite::Earlier(revision),
        Err(_) => TableWrite::Failed,
    }
}
