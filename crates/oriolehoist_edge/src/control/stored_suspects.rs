//! Keeps the crash suspects in the store, for the case that all daemons end at the same time.

use {
    crate::{
        control::{
            actor::{Control, Role},
            election::ASSIGNER_KEY,
            message::Input,
            store::StoreClient,
        },
        process::Shared,
        wire::StoredSuspects,
    },
    kameo::actor::ActorRef,
    oriolehoist_admission::{Fingerprint, SuspectWrites},
    oriolehoist_log::{Event, report},
    oriolehoist_port::{Revision, StoreRequest, StoreResponse, Transaction},
    oriolehoist_protocol::SuspectReport,
    oriolehoist_time::Millis,
    std::{collections::HashMap, sync::Arc},
};

/// The key of the crash suspects. Only the assigner writes it.
const SUSPECTS_KEY: &str = "oriolehoist/suspects";
/// How long the item is kept after a write.
const STORED_FOR: Millis = Millis::from_secs(10 * 60);

impl Control {
    /// Stores the crash suspects, if this daemon is the assigner and others were added.
    pub(super) fn store_suspects(&mut self, control: &ActorRef<Control>) {
        let now = self.now();
        let Role::Assigner(assigner) = &self.role else { return };
        let term = assigner.term_lease.term;
        if assigner.suspension.is_some() || self.cx.is_store_away() {
            return;
        }
        let suspects = self.cx.suspects_to_store();
        if !self.suspect_writes.start(now, term.0, &suspects) {
            return;
        }
        let (cx, store, control) = (Arc::clone(&self.cx), Arc::clone(&self.store), control.clone());
        tokio::spawn(async move {
            let written = SuspectWrites::crash_counts(&suspects);
            let is_written = write_suspects(&cx, &store, term, suspects).await;
            let written = is_written.then_some(written);
            // The actor runs until the process exits.
            let _ = control.tell(Input::SuspectsWritten { term, written }).await;
        });
    }

    /// Reads the stored requests at the beginning of a term as the assigner.
    pub(super) fn read_stored_suspects(&mut self, control: &ActorRef<Control>, term: Revision) {
        self.suspect_writes.on_term(term.0);
        let (cx, store, control) = (Arc::clone(&self.cx), Arc::clone(&self.store), control.clone());
        tokio::spawn(async move {
            let stored = read_suspects(&cx, &store).await;
            // The actor runs until the process exits.
            let _ = control.tell(Input::SuspectsRead { term, stored }).await;
        });
    }
}

/// Writes the suspects on the condition that this daemon is still the assigner.
async fn write_suspects(
    cx: &Shared,
    store: &StoreClient,
    term: Revision,
    suspects: Vec<SuspectReport>,
) -> bool {
    let value = match serde_json::to_vec(&StoredSuspects { suspects }) {
        Ok(value) => value,
        Err(error) => {
            report(Event::PeerMalformed, format_args!("key={SUSPECTS_KEY} error=\"{error}\""));
            return false;
        }
    };
    let ttl = STORED_FOR.max(cx.bootstrap.min_lease_ttl);
    let Ok(StoreResponse::Lease { id: Some(lease), .. }) =
        store.call(StoreRequest::CreateLease(ttl)).await
    else {
        return false;
    };
    let transaction = Transaction::default().require_revision(ASSIGNER_KEY, term).put(
        SUSPECTS_KEY,
        value,
        Some(lease),
    );
    let response = store.call(StoreRequest::Transaction(transaction)).await;
    matches!(response, Ok(StoreResponse::Committed(_)))
}

/// Reads the suspects, and returns them. How long ago they were written is not known, so they count as if that
/// were now.
pub(super) async fn read_suspects(cx: &Shared, store: &StoreClient) -> HashMap<Fingerprint, usize> {
    let response = store.call(StoreRequest::Get(SUSPECTS_KEY.into())).await;
    // Without a response, only what other daemons know is used.
    let Ok(StoreResponse::Item { item: Some(item), .. }) = response else { return HashMap::new() };
    match serde_json::from_slice::<StoredSuspects>(&item.value) {
        Ok(stored) => {
            cx.merge_suspects(&stored.suspects, "store");
            SuspectWrites::crash_counts(&stored.suspects)
        }
        Err(error) => {
            report(Event::PeerMalformed, format_args!("key={SUSPECTS_KEY} error=\"{error}\""));
            HashMap::new()
        }
    }
}
