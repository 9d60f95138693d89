//! Writes of a service's term record to the store.

use {
    crate::{
        control::{
            actor::Control,
            message::{RecordWriteFinished, StoredAssignment},
        },
        process::DaemonContext,
    },
    futures::future::join_all,
    kameo::actor::ActorRef,
    oriolehoist_ownership::{WitnessCandidate, initial_record, settled_record, successor_record},
    oriolehoist_platform::{CasOutcome, Revision, StoreError},
    oriolehoist_protocol::{
        Assignment, HolderQuery, HolderQueryResponse, ServerAddress, ServiceName, Term, TermRecord,
        Witness, quorum_size,
    },
    oriolehoist_time::Millis,
    serde::de::DeserializeOwned,
    smol_str::format_smolstr,
    std::sync::Arc,
};

/// The record that a write should store.
#[derive(Clone, Debug)]
pub(super) enum RecordWrite {
    /// The record of the next term, held by this daemon. Not written if the store holds a higher
    /// term than `last_known_term`: another daemon has taken over since.
    Takeover {
        last_known_term: Option<Term>,
        peers: Vec<WitnessCandidate>,
        servers: Vec<ServerAddress>,
    },
    /// The record of the next term of the same holder, with other witnesses or servers.
    Replace { from: TermRecord, peers: Vec<WitnessCandidate>, servers: Vec<ServerAddress> },
    /// The record of the same term without unsettled witness sets.
    Settle { from: TermRecord },
}

/// Timeout for asking a witness whether it has lost contact with the current holder.
const VOTE_TIMEOUT: Millis = Millis(150);

/// Returns the store key of a service's term record.
fn record_key(service: &ServiceName) -> String {
    format!("term/{service}")
}

/// Returns the store key of a service's assignment.
pub(super) fn assignment_key(service: &ServiceName) -> String {
    format!("assignment/{service}")
}

/// Tries to write a record, and tells the control actor what the store holds afterwards.
pub(super) async fn write_record(
    cx: Arc<DaemonContext>,
    control: ActorRef<Control>,
    service: ServiceName,
    write: RecordWrite,
) {
    let result = try_write(&cx, &service, &write).await;
    let found = match result {
        Ok(found) => found,
        Err(error) => {
            let text =
                format_args!("service {service}: can't read or write the term record: {error}");
            crate::process::report(crate::process::Event::TermAttemptFailed, text);
            None
        }
    };
    let won = found.as_ref().is_some_and(|found| found.holder == cx.identity);
    let stored = match won {
        true => read_assignment(&cx, &service).await,
        false => None,
    };
    let _ = control.tell(RecordWriteFinished { service, found, stored }).await;
}

async fn try_write(
    cx: &DaemonContext,
    service: &ServiceName,
    write: &RecordWrite,
) -> Result<Option<TermRecord>, StoreError> {
    let key = record_key(service);
    let existing = read::<TermRecord>(cx, &key).await?;
    let (record, expected) = match (&existing, write) {
        (None, RecordWrite::Takeover { peers, servers, .. }) => {
            let record =
                initial_record(service.clone(), cx.identity.clone(), peers, servers.clone());
            (record, Revision::ABSENT)
        }
        // An earlier write of this process succeeded although its response was lost.
        (Some((current, _)), RecordWrite::Takeover { .. }) if current.holder == cx.identity => {
            return Ok(Some(current.clone()));
        }
        // The new holder has not sent a heartbeat yet. Replacing it would mean settling another
        // term.
        (Some((current, _)), RecordWrite::Takeover { last_known_term: Some(known), .. })
            if current.term > *known =>
        {
            return Ok(Some(current.clone()));
        }
        (Some((current, _)), RecordWrite::Takeover { .. })
            if !is_takeover_supported(cx, current).await =>
        {
            return Ok(None);
        }
        (Some((current, revision)), RecordWrite::Takeover { peers, servers, .. }) => {
            (successor_record(current, cx.identity.clone(), peers, servers.clone()), *revision)
        }
        (Some((current, revision)), RecordWrite::Replace { from, peers, servers })
            if current == from =>
        {
            (successor_record(current, cx.identity.clone(), peers, servers.clone()), *revision)
        }
        (Some((current, revision)), RecordWrite::Settle { from }) if current == from => {
            (settled_record(current), *revision)
        }
        // The record has changed since the write was decided on.
        (Some((current, _)), _) => {
            return Ok(Some(current.clone()));
        }
        (None, _) => return Ok(None),
    };
    let record = TermRecord { write_id: format_smolstr!("{}", cx.next_unique_id()), ..record };
    let text = serde_json::to_string(&record).map_err(StoreError::Malformed)?;
    match cx.store.compare_and_swap(&key, expected, text).await {
        Ok(CasOutcome::Written(_)) => Ok(Some(record)),
        Ok(CasOutcome::Conflict(_)) => read_record(cx, &key).await,
        // The write may have taken effect, or may still do so: only the store can tell.
        Err(error) if error.may_have_taken_effect() => read_record(cx, &key).await,
        Err(error) => Err(error),
    }
}

/// Returns whether, in every witness set that a new holder depends on, a majority is reachable and
/// has lost contact with the current holder.
///
/// Without these majorities, a new holder could not act, and would only interrupt one that can.
async fn is_takeover_supported(cx: &DaemonContext, current: &TermRecord) -> bool {
    let sets = current.unsettled.iter().chain([&current.witnesses]).filter(|set| !set.is_empty());
    let supported = join_all(sets.map(|set| is_supported_by_majority(cx, current, set))).await;
    supported.into_iter().all(|supported| supported)
}

async fn is_supported_by_majority(
    cx: &DaemonContext,
    current: &TermRecord,
    set: &[Witness],
) -> bool {
    let votes = join_all(set.iter().map(|witness| votes_for_takeover(cx, current, witness))).await;
    votes.into_iter().filter(|vote| *vote).count() >= quorum_size(set)
}

async fn votes_for_takeover(cx: &DaemonContext, current: &TermRecord, witness: &Witness) -> bool {
    if witness.address == cx.identity.address {
        return true;
    }
    let query = HolderQuery { service: current.service.clone(), term: current.term };
    let response = cx.peers.call(witness.address, "/missing", &query, VOTE_TIMEOUT).await;
    response.is_ok_and(|HolderQueryResponse { holder_lost: lost }| lost)
}

async fn read_record(cx: &DaemonContext, key: &str) -> Result<Option<TermRecord>, StoreError> {
    let existing = read(cx, key).await?;
    Ok(existing.map(|(record, _)| record))
}

async fn read<T: DeserializeOwned>(
    cx: &DaemonContext,
    key: &str,
) -> Result<Option<(T, Revision)>, StoreError> {
    match cx.store.get(key).await? {
        Some(entry) => {
            let value = serde_json::from_str(&entry.value).map_err(StoreError::Malformed)?;
            Ok(Some((value, entry.revision)))
        }
        None => Ok(None),
    }
}

/// Reads the stored assignment. Returns `None` if that fails: a new assigner uses the assignment
/// only as a hint of which server to try first for each shard.
async fn read_assignment(cx: &DaemonContext, service: &ServiceName) -> Option<StoredAssignment> {
    let (assignment, revision) =
        read::<Assignment>(cx, &assignment_key(service)).await.ok().flatten()?;
    Some(StoredAssignment { assignment, revision })
}
