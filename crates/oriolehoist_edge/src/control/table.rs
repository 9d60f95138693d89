//! Writes the stored table of owners.

use {
    crate::control::{
        election::{ASSIGNER_KEY, TABLE_KEY},
        message::TableWrite,
        store::{StoreClient, StoreError},
    },
    oriolehoist_keyspace::Table,
    oriolehoist_port::{Commit, Revision, StoreAnswer, StoreCall},
};

/// Writes the table under the condition that this daemon is the assigner.
pub(super) async fn write_table(
    store: &StoreClient,
    term: Revision,
    before: Revision,
    table: &Table,
) -> TableWrite {
    let Ok(value) = serde_json::to_vec(table) else { return TableWrite::Failed };
    let commit = Commit::default()
        .expect(ASSIGNER_KEY, term)
        .expect(TABLE_KEY, before)
        .put(TABLE_KEY, value, None);
    match store.call(StoreCall::Commit(commit)).await {
        Ok(StoreAnswer::Committed(revision)) => TableWrite::Stored(revision),
        Ok(StoreAnswer::Conflict(_)) | Err(StoreError::Unknown | StoreError::Malformed) => {
            look_back(store, term, table).await
        }
        _ => TableWrite::Failed,
    }
}

/// Finds out what became of a write without an answer.
async fn look_back(store: &StoreClient, term: Revision, table: &Table) -> TableWrite {
    match store.call(StoreCall::Get(ASSIGNER_KEY.into())).await {
        Ok(StoreAnswer::Item { item: Some(item), .. }) if item.revision == term => {}
        Ok(StoreAnswer::Item { .. }) => return TableWrite::Superseded,
        _ => return TableWrite::Failed,
    }
    let (revision, held) = match store.call(StoreCall::Get(TABLE_KEY.into())).await {
        Ok(StoreAnswer::Item { item: Some(item), .. }) => (item.revision, item.value),
        Ok(StoreAnswer::Item { item: None, .. }) => return TableWrite::Earlier(Revision::ABSENT),
        _ => return TableWrite::Failed,
    };
    match serde_json::from_slice::<Table>(&held) {
        Ok(held) if held.writer == table.writer && held.version == table.version => {
            TableWrite::Stored(revision)
        }
        // An earlier write of this assigner, or what it took over: the next write follows it.
        Ok(_) => TableWrite::Earlier(revision),
        Err(_) => TableWrite::Failed,
    }
}
