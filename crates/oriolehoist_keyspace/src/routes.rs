use {
    crate::ServerIncarnation,
    oriolehoist_port::KeyRange,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// Which server currently serves a range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Holder {
    /// This server serves the range.
    Server(ServerIncarnation),
    /// No server serves the range at the moment, because it is being moved.
    Moving,
    /// No server serves the range for at most this long, because the previous owner was lost and
    /// its grant may still be in force, or because a grant to it may still arrive late.
    Lost(Millis),
}

/// A range with the server that currently serves it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutedRange {
    /// The keys.
    pub range: KeyRange,
    /// The server that serves the keys, if any.
    pub holder: Holder,
}

/// The routes of one service: its ranges in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyRoutes(pub Vec<RoutedRange>);

impl KeyRoutes {
    /// Returns the holder of `key`, or `None` before the first assignment.
    pub fn holder(&self, key: u16) -> Option<&Holder> {
        let index = self.0.partition_point(|routed| routed.range.last < key);
        self.0.get(index).filter(|routed| routed.range.contains(key)).map(|routed| &routed.holder)
    }

    /// Returns whether no ranges have been assigned yet.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
