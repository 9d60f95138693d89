//! Replicates maps to other daemons by their changes.
//!
//! The assigner gives each new content of a map a [`TermVersion`]. A [`ReplicatedMap`] keeps the last
//! versions, so that a daemon gets only what has changed since the version that it has. A new
//! assigner continues from the versions of the previous one, so a takeover sends hardly anything.
//!
//! ```
//! use {
//!     oriolehoist_replica::{ReplicatedMap, TermVersion},
//!     std::collections::BTreeMap,
//! };
//!
//! let mut sender = ReplicatedMap::default();
//! sender.set(TermVersion { term: 1, count: 1 }, BTreeMap::from([("a", 1), ("b", 2)]));
//! let mut receiver = ReplicatedMap::default();
//! receiver.apply(sender.update_since(receiver.version()));
//! sender.set(TermVersion { term: 1, count: 2 }, BTreeMap::from([("a", 1), ("b", 3)]));
//! let update = sender.update_since(receiver.version());
//! assert_eq!(update.len(), 1);
//! assert!(receiver.apply(update));
//! assert_eq!(receiver.get(), sender.get());
//! ```

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// The number of earlier versions that updates can start from.
const MAX_EARLIER_VERSIONS: usize = 16;

/// The version of a part of the state: the assigner's term, and the number of changes in that term.
/// The default version is that of an empty map.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TermVersion {
    /// The term of the assigner that made the change.
    pub term: u64,
    /// The number of the change in that term.
    pub count: u64,
}

/// What has changed in a map since an earlier version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MapUpdate<K, V> {
    /// The version that the update starts from.
    pub base: TermVersion,
    /// The version that it leads to.
    pub version: TermVersion,
    changed: Vec<(K, V)>,
    removed: Vec<K>,
}

impl<K, V> MapUpdate<K, V> {
    /// Returns the number of entries that changed or were removed.
    pub fn len(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Returns whether no entries changed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether the update contains the whole map.
    pub fn is_complete(&self) -> bool {
        self.base == TermVersion::default()
    }
}

/// A map with a version, and the versions before.
#[derive(Clone, Debug)]
pub struct ReplicatedMap<K, V> {
    version: TermVersion,
    map: Arc<BTreeMap<K, V>>,
    /// The versions before, the latest last.
    earlier: VecDeque<(TermVersion, Arc<BTreeMap<K, V>>)>,
}

impl<K, V> Default for ReplicatedMap<K, V> {
    fn default() -> ReplicatedMap<K, V> {
        ReplicatedMap {
            version: TermVersion::default(),
            map: Arc::new(BTreeMap::new()),
            earlier: VecDeque::new(),
        }
    }
}

impl<K: Ord + Clone, V: Clone + PartialEq> ReplicatedMap<K, V> {
    /// Returns the version.
    pub fn version(&self) -> TermVersion {
        self.version
    }

    /// Returns the map.
    pub fn get(&self) -> &BTreeMap<K, V> {
        &self.map
    }

    /// Replaces the map by one of a new version.
    pub fn set(&mut self, version: TermVersion, map: BTreeMap<K, V>) {
        self.replace(version, Arc::new(map));
    }

    /// Gives the same map a new version.
    pub fn set_version(&mut self, version: TermVersion) {
        self.replace(version, Arc::clone(&self.map));
    }

    /// Returns what has changed since `base`, or the whole map if that version is not known.
    pub fn update_since(&self, base: TermVersion) -> MapUpdate<K, V> {
        let empty = Arc::new(BTreeMap::new());
        let (base, map) = match self.known(base) {
            Some(map) => (base, map),
            None => (TermVersion::default(), &empty),
        };
        let changed = self.map.iter().filter(|(key, value)| map.get(key) != Some(value));
        let removed = map.keys().filter(|key| !self.map.contains_key(key));
        MapUpdate {
            base,
            version: self.version,
            changed: changed.map(|(key, value)| (key.clone(), value.clone())).collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Applies an update to a later version. Returns false, and changes nothing, if its version is
    /// not later or it starts from an unknown version.
    pub fn apply(&mut self, update: MapUpdate<K, V>) -> bool {
        if update.version <= self.version {
            return false;
        }
        let mut map = match self.known(update.base) {
            Some(map) => BTreeMap::clone(map),
            None if update.is_complete() => BTreeMap::new(),
            None => return false,
        };
        map.extend(update.changed);
        for key in &update.removed {
            map.remove(key);
        }
        self.set(update.version, map);
        true
    }

    fn known(&self, version: TermVersion) -> Option<&Arc<BTreeMap<K, V>>> {
        match version {
            _ if version == TermVersion::default() => None,
            _ if version == self.version => Some(&self.map),
            _ => self.earlier.iter().find(|earlier| earlier.0 == version).map(|earlier| &earlier.1),
        }
    }

    fn replace(&mut self, version: TermVersion, map: Arc<BTreeMap<K, V>>) {
        let replaced = std::mem::replace(&mut self.map, map);
        let replaced_version = std::mem::replace(&mut self.version, version);
        if self.earlier.len() == MAX_EARLIER_VERSIONS {
            self.earlier.pop_front();
        }
        self.earlier.push_back((replaced_version, replaced));
    }
}
