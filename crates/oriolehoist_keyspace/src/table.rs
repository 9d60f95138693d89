use {
    crate::{Holder, KeyRoutes, RoutedRange},
    oriolehoist_port::KeyRange,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// One life of a backend server: a server may start again under the same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// The server's name.
    pub id: SmolStr,
    /// When the life started, in Unix milliseconds.
    pub born: u64,
}

/// A range with its owner, as the store keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assigned {
    /// The keys.
    pub range: KeyRange,
    /// The owner.
    pub owner: Life,
    /// The fence of this ownership.
    pub fence: u64,
    /// The earlier owners and their fences that were not known to have ended when this was stored.
    pub formers: Vec<(Life, u64)>,
}

/// What the assigner stores before it acts on it. The next assigner continues from it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Distinguishes the writer of this table from every other assigner.
    pub writer: u64,
    /// Rises with each change by one writer.
    pub version: u64,
    /// The highest fence that was ever used.
    pub fences: Fences,
    /// The ranges of each service that is split by key.
    pub services: BTreeMap<SmolStr, Vec<Assigned>>,
}

impl Table {
    /// Returns who most likely holds which keys.
    pub fn routes(&self) -> BTreeMap<SmolStr, KeyRoutes> {
        let routed = |assigned: &Assigned| RoutedRange {
            range: assigned.range,
            holder: Holder::Server(assigned.owner.clone()),
        };
        let routes = |assigned: &Vec<Assigned>| KeyRoutes(assigned.iter().map(routed).collect());
        self.services.iter().map(|(name, assigned)| (name.clone(), routes(assigned))).collect()
    }
}

/// Gives out fences, each higher than all before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fences(u64);

impl Fences {
    /// Returns the next fence.
    pub fn issue(&mut self) -> u64 {
        self.0 += 1;
        self.0
    }
}
