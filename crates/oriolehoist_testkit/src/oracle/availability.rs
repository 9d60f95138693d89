use {crate::caller::RequestRecord, oriolehoist_time::Millis, std::collections::HashMap};

/// How long keys could not be served.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// The longest_outage time for which one key was not served.
    pub longest_outage: Millis,
    /// The key with that time.
    pub longest_outage_key: String,
    /// All such times added up.
    pub total_outage: Millis,
    /// How many keys were not served for some time.
    pub affected_keys: usize,
}

/// An answer within this time is not an interruption.
const PROMPT: Millis = Millis(250);

/// Finds the times between `from` and `until` during which requests for a key went unserved.
///
/// A key is out of service from when a request is due that is then refused or answered late,
/// until the next answer for that key. A key that is out at the end counts up to `until`.
pub fn availability(records: &[RequestRecord], from: Millis, until: Millis) -> Availability {
    let mut by_key: HashMap<&str, Vec<&RequestRecord>> = HashMap::new();
    for record in records
        .iter()
        .filter(|r| r.scheduled_at >= from && r.scheduled_at <= until && r.attempt == 1)
    {
        by_key.entry(record.key.as_str()).or_default().push(record);
    }
    let mut result = Availability::default();
    for (key, mut list) in by_key {
        list.sort_by_key(|r| r.scheduled_at);
        let (longest_outage, total) = gaps(&list, until);
        result.total_outage += total;
        result.affected_keys += usize::from(total > Millis::ZERO);
        if longest_outage > result.longest_outage {
            result.longest_outage = longest_outage;
            result.longest_outage_key = key.to_owned();
        }
    }
    result
}

fn gaps(list: &[&RequestRecord], until: Millis) -> (Millis, Millis) {
    let mut longest_outage = Millis::ZERO;
    let mut total = Millis::ZERO;
    let mut covered = Millis::ZERO;
    for record in list {
        if record.scheduled_at < covered || (record.is_served() && record.latency() <= PROMPT) {
            continue;
        }
        let served = |r: &&&RequestRecord| r.is_served() && r.completed_at >= record.scheduled_at;
        let end = list.iter().filter(served).map(|r| r.completed_at).min().unwrap_or(until);
        let gap = end.since(record.scheduled_at);
        longest_outage = longest_outage.max(gap);
        total += gap;
        covered = end;
    }
    (longest_outage, total)
}
