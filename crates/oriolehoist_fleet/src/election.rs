use {oriolehoist_port::InstanceSize, oriolehoist_time::Millis};

/// The additional delay before an election attempt per rank, so that the daemons don't all try at
/// once.
const STAGGER: Millis = Millis(60);
/// The number of ranks that daemons of one size are divided into by their names.
const RANKS: u32 = 8;
/// While the others are not known, daemons with less than this leave the role to them first.
const SMALL_MILLICORES: u32 = 150;

/// How much longer daemons with less than that wait when the whole deployment starts for the first
/// time. Callers come some seconds later.
const FIRST_START_DELAY: Millis = Millis(1500);

/// Returns whether a machine is known to be so small that there are probably larger ones.
pub(crate) fn is_small(size: InstanceSize) -> bool {
    (1..SMALL_MILLICORES).contains(&size.millicores)
}

/// How much longer a daemon waits that reaches no server. Others that do have tried by then.
const UNREACHING_DELAY: Millis = Millis(1500);

/// What decides how soon a daemon tries to become the assigner.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// The size of its machine.
    pub size: InstanceSize,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// The part of the servers that it does not reach, in percent.
    pub lost_percent: u32,
}

/// Returns how long a daemon waits before it tries to become the assigner, after it has noticed that
/// there is none. `others` are the sizes of the known daemons.
///
/// The assigner renews the grants of all servers, which takes a large part of a small machine. So
/// daemons that are smaller than the largest one known try only after all ranks of that. Those that
/// don't reach some servers try later, and those that reach none last.
pub fn election_delay(
    instance: &str,
    standing: Standing,
    others: impl Iterator<Item = InstanceSize>,
) -> Millis {
    let Standing { size, first_start, lost_percent } = standing;
    let rank = instance.bytes().map(u32::from).sum::<u32>() % RANKS;
    let largest = others.max();
    let deference = match largest {
        None if is_small(size) && first_start => FIRST_START_DELAY,
        None if is_small(size) => STAGGER * u64::from(RANKS),
        _ => claim_delay(size, largest),
    };
    let unreaching = Millis(UNREACHING_DELAY.0 * u64::from(lost_percent.min(100)) / 100);
    STAGGER * u64::from(rank) + deference + unreaching
}

/// Returns how long a daemon that has waited for the end of the previous assigner's lease waits before it
/// claims the role itself. `largest` is the size of the largest known daemon.
///
/// All daemons that wait for the end notice it at the same time. On a tenth of a core the role was lost again
/// after four seconds, because the lease could not be renewed in time.
pub fn claim_delay(size: InstanceSize, largest: Option<InstanceSize>) -> Millis {
    match largest {
        Some(largest) if largest.millicores > size.millicores => STAGGER * u64::from(RANKS),
        _ => Millis::ZERO,
    }
}
