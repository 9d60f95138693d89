use {crate::caller::Record, oriolehoist_time::Millis, std::collections::HashMap};

/// How long keys could not be served.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// The longest time for which one key was not served.
    pub longest: Millis,
    /// The key with that time.
    pub longest_key: String,
    /// All such times added up.
    pub key_time: Millis,
    /// How many keys were not served for some time.
    pub keys: usize,
}

/// An answer within this time is not an interruption.
const PROMPT: Millis = Millis(250);

/// Finds the times between `from` and `until` during which requests for a key went unserved.
///
/// A key is out of service from when a request is due that is then refused or answered late,
/// until the next answer for that key. A key that is out at the end counts up to `until`.
pub fn availability(records: &[Record], from: Millis, until: Millis) -> Availability {
    let mut by_key: HashMap<&str, Vec<&Record>> = HashMap::new();
    for record in records.iter().filter(|r| r.due >= from && r.due <= until && r.attempt == 1) {
        by_key.entry(record.key.as_str()).or_default().push(record);
    }
    let mut result = Availability::default();
    for (key, mut list) in by_key {
        list.sort_by_key(|r| r.due);
        let (longest, total) = gaps(&list, until);
        result.key_time += total;
        result.keys += usize::from(total > Millis::ZERO);
        if longest > result.longest {
            result.longest = longest;
            result.longest_key = key.to_owned();
        }
    }
    result
}

fn gaps(list: &[&Record], until: Millis) -> (Millis, Millis) {
    let mut longest = Millis::ZERO;
    let mut total = Millis::ZERO;
    let mut covered = Millis::ZERO;
    for record in list {
        if record.due < covered || (record.is_served() && record.took() <= PROMPT) {
            continue;
        }
        let served = |r: &&&Record| r.is_served() && r.done >= record.due;
        let end = list.iter().filter(served).map(|r| r.done).min().unwrap_or(until);
        let gap = end.since(record.due);
        longest = longest.max(gap);
        total += gap;
        covered = end;
    }
    (longest, total)
}
