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
#[serde(from = "CompactRoutes", into = "CompactRoutes")]
pub struct KeyRoutes(pub Vec<RoutedRange>);

/// Routes as daemons send them to each other: each server is named once, since bytes between
/// availability zones cost.
#[derive(Serialize, Deserialize)]
struct CompactRoutes {
    lives: Vec<Life>,
    /// First and last key, with the holder.
    ranges: Vec<(u16, u16, CompactHolder)>,
}

#[derive(Serialize, Deserialize)]
enum CompactHolder {
    /// The position among the lives.
    #[serde(rename = "L")]
    Server(u16),
    #[serde(rename = "M")]
    Moving,
    /// Milliseconds.
    #[serde(rename = "X")]
    Lost(u64),
}

impl From<KeyRoutes> for CompactRoutes {
    fn from(routes: KeyRoutes) -> CompactRoutes {
        let mut lives: Vec<Life> = Vec::new();
        let mut position = |life: Life| {
            let known = lives.iter().position(|known| *known == life);
            let position = known.unwrap_or_else(|| {
                lives.push(life);
                lives.len() - 1
            });
            CompactHolder::Server(position as u16)
        };
        let ranges = routes.0.into_iter().map(|routed| {
            let holder = match routed.holder {
                Holder::Server(life) => position(life),
                Holder::Moving => CompactHolder::Moving,
                Holder::Lost(wait) => CompactHolder::Lost(wait.0),
            };
            (routed.range.first, routed.range.last, holder)
        });
        let ranges = ranges.collect();
        CompactRoutes { lives, ranges }
    }
}

impl From<CompactRoutes> for KeyRoutes {
    fn from(compact: CompactRoutes) -> KeyRoutes {
        let CompactRoutes { lives, ranges } = compact;
        let holder = |compact| match compact {
            // A position without a life comes from a malformed message; nobody holds the range.
            CompactHolder::Server(position) => {
                lives.get(usize::from(position)).cloned().map_or(Holder::Moving, Holder::Server)
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
