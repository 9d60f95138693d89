use {
    oriolehoist_port::Revision,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// Identifies a set of evacuated zones, in messages between daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationVersion {
    /// The revision at which the store had the set.
    pub revision: Revision,
    /// A hash of the names.
    pub digest: u64,
}

impl EvacuationVersion {
    /// Returns whether a daemon with this version lacks the set with the version `known`. It does not
    /// if it has read the store later.
    pub fn lacks(self, known: EvacuationVersion) -> bool {
        self.digest != known.digest && self.revision <= known.revision
    }
}

/// What a daemon tells another one about evacuated zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationNews {
    /// The version of the set.
    pub version: EvacuationVersion,
    /// The time since the set was last known to be the store's.
    pub age: Millis,
    /// The names, or `None` if the receiver has confirmed that it has the same ones.
    #[serde(default)]
    pub zones: Option<Vec<SmolStr>>,
}
