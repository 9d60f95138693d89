use {
    crate::{CommitError, ExitStatus, args::Release, command::store, output::Output},
    oriolehoist_platform::Swap,
    oriolehoist_protocol::{TermRecord, Witness},
    serde_json::json,
};

/// Writes the next record of a service without witnesses, so that a successor waits for none.
pub(super) async fn release(args: &Release) -> Result<Output, CommitError> {
    let store = store(args.store)?;
    let key = format!("term/{}", args.service);
    let Some(entry) = store.get(&key).await? else {
        return Ok(refused(&format!("there is no term of \"{}\"", args.service)));
    };
    let record: TermRecord = serde_json::from_str(&entry.value)?;
    let named = names(&record);
    if !args.all_daemons_have_ended {
        let text = format!(
            "make sure that these have ended, then repeat with --all-daemons-have-ended: {named}"
        );
        return Ok(refused(&text));
    }
    let released = TermRecord {
        term: record.term.next(),
        witnesses: Vec::new(),
        unsettled: Vec::new(),
        write_id: format!("release-{:016x}", fastrand::u64(..)).into(),
        ..record
    };
    let value = serde_json::to_string(&released)?;
    match store.compare_and_swap(&key, entry.revision, value).await? {
        Swap::Written(_) => {
            let text = format!("term {} of \"{}\" is released", released.term, args.service);
            Ok(Output::done(text, json!({ "term": released.term })))
        }
        Swap::Conflict(_) => Ok(refused("the record has just changed: a daemon holds the term")),
    }
}

fn names(record: &TermRecord) -> String {
    let sets = record.unsettled.iter().flatten().chain(&record.witnesses);
    let witnesses = sets.chain([&record.holder]);
    let mut names: Vec<String> =
        witnesses.map(|w: &Witness| format!("{} at {}", w.instance, w.address)).collect();
    names.sort();
    names.dedup();
    names.join(", ")
}

fn refused(text: &str) -> Output {
    Output::failed(ExitStatus::Refused, text, json!({ "error": text }))
}
