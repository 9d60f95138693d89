use oriolehoist_time::Millis;

/// How long before the end of the bound a daemon starts to read the set itself. It covers the random
/// delay, a connection, the response of a slow store, and putting the set in force.
const READ_MARGIN: Millis = Millis(1500);
/// How long before the end of the bound requests for keys in the zone are refused. It covers the time
/// since the set was last confirmed and the sending of the request.
const REFUSAL_MARGIN: Millis = Millis(900);
/// The shortest time between two reads of the set, also with a bound that is too short for the margins.
const MIN_READ_INTERVAL: Millis = Millis(500);

/// The range of the random delay before a daemon reads the set itself, so that not all of them do so at
/// the same time.
pub const READ_SPREAD: Millis = Millis(500);
/// How long after its start a daemon is not ready because it does not know the set yet.
pub const FIRST_READ_TIMEOUT: Millis = Millis(2000);

/// The times that follow from the bound on how long after the store has accepted the evacuation of a
/// zone its servers may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationTiming {
    bound: Millis,
}

impl EvacuationTiming {
    /// Derives the times from the bound.
    pub fn new(bound: Millis) -> EvacuationTiming {
        EvacuationTiming { bound }
    }

    /// Returns the age at which the set is stale, and is read from the store.
    pub fn stale_after(self) -> Millis {
        self.bound.since(READ_MARGIN).max(MIN_READ_INTERVAL)
    }

    /// Returns when requests for keys of a zone are refused, if the store accepted its evacuation no
    /// earlier than `accepted_after`.
    pub fn keys_refused_from(self, accepted_after: Millis) -> Millis {
        accepted_after + self.bound.since(REFUSAL_MARGIN)
    }
}
