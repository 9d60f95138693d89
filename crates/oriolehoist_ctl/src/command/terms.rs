use {
    crate::{CommitError, ExitStatus, args::Release, command::connect, output::Output},
    oriolehoist_platform::CasOutcome,
    oriolehoist_protocol::{TermRecord, Witness},
    serde_json::json,
};

/// Replaces the term record of a service with one that has no witnesses, so that the next assigner
/// need not get its term accepted by witnesses of earlier terms.
pub(super) async fn release(args: &Release) -> Result<Output, CommitError> {
    let store = connect(args.store)?;
    let key = format!("term/{}", args.service);
    let Some(entry) = store.get(&key).await? else {
        return Ok(refused(&format!("no term record found for service \"{}\"", args.service)));
    };
    let record: TermRecord = serde_json::from_str(&entry.value)?;
    let daemons = daemons_named_in(&record);
    if !args.all_daemons_have_ended {
        let text = format!(
            "make sure these daemons have ended and repeat with --all-daemons-have-ended: {daemons}"
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
        CasOutcome::Written(_) => {
            let text = format!("term {} of \"{}\" is released", released.term, args.service);
            Ok(Output::success(text, json!({ "term": released.term })))
        }
        CasOutcome::Conflict(_) => {
            Ok(refused("not released: the term record changed; a daemon may be running"))
        }
    }
}

fn daemons_named_in(record: &TermRecord) -> String {
    let witnesses = record.unsettled.iter().flatten().chain(&record.witnesses);
    let daemons = witnesses.chain([&record.holder]);
    let mut names: Vec<String> =
        daemons.map(|w: &Witness| format!("{} at {}", w.instance, w.address)).collect();
    names.sort();
    names.dedup();
    names.join(", ")
}

fn refused(text: &str) -> Output {
    Output::failure(ExitStatus::Refused, text, json!({ "error": text }))
}
