use oriolehoist_time::Millis;

/// The duration of grants while the store is available. A longer one lets servers keep their keys
/// for longer after the assigner is lost; a shorter one frees the keys of a lost server sooner,
/// which must be served again within 2 s.
pub const DEFAULT_GRANT_DURATION: Millis = Millis(1850);
/// How many times the mean service time a grant outlasts its renewal. A server fails work that lasts
/// longer than the grant that it began under; with the usual spread, one request in fifty takes longer
/// than four times the mean.
pub(crate) const WORK_ALLOWANCE: f32 = 4.0;
/// The longest grant while the store is available.
pub(crate) const MAX_DEFAULT_GRANT_DURATION: Millis = Millis(5000);
/// The interval between renewals, short enough that several can be lost before a grant expires.
pub(crate) const RENEWAL_INTERVAL: Millis = Millis(500);
/// The delay before a failed order is sent again.
pub(crate) const RETRY_DELAY: Millis = Millis(150);
/// The maximum wait for the response to a grant, after which its connection is reset.
pub const GRANT_TIMEOUT: Millis = Millis(400);
/// The maximum wait for the response to a release, which servers send only after the running
/// requests have finished.
pub const RELEASE_TIMEOUT: Millis = Millis(1500);
/// A server that has responded to no order for this long may be considered lost.
pub(crate) const LOST_TIMEOUT: Millis = Millis(1600);
/// The number of consecutive failed orders before a server may be considered lost.
pub(crate) const LOST_MIN_FAILURES: u32 = 3;
/// How long a server that was reached again, but then lost again, waits for its next orders. The time
/// doubles each time.
pub(crate) const RECOVERY_DELAY: Millis = Millis(2000);
/// The number of times that this delay doubles.
pub(crate) const MAX_RECOVERY_DOUBLINGS: u32 = 5;
/// How much slower than real time a server's clock may run, per mille, as bounded by the platform.
const CLOCK_DRIFT_PER_MILLE: u64 = 20;
/// An additional margin that covers rounding and deviations not included in the drift bound.
const EXPIRY_MARGIN: Millis = Millis(30);

/// Returns when a grant that arrived no later than `arrival` has certainly expired.
pub fn latest_grant_expiry(arrival: Millis, grant_duration: Millis) -> Millis {
    arrival + Millis(grant_duration.0 * 1000 / (1000 - CLOCK_DRIFT_PER_MILLE)) + EXPIRY_MARGIN
}
