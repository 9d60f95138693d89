use {
    crate::{
        caller::{Outcome, RequestRecord},
        standin::{OwnershipInterval, Run, RunOutcome},
    },
    oriolehoist_protocol::ServerName,
    oriolehoist_time::Millis,
    std::collections::{HashMap, HashSet},
};

/// A description of how an invariant was violated.
pub type Violation = String;

/// Finds shards that two servers owned at the same time, runs that took effect under an older epoch
/// than an earlier run, and runs of two servers under the same epoch.
pub fn overlapping_owners(intervals: &[OwnershipInterval], runs: &[Run]) -> Vec<Violation> {
    let mut by_shard: HashMap<_, Vec<&OwnershipInterval>> = HashMap::new();
    for interval in intervals.iter().filter(|i| i.until > i.from) {
        by_shard.entry((&interval.service, interval.shard)).or_default().push(interval);
    }
    let mut found = Vec::new();
    for ((service, shard), list) in &mut by_shard {
        list.sort_by_key(|i| i.from);
        let mut latest = list[0];
        for &interval in &list[1..] {
            if interval.server != latest.server && interval.from < latest.until {
                found.push(format!(
                    "{service} shard {shard}: owned by {} until {} and by {} from {}",
                    latest.server, latest.until, interval.server, interval.from
                ));
            }
            if interval.until > latest.until {
                latest = interval;
            }
        }
    }
    found.extend(epochs_out_of_order(runs));
    found
}

fn epochs_out_of_order(runs: &[Run]) -> Vec<Violation> {
    let mut effects: Vec<&Run> =
        runs.iter().filter(|r| r.outcome == RunOutcome::Committed && r.epoch.is_some()).collect();
    effects.sort_by_key(|r| r.ended_at);
    let mut latest: HashMap<_, &Run> = HashMap::new();
    let mut found = Vec::new();
    for run in effects {
        match latest.insert((&run.service, run.shard), run) {
            Some(before)
                if before.epoch > run.epoch
                // The order of effects in the same millisecond is unknown.
                && before.ended_at < run.ended_at =>
            {
                found.push(format!(
                    "{}: a run at {} took effect under an older epoch than an earlier run at {}",
                    run.key, run.server, before.server
                ));
            }
            Some(before) if before.epoch == run.epoch && before.server != run.server => {
                found.push(format!(
                    "{}: runs at {} and {} took effect under the same epoch",
                    run.key, run.server, before.server
                ));
            }
            _ => {}
        }
    }
    found
}

/// Finds bookings that took effect more than once.
pub fn duplicate_bookings(records: &[RequestRecord], runs: &[Run]) -> Vec<Violation> {
    let bookings: HashSet<&str> =
        records.iter().filter(|r| r.booking).map(|r| r.id.as_str()).collect();
    let mut effects: HashMap<&str, u32> = HashMap::new();
    for run in runs.iter().filter(|r| r.outcome == RunOutcome::Committed) {
        *effects.entry(run.request_id.as_str()).or_default() += 1;
    }
    effects
        .into_iter()
        .filter(|(id, count)| *count > 1 && bookings.contains(id))
        .map(|(id, count)| format!("booking {id} took effect {count} times"))
        .collect()
}

/// Finds requests that took effect although every attempt was refused as not run.
pub fn executed_despite_not_run(records: &[RequestRecord], runs: &[Run]) -> Vec<Violation> {
    let mut only_not_run: HashMap<&str, bool> = HashMap::new();
    for record in records {
        let not_run = matches!(record.outcome, Outcome::Refused { not_run: true, .. });
        *only_not_run.entry(record.id.as_str()).or_insert(true) &= not_run;
    }
    runs.iter()
        .filter(|r| r.outcome == RunOutcome::Committed)
        .filter(|r| only_not_run.get(r.request_id.as_str()) == Some(&true))
        .map(|r| {
            format!("{} was refused as not run, but took effect at {}", r.request_id, r.server)
        })
        .collect()
}

/// Finds requests that were served with a response that does not name the request and its key.
pub fn mismatched_responses(records: &[RequestRecord]) -> Vec<Violation> {
    records
        .iter()
        .filter(|r| r.outcome == Outcome::Served { matches_request: false })
        .map(|r| format!("{} got a response that does not match it", r.id))
        .collect()
}

/// Finds runs that a server started later than `bound` after `left_at`, when it was told to leave.
pub fn work_after_departure(
    runs: &[Run],
    server: &ServerName,
    left_at: Millis,
    bound: Millis,
) -> Vec<Violation> {
    runs.iter()
        .filter(|r| r.server == *server && r.started_at > left_at + bound)
        .map(|r| {
            format!(
                "{} started at {server} {} after the server was told to leave",
                r.request_id,
                r.started_at.since(left_at)
            )
        })
        .collect()
}
