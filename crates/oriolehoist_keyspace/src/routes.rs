use {
    crate::Life,
    oriolehoist_port::KeyRange,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// Who serves a range at the moment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Holder {
    /// This server.
    Server(Life),
    /// Nobody for a moment: the range is being moved.
    Moving,
    /// Nobody for this long at most: the owner was lost and may still hold its grant.
    Lost(Millis),
}

/// A range with who serves it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedRange {
    /// The keys.
    pub range: KeyRange,
    /// Who serves them.
    pub holder: Holder,
}

/// The ranges of one service, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyRoutes(pub Vec<RoutedRange>);

impl KeyRoutes {
    /// Returns who serves `key`; `None` before the first assignment.
    pub fn holder(&self, key: u16) -> Option<&Holder> {
        let index = self.0.partition_point(|routed| routed.range.last < key);
        self.0.get(index).filter(|routed| routed.range.contains(key)).map(|routed| &routed.holder)
    }

    /// Returns whether there is no assignment yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
