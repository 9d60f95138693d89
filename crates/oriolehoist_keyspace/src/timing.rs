use oriolehoist_time::Millis;

/// How long keys are granted while the store answers. Longer outlasts a lost assigner for longer;
/// shorter frees the keys of a lost server sooner: they are to be served again after 2 s.
pub const HOLD: Millis = Millis(1850);
/// Time between renewals, so that several may be lost before a grant lapses.
pub(crate) const RENEWAL_INTERVAL: Millis = Millis(500);
/// The pause before a renewal that failed is sent again.
pub(crate) const RETRY_PAUSE: Millis = Millis(150);
/// The longest wait for the answer to a grant; then its connection is reset.
pub const ORDER_TIMEOUT: Millis = Millis(400);
/// The longest wait for the answer to a release, which comes after the work that is running.
pub const RELEASE_TIMEOUT: Millis = Millis(1500);
/// A server without an answer to any order for this long is taken as lost.
pub(crate) const LOST_AFTER: Millis = Millis(1600);
/// Failed orders in a row before a server is taken as lost.
pub(crate) const LOST_FAILURES: u32 = 3;
/// How much slower a server's clock may run, in thousandths; the platform's bound.
const DRIFT_PER_MILLE: u64 = 20;
/// Covers rounding, and what the drift's bound leaves out.
const MARGIN: Millis = Millis(30);

/// Returns when a grant has certainly lapsed that arrived at `arrival` at the latest.
pub fn hold_end(arrival: Millis, hold: Millis) -> Millis {
    arrival + Millis(hold.0 * 1000 / (1000 - DRIFT_PER_MILLE)) + MARGIN
}
