use {crate::election::is_small, oriolehoist_port::InstanceSize, oriolehoist_time::Millis};

/// The time over which small daemons that start spread their first read of the stored table.
const FIRST_READ_SPREAD: Millis = Millis(1500);
/// The delay before the second read, which doubles with each further one.
const RETRY_DELAY: Millis = Millis(200);
/// The longest delay before a read.
const MAX_RETRY_DELAY: Millis = Millis(3200);

/// Returns how long a daemon that starts waits before it reads the stored table, after `attempts`
/// reads have failed. `chance` is a random number below one.
///
/// After a loss of all machines, hundreds of daemons start at once. If each of them read a table of
/// some hundred kilobytes at the same time, and again whenever that took too long, none would get it,
/// nor would a daemon that needs it to become the assigner. Small machines are many, and get the
/// routes from the assigner if it is sooner; the large ones read at once.
pub fn table_read_delay(size: InstanceSize, attempts: u32, chance: f64) -> Millis {
    let scaled = |time: Millis, factor: f64| Millis((time.0 as f64 * factor) as u64);
    match attempts {
        0 if is_small(size) => scaled(FIRST_READ_SPREAD, chance),
        0 => Millis::ZERO,
        _ => {
            let delay = RETRY_DELAY * (1 << (attempts - 1).min(10));
            scaled(delay.min(MAX_RETRY_DELAY), 0.5 + chance)
        }
    }
}
