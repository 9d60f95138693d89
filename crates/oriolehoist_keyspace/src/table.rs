use {
    crate::{Holder, KeyRoutes, RoutedRange},
    derive_more::{Display, Error},
    oriolehoist_port::{KeyRange, RegisteredServer, Revision, StoreEra},
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// One run of a backend server's process. A restarted server keeps its id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// The server's id.
    pub id: SmolStr,
    /// When this incarnation started, in Unix milliseconds.
    #[serde(rename = "born")]
    pub started_at: u64,
}

impl ServerIncarnation {
    /// Returns the incarnation that a registration names.
    pub fn of(server: &RegisteredServer) -> ServerIncarnation {
        ServerIncarnation { id: server.id.clone(), started_at: server.started_at }
    }
}

/// A range with its owner, as kept in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedRange {
    /// The keys.
    pub range: KeyRange,
    /// The owner.
    pub owner: ServerIncarnation,
    /// The fencing token of this ownership.
    pub fence: u64,
    /// The previous owners, with their fencing tokens, whose ownership was not known to have ended
    /// when this was stored.
    #[serde(rename = "formers")]
    pub previous_owners: Vec<(ServerIncarnation, u64)>,
}

/// Why a stored value is no usable table.
#[derive(Debug, Display, Error)]
pub enum TableError {
    /// It is no table.
    #[display("{_0}")]
    Malformed(serde_json::Error),
    /// The limit of fencing tokens is too high to continue above it.
    #[display("the limit of fencing tokens is {_0}")]
    FenceLimit(#[error(not(source))] u64),
    /// A range has no keys, or keys of another range.
    #[display("range {range} of service {service} is empty or overlaps another one")]
    Range {
        /// The service.
        service: SmolStr,
        /// The range.
        range: KeyRange,
    },
}

/// The assignments that an assigner stores before it carries them out. The next assigner continues
/// from them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentTable {
    /// Identifies the assigner that wrote the table.
    pub writer: u64,
    /// Increases with every change by the same writer.
    pub version: u64,
    /// The store's era in which the table was written.
    #[serde(default)]
    pub era: StoreEra,
    /// The highest fencing token that may have been issued.
    #[serde(rename = "fences")]
    pub fence_limit: u64,
    /// The ranges of each sharded service.
    pub services: BTreeMap<SmolStr, Vec<AssignedRange>>,
}

impl AssignmentTable {
    /// Decodes a stored table.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is no table, if its limit of fencing tokens is too high, or if a range of a service is empty or
    /// overlaps another one. No assigner writes such a table, and a key in two ranges would have two owners.
    pub fn decode(bytes: &[u8]) -> Result<AssignmentTable, TableError> {
        let table: AssignmentTable =
            serde_json::from_slice(bytes).map_err(TableError::Malformed)?;
        if table.fence_limit > MAX_FENCE {
            return Err(TableError::FenceLimit(table.fence_limit));
        }
        for (service, assigned) in &table.services {
            let mut ranges: Vec<KeyRange> =
                assigned.iter().map(|assigned| assigned.range).collect();
            ranges.sort_unstable();
            let inverted = ranges.iter().find(|range| range.first > range.last);
            let overlapping = ranges.windows(2).find(|pair| pair[0].last >= pair[1].first);
            if let Some(range) = inverted.or(overlapping.map(|pair| &pair[1])) {
                return Err(TableError::Range { service: service.clone(), range: *range });
            }
        }
        Ok(table)
    }

    /// Returns routes to the assigned owners, which most likely hold their ranges.
    pub fn routes(&self) -> BTreeMap<SmolStr, KeyRoutes> {
        let routed = |assigned: &AssignedRange| RoutedRange {
            range: assigned.range,
            holder: Holder::Server(assigned.owner.clone()),
        };
        let routes =
            |assigned: &Vec<AssignedRange>| KeyRoutes(assigned.iter().map(routed).collect());
        self.services.iter().map(|(name, assigned)| (name.clone(), routes(assigned))).collect()
    }
}

/// The number of fencing tokens that are reserved at a time. A block outlasts several new connections
/// to each server while the store is unavailable.
const FENCE_BLOCK: u64 = 1 << 12;
/// A new block is reserved when fewer tokens than this are left.
const FENCE_LOW_WATER: u64 = FENCE_BLOCK / 4;

/// The highest fencing token. Numbers in JSON are exact up to there.
const MAX_FENCE: u64 = (1 << 53) - 1;

/// Issues fencing tokens, each higher than all previous ones.
///
/// Tokens are reserved in blocks by storing a limit, and the next assigner continues above that
/// limit. Reserved tokens can therefore be used without storing each of them first.
///
/// The upper bits of a token are the store's era, as in a [`Revision`], so that a limit that the
/// store has lost does not matter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FenceCounter {
    last_issued: u64,
    /// The highest token that is reserved.
    limit: u64,
}

impl FenceCounter {
    /// Creates a counter that continues above `limit` and above all tokens of earlier eras of the
    /// store, without any reserved tokens.
    pub fn after(limit: u64, era: StoreEra) -> FenceCounter {
        let last_era = MAX_FENCE >> Revision::NUMBER_BITS;
        let limit = limit.max(Revision::new(StoreEra(era.0.min(last_era)), 0).0);
        FenceCounter { last_issued: limit, limit }
    }

    /// Issues the next fencing token, which may be used once a table that is written later is
    /// stored.
    pub fn issue(&mut self) -> u64 {
        self.last_issued += 1;
        self.last_issued
    }

    /// Issues the next fencing token, which may be used immediately, or returns `None` if no tokens
    /// are reserved.
    pub fn issue_reserved(&mut self) -> Option<u64> {
        (self.last_issued < self.limit).then(|| self.issue())
    }

    /// Returns the limit to store in order to reserve a block of tokens.
    pub fn next_limit(&self) -> u64 {
        self.limit.max(self.last_issued + FENCE_BLOCK)
    }

    /// Records that a limit returned by [`next_limit`](Self::next_limit) is stored.
    pub fn on_stored(&mut self, limit: u64) {
        self.limit = self.limit.max(limit);
    }

    /// Returns whether the next block should be reserved.
    pub fn is_running_low(&self) -> bool {
        self.limit.saturating_sub(self.last_issued) < FENCE_LOW_WATER
    }
}
