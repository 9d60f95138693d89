use {
    base64::{Engine, engine::general_purpose::STANDARD},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashSet},
        net::IpAddr,
        time::{Duration, Instant, SystemTime},
    },
};

/// The prefixes of the keys that the operator and the servers write again after a restore.
const REWRITTEN_PREFIXES: [&str; 2] = ["op/", "servers/"];

/// The faults that the store injects.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Whether all requests hang without a response.
    pub unreachable: bool,
    /// Whether all responses have bodies without end.
    pub endless: bool,
    /// The addresses of the callers whose requests are refused with 503.
    pub refused_callers: HashSet<IpAddr>,
    /// The addresses of the callers whose reads and watches are refused with 503.
    pub refused_readers: HashSet<IpAddr>,
    /// The addresses of the callers whose requests hang without a response.
    pub ignored_callers: HashSet<IpAddr>,
    /// The share of transactions and lease creations whose responses are lost.
    pub response_loss_rate: f64,
    /// What the store returns in place of the page after this key.
    pub page_after: Option<(String, PageFault)>,
    /// How many bytes of a response arrive in a second, if the links of its callers are slow.
    pub bytes_per_second: Option<u32>,
}

/// What the store returns in place of a page of a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageFault {
    /// The first page again.
    FirstPage,
    /// Status 400.
    Rejection,
}

/// A copy of the store at one time, as a backup has it.
#[derive(Clone)]
pub struct StoreSnapshot {
    pub(super) revision: u64,
    pub(super) items: BTreeMap<String, Item>,
    pub(super) history: Vec<(u64, Value, String)>,
    pub(super) compacted_revision: u64,
    /// The remaining time and the time to live of each lease, by its id.
    pub(super) leases: BTreeMap<u64, (Duration, Duration)>,
}

impl StoreSnapshot {
    /// Leaves out the items under a prefix, as if they had been written after the copy was made.
    pub fn without(mut self, prefix: &str) -> StoreSnapshot {
        self.items.retain(|key, _| !key.starts_with(prefix));
        self.history.retain(|(_, _, key)| !key.starts_with(prefix));
        self
    }
}

#[derive(Default)]
pub(super) struct StoreState {
    /// How many times the store was restored from a copy, plus one.
    pub(super) era: u64,
    /// Whether it is being restored. All requests hang.
    pub(super) restoring: bool,
    pub(super) revision: u64,
    pub(super) items: BTreeMap<String, Item>,
    /// The changes since the last compaction, as revision, event and key.
    pub(super) history: Vec<(u64, Value, String)>,
    /// The revision up to which the history has been compacted.
    pub(super) compacted_revision: u64,
    /// When each lease expires and its time to live, by its id.
    pub(super) leases: BTreeMap<u64, (Instant, Duration)>,
    pub(super) faults: StoreFaults,
    pub(super) request_count: u64,
    /// The maximum number of items in a page of a listing, or 0 for no limit.
    pub(super) page_size: usize,
    /// Writes that happen right after the next page that is not the last one of its listing.
    pub(super) writes_between_pages: Vec<(String, Vec<u8>)>,
}

#[derive(Clone)]
pub(super) struct Item {
    pub(super) value: Vec<u8>,
    pub(super) revision: u64,
    /// The id of the lease that the item was written under, or 0 for none.
    pub(super) lease: u64,
    pub(super) written_at: SystemTime,
}

impl StoreState {
    pub(super) fn is_unreachable(&self) -> bool {
        self.faults.unreachable || self.restoring
    }

    pub(super) fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        self.put_at_current_revision(key, value, lease);
    }

    pub(super) fn put_at_current_revision(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        self.items
            .insert(key.into(), Item { value, revision, lease, written_at: SystemTime::now() });
        let event = self.item(key).unwrap_or_default();
        self.history.push((revision, event, key.into()));
    }

    pub(super) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = json!({ "key": key, "rev": self.revision, "tombstone": true });
            self.history.push((self.revision, event, key.into()));
        }
    }

    pub(super) fn item(&self, key: &str) -> Option<Value> {
        let item = self.items.get(key)?;
        Some(json!({
            "key": key,
            "value": STANDARD.encode(&item.value),
            "rev": item.revision,
            "created_rev": item.revision,
            "lease": item.lease,
        }))
    }

    /// Returns the same as text. A value needs no escaping, which takes long in a debug build.
    pub(super) fn item_text(&self, key: &str) -> Option<String> {
        let item = self.items.get(key)?;
        let (value, revision, lease) = (STANDARD.encode(&item.value), item.revision, item.lease);
        let key = Value::from(key);
        Some(format!(
            "{{\"key\":{key},\"value\":\"{value}\",\"rev\":{revision},\
             \"created_rev\":{revision},\"lease\":{lease}}}"
        ))
    }

    /// Continues from a snapshot. Returns the items of before.
    pub(super) fn restore(&mut self, snapshot: StoreSnapshot) -> BTreeMap<String, Item> {
        let now = Instant::now();
        let StoreSnapshot { revision, items, history, compacted_revision, leases } = snapshot;
        self.era += 1;
        self.restoring = false;
        self.revision = revision;
        self.history = history;
        self.compacted_revision = compacted_revision;
        self.leases =
            leases.into_iter().map(|(id, (remaining, ttl))| (id, (now + remaining, ttl))).collect();
        std::mem::replace(&mut self.items, items)
    }

    /// Repeats the lost writes of the operator and the servers, unless they have written the key
    /// since.
    pub(super) fn write_again(&mut self, lost: &BTreeMap<String, Item>, copied_revision: u64) {
        let is_rewritten = |key: &String| REWRITTEN_PREFIXES.iter().any(|p| key.starts_with(p));
        let removed: Vec<String> = self
            .items
            .iter()
            .filter(|(key, item)| item.revision <= copied_revision && !lost.contains_key(*key))
            .map(|(key, _)| key.clone())
            .filter(is_rewritten)
            .collect();
        for key in removed {
            self.remove(&key);
        }
        for (key, item) in lost.iter().filter(|(key, _)| is_rewritten(key)) {
            let current = self.items.get(key);
            let is_lost = current.is_none_or(|current| {
                current.revision <= copied_revision && current.value != item.value
            });
            if is_lost {
                self.put(key, item.value.clone(), 0);
            }
        }
    }

    pub(super) fn remove_expired(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.0 <= now).map(|(id, _)| *id).collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    /// Removes a lease and the items that were written under it.
    pub(super) fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}
