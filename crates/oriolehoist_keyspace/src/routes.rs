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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutedRange {
    /// The keys.
    pub range: KeyRange,
    /// The server that serves the keys, if any.
    pub holder: Holder,
}

/// The routes of one service: its ranges in key order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "CompactRoutes", into = "CompactRoutes")]
pub struct KeyRoutes(pub Vec<RoutedRange>);

/// The format of routes in messages between daemons. Each server is named only once, because
/// traffic between availability zones is billed.
#[derive(Serialize, Deserialize)]
struct CompactRoutes {
    #[serde(rename = "lives")]
    incarnations: Vec<ServerIncarnation>,
    /// The first and last key of each range, with its holder.
    ranges: Vec<(u16, u16, CompactHolder)>,
}

#[derive(Serialize, Deserialize)]
enum CompactHolder {
    /// An index into the incarnations.
    #[serde(rename = "L")]
    Server(u16),
    #[serde(rename = "M")]
    Moving,
    /// The remaining wait in milliseconds.
    #[serde(rename = "X")]
    Lost(u64),
}

impl From<KeyRoutes> for CompactRoutes {
    fn from(routes: KeyRoutes) -> CompactRoutes {
        let mut incarnations: Vec<ServerIncarnation> = Vec::new();
        let mut compact_server = |incarnation: ServerIncarnation| {
            let known = incarnations.iter().position(|known| *known == incarnation);
            let index = known.unwrap_or_else(|| {
                incarnations.push(incarnation);
                incarnations.len() - 1
            });
            CompactHolder::Server(index as u16)
        };
        let ranges = routes.0.into_iter().map(|routed| {
            let holder = match routed.holder {
                Holder::Server(incarnation) => compact_server(incarnation),
                Holder::Moving => CompactHolder::Moving,
                Holder::Lost(wait) => CompactHolder::Lost(wait.0),
            };
            (routed.range.first, routed.range.last, holder)
        });
        let ranges = ranges.collect();
        CompactRoutes { incarnations, ranges }
    }
}

impl From<CompactRoutes> for KeyRoutes {
    fn from(compact: CompactRoutes) -> KeyRoutes {
        let CompactRoutes { incarnations, ranges } = compact;
        let holder = |compact| match compact {
            // An index out of bounds comes from a malformed message. The range is treated as one
            // that no server serves.
            CompactHolder::Server(index) => {
                incarnations.get(usize::from(index)).cloned().map_or(Holder::Moving, Holder::Server)
            }
            CompactHolder::Moving => Holder::Moving,
            CompactHolder::Lost(wait) => Holder::Lost(Millis(wait)),
        };
        let routed = |(first, last, compact)| RoutedRange {
            range: KeyRange { first, last },
            holder: holder(compact),
        };
        KeyRoutes(ranges.into_iter().map(routed).collect())
    }
}

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
