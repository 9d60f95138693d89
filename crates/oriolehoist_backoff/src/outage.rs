use oriolehoist_time::Millis;

/// How long calls must have failed for the store to count as having been away. A single lost call
/// that is repeated at once is no outage.
pub const MIN_OUTAGE: Millis = Millis(400);

/// A time in which the store answered no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// When the first call failed.
    pub since: Millis,
    /// When a call was answered again.
    pub until: Millis,
}

impl Outage {
    /// Returns whether it lasted for longer than [`MIN_OUTAGE`].
    pub(crate) fn is_long(&self) -> bool {
        self.until.since(self.since) > MIN_OUTAGE
    }
}
