//! Writing a service's record in the store.

use {
    crate::{
        control::{
            actor::Control,
            message::{RecordAttempted, StoredAssignment},
        },
        process::Shared,
    },
    futures::future::join_all,
    kameo::actor::ActorRef,
    oriolehoist_ownership::{WitnessCandidate, initial_record, successor_record},
    oriolehoist_platform::{Revision, StoreError, Swap},
    oriolehoist_protocol::{
        Assignment, HolderQuery, HolderQueryResponse, ServerAddress, ServiceName, Term, TermRecord,
        Witness, quorum_size,
    },
    oriolehoist_time::Millis,
    serde::de::DeserializeOwned,
    smol_str::format_smolstr,
    std::sync::Arc,
};

/// What an attempt wants to write.
#[derive(Clone, Debug)]
pub(super) enum Attempt {
    /// The next term, unless another daemon has won one since `missed`, the last that was known.
    TakeOver { missed: Option<Term>, peers: Vec<WitnessCandidate>, servers: Vec<ServerAddress> },
    /// The next term of the same holder, with other witnesses or servers.
    Replace { from: TermRecord, peers: Vec<WitnessCandidate>, servers: Vec<ServerAddress> },
    /// The same term with nothing unsettled.
    Settle { from: TermRecord },
}

/// The longest wait for a witness's word on the present holder.
const VOTE_TIMEOUT: Millis = Millis(150);

/// Returns the store's key of a service's record.
fn record_key(service: &ServiceName) -> String {
    format!("term/{service}")
}

/// Returns the store's key of a service's assignment.
pub(super) fn assignment_key(service: &ServiceName) -> String {
    format!("assignment/{service}")
}

/// Tries to write a record, and tells control what the store holds afterwards.
pub(super) async fn attempt(
    cx: Arc<Shared>,
    control: ActorRef<Control>,
    service: ServiceName,
    attempt: Attempt,
) {
    let result = write(&cx, &service, &attempt).await;
    let found = match result {
        Ok(found) => found,
        Err(error) => {
            let text = format_args!("{service}: {error}");
            crate::process::report(crate::process::Event::TermAttemptFailed, text);
            None
        }
    };
    let won = found.as_ref().is_some_and(|found| found.holder == cx.me);
    let stored = match won {
        true => read_assignment(&cx, &service).await,
        false => None,
    };
    let _ = control.tell(RecordAttempted { service, found, stored }).await;
}

async fn write(
    cx: &Shared,
    service: &ServiceName,
    attempt: &Attempt,
) -> Result<Option<TermRecord>, StoreError> {
    let key = record_key(service);
    let present = read::<TermRecord>(cx, &key).await?;
    let (record, expected) = match (&present, attempt) {
        (None, Attempt::TakeOver { peers, servers, .. }) => {
            let record = initial_record(service.clone(), cx.me.clone(), peers, servers.clone());
            (record, Revision::ABSENT)
        }
        // The record of this very process: an earlier write whose reply was lost.
        (Some((held, _)), Attempt::TakeOver { .. }) if held.holder == cx.me => {
            return Ok(Some(held.clone()));
        }
        // Whoever has just won has said nothing yet. To replace it would cost a second settling.
        (Some((held, _)), Attempt::TakeOver { missed: Some(missed), .. })
            if held.term > *missed =>
        {
            return Ok(Some(held.clone()));
        }
        (Some((held, _)), Attempt::TakeOver { .. }) if !is_wanted(cx, held).await => {
            return Ok(None);
        }
        (Some((held, revision)), Attempt::TakeOver { peers, servers, .. }) => {
            (successor_record(held, cx.me.clone(), peers, servers.clone()), *revision)
        }
        (Some((held, revision)), Attempt::Replace { from, peers, servers }) if held == from => {
            (successor_record(held, cx.me.clone(), peers, servers.clone()), *revision)
        }
        (Some((held, revision)), Attempt::Settle { from }) if held == from => {
            (TermRecord { unsettled: Vec::new(), ..held.clone() }, *revision)
        }
        // The record is no longer the one that was to be replaced.
        (Some((held, _)), _) => {
            return Ok(Some(held.clone()));
        }
        (None, _) => return Ok(None),
    };
    let record = TermRecord { write_id: format_smolstr!("{}", cx.next_exchange()), ..record };
    let text = serde_json::to_string(&record).map_err(StoreError::Malformed)?;
    match cx.store.compare_and_swap(&key, expected, text).await {
        Ok(Swap::Written(_)) => Ok(Some(record)),
        Ok(Swap::Conflict(_)) => read_found(cx, &key).await,
        // The write may have taken effect, or may still do so. What the store holds decides.
        Err(error) if error.may_have_taken_effect() => read_found(cx, &key).await,
        Err(error) => Err(error),
    }
}

/// Returns whether a majority of every set of witnesses that a new holder depends on can be
/// reached and misses the present holder, too.
///
/// Without them a new holder could do nothing, and would only disturb one that can.
async fn is_wanted(cx: &Shared, held: &TermRecord) -> bool {
    let sets = held.unsettled.iter().chain([&held.witnesses]).filter(|set| !set.is_empty());
    let wanted = join_all(sets.map(|set| is_wanted_by(cx, held, set))).await;
    wanted.into_iter().all(|wanted| wanted)
}

async fn is_wanted_by(cx: &Shared, held: &TermRecord, set: &[Witness]) -> bool {
    let votes = join_all(set.iter().map(|witness| misses_holder(cx, held, witness))).await;
    votes.into_iter().filter(|missing| *missing).count() >= quorum_size(set)
}

async fn misses_holder(cx: &Shared, held: &TermRecord, witness: &Witness) -> bool {
    if witness.address == cx.me.address {
        return true;
    }
    let question = HolderQuery { service: held.service.clone(), term: held.term };
    let answer = cx.peers.ask(witness.address, "/missing", &question, VOTE_TIMEOUT).await;
    answer.is_ok_and(|HolderQueryResponse { holder_lost: missing }| missing)
}

async fn read_found(cx: &Shared, key: &str) -> Result<Option<TermRecord>, StoreError> {
    let present = read(cx, key).await?;
    Ok(present.map(|(record, _)| record))
}

async fn read<T: DeserializeOwned>(
    cx: &Shared,
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

/// Reads the stored assignment. It is a preference only, so a failure does not matter.
async fn read_assignment(cx: &Shared, service: &ServiceName) -> Option<StoredAssignment> {
    let (assignment, revision) =
        read::<Assignment>(cx, &assignment_key(service)).await.ok().flatten()?;
    Some(StoredAssignment { assignment, revision })
}
