use {
    crate::message::{EvacuationNews, EvacuationVersion},
    oriolehoist_port::Revision,
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::collections::{BTreeMap, BTreeSet},
    xxhash_rust::xxh3::xxh3_64,
};

/// The maximum number of evacuated zones that are used.
pub const MAX_ZONES: usize = 64;
/// The maximum length of the name of an evacuated zone, in bytes.
pub const MAX_ZONE_BYTES: usize = 100;
/// How long a zone stays evacuated that is missing after the store has continued from an older copy. The
/// operators write their keys again meanwhile, as servers do with their registrations.
const RESTORED_RETENTION: Millis = Millis(2300);

/// A set of zones as read from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneSet {
    revision: Revision,
    names: BTreeSet<SmolStr>,
    ignored: usize,
}

impl ZoneSet {
    /// Creates the set that the store had at a revision. Names that are too long and those beyond
    /// [`MAX_ZONES`], in alphabetical order, are ignored.
    pub fn new(revision: Revision, names: impl IntoIterator<Item = SmolStr>) -> ZoneSet {
        let all: BTreeSet<SmolStr> = names.into_iter().collect();
        let count = all.len();
        let usable = all.into_iter().filter(|name| name.len() <= MAX_ZONE_BYTES);
        let names: BTreeSet<SmolStr> = usable.take(MAX_ZONES).collect();
        ZoneSet { revision, ignored: count - names.len(), names }
    }

    /// Returns the names.
    pub fn names(&self) -> &BTreeSet<SmolStr> {
        &self.names
    }

    /// Returns how many names are ignored.
    pub fn ignored(&self) -> usize {
        self.ignored
    }
}

/// The zones whose evacuation has begun or ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneChanges {
    /// The zones that are evacuated now.
    pub began: Vec<SmolStr>,
    /// The zones that are evacuated no more.
    pub ended: Vec<SmolStr>,
}

impl ZoneChanges {
    /// Returns whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        self.began.is_empty() && self.ended.is_empty()
    }
}

/// The evacuated zones that a daemon knows of. The set is never replaced by one of an older revision.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones {
    /// Each zone, with the earliest time at which the store may have accepted its evacuation.
    zones: BTreeMap<SmolStr, Millis>,
    names: BTreeSet<SmolStr>,
    /// A hash of the names.
    digest: u64,
    revision: Revision,
    /// The latest time at which the set is known to have been the store's.
    confirmed_at: Option<Millis>,
    retained: Option<Retained>,
}

/// Zones that stay evacuated although they are missing in a later era of the store.
#[derive(Clone, Debug)]
struct Retained {
    until: Millis,
    names: BTreeSet<SmolStr>,
    /// The names that the store had last.
    read: BTreeSet<SmolStr>,
}

impl EvacuatedZones {
    /// Returns whether the set has ever been known.
    pub fn is_known(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Returns the names of the zones.
    pub fn names(&self) -> &BTreeSet<SmolStr> {
        &self.names
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.names.contains(zone)
    }

    /// Returns the earliest time at which the store may have accepted the evacuation of a zone, if it is
    /// evacuated: when the set was last confirmed without it, or zero if it never was.
    pub fn accepted_after(&self, zone: &str) -> Option<Millis> {
        self.zones.get(zone).copied()
    }

    /// Returns the revision of the set.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the latest time at which the set is known to have been the store's.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmed_at
    }

    /// Returns the version of the set, if it is known.
    pub fn version(&self) -> Option<EvacuationVersion> {
        let version = EvacuationVersion { revision: self.revision, digest: self.digest };
        self.confirmed_at.map(|_| version)
    }

    /// Records that the store had no other set at `at`.
    pub fn confirm(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.map(|confirmed_at| confirmed_at.max(at));
    }

    /// Applies the set that this daemon has read from the store with a request sent at `read_at`. In a
    /// later era of the store, zones that are missing stay evacuated for a short time.
    pub fn on_read(&mut self, now: Millis, read_at: Millis, read: ZoneSet) -> ZoneChanges {
        if read.revision < self.revision {
            return ZoneChanges::default();
        }
        if self.is_known() && read.revision.era() > self.revision.era() {
            let (until, names) = (now + RESTORED_RETENTION, self.names.clone());
            self.retained = Some(Retained { until, names, read: BTreeSet::new() });
        }
        let mut names = read.names;
        if let Some(retained) = &mut self.retained {
            retained.read.clone_from(&names);
            names.extend(retained.names.iter().cloned());
        }
        self.replace(read_at, read.revision, names)
    }

    /// Ends the evacuation of zones that were kept only because the store has continued from an older
    /// copy, once they have been kept for long enough.
    pub fn expire(&mut self, now: Millis) -> ZoneChanges {
        match self.retained.take_if(|retained| now >= retained.until) {
            Some(Retained { read, .. }) => {
                self.replace(self.confirmed_at.unwrap_or_default(), self.revision, read)
            }
            None => ZoneChanges::default(),
        }
    }

    /// Applies what another daemon has told. A set of an older revision is ignored; it confirms the known
    /// one if it is the same.
    pub fn on_news(&mut self, now: Millis, news: EvacuationNews) -> ZoneChanges {
        let EvacuationNews { version, age, zones } = news;
        let confirmed_at = now.since(age);
        match zones {
            _ if self.version().is_some_and(|own| own.digest == version.digest) => {
                self.revision = self.revision.max(version.revision);
                self.confirm(confirmed_at);
                ZoneChanges::default()
            }
            Some(zones) if version.revision >= self.revision => {
                let ZoneSet { names, .. } = ZoneSet::new(version.revision, zones);
                self.retained = None;
                self.replace(confirmed_at, version.revision, names)
            }
            _ => ZoneChanges::default(),
        }
    }

    /// Returns what to tell another daemon, if the set is known. `confirmed` is the version that the
    /// daemon has confirmed.
    pub fn news(
        &self,
        now: Millis,
        confirmed: Option<EvacuationVersion>,
    ) -> Option<EvacuationNews> {
        let (version, confirmed_at) = (self.version()?, self.confirmed_at?);
        let is_same = confirmed.is_some_and(|confirmed| confirmed.digest == version.digest);
        let zones = (!is_same).then(|| self.names.iter().cloned().collect());
        Some(EvacuationNews { version, age: now.since(confirmed_at), zones })
    }

    fn replace(
        &mut self,
        confirmed_at: Millis,
        revision: Revision,
        names: BTreeSet<SmolStr>,
    ) -> ZoneChanges {
        let began: Vec<SmolStr> = names.difference(&self.names).cloned().collect();
        let ended: Vec<SmolStr> = self.names.difference(&names).cloned().collect();
        let accepted_after = self.confirmed_at.unwrap_or_default();
        for zone in &ended {
            self.zones.remove(zone);
        }
        self.zones.extend(began.iter().map(|zone| (zone.clone(), accepted_after)));
        let text: Vec<&str> = names.iter().map(SmolStr::as_str).collect();
        self.digest = xxh3_64(text.join("\n").as_bytes());
        self.names = names;
        self.revision = revision;
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        ZoneChanges { began, ended }
    }
}
