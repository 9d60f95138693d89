use {crate::caller::RequestRecord, oriolehoist_time::Millis, std::collections::HashMap};

/// For how long keys were not served.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// The longest outage of a single key.
    pub longest_outage: Millis,
    /// The key with the longest outage.
    pub longest_outage_key: String,
    /// The sum of all outages of all keys.
    pub total_outage: Millis,
    /// Number of keys that had an outage.
    pub affected_keys: usize,
}

/// A request that is served within this latency is not part of an outage.
const PROMPT_LATENCY: Millis = Millis(250);

/// Finds the outages of all keys between `from` and `until`.
///
/// An outage of a key starts when a request was scheduled that is then not served, or served late.
/// It ends when a request for the key is served next, or at `until`.
pub fn availability(records: &[RequestRecord], from: Millis, until: Millis) -> Availability {
    let mut by_key: HashMap<&str, Vec<&RequestRecord>> = HashMap::new();
    for record in records
        .iter()
        .filter(|r| r.scheduled_at >= from && r.scheduled_at <= until && r.attempt == 1)
    {
        by_key.entry(record.key.as_str()).or_default().push(record);
    }
    let mut result = Availability::default();
    for (key, mut records) in by_key {
        records.sort_by_key(|r| r.scheduled_at);
        let (longest_outage, total) = outages(&records, until);
        result.total_outage += total;
        result.affected_keys += usize::from(total > Millis::ZERO);
        if longest_outage > result.longest_outage {
            result.longest_outage = longest_outage;
            result.longest_outage_key = key.to_owned();
        }
    }
    result
}

fn outages(records: &[&RequestRecord], until: Millis) -> (Millis, Millis) {
    let mut longest_outage = Millis::ZERO;
    let mut total = Millis::ZERO;
    let mut outage_end = Millis::ZERO;
    for record in records {
        if record.scheduled_at < outage_end
            || (record.is_served() && record.latency() <= PROMPT_LATENCY)
        {
            continue;
        }
        let served = |r: &&&RequestRecord| r.is_served() && r.completed_at >= record.scheduled_at;
        let end = records.iter().filter(served).map(|r| r.completed_at).min().unwrap_or(until);
        let outage = end.since(record.scheduled_at);
        longest_outage = longest_outage.max(outage);
        total += outage;
        outage_end = end;
    }
    (longest_outage, total)
}
