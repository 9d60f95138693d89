use std::sync::atomic::{AtomicU64, Ordering};

/// Kind of a call, as the platform counts them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A read of one entry.
    Read,
    /// A compare-and-swap.
    Write,
    /// A watch, counted when it starts.
    Watch,
    /// A read of the instance list.
    List,
}

impl CallKind {
    /// All kinds, in the order of the counters.
    pub const ALL: [CallKind; 4] =
        [CallKind::Read, CallKind::Write, CallKind::Watch, CallKind::List];

    /// Returns the name of the kind in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            CallKind::Read => "read",
            CallKind::Write => "write",
            CallKind::Watch => "watch",
            CallKind::List => "list",
        }
    }
}

/// Counters of the calls of each kind that this process has made.
#[derive(Debug, Default)]
pub struct CallCounts {
    counts: [AtomicU64; 4],
}

impl CallCounts {
    /// Counts one call.
    pub fn add(&self, kind: CallKind) {
        self.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of calls of `kind`.
    pub fn get(&self, kind: CallKind) -> u64 {
        self.counts[kind as usize].load(Ordering::Relaxed)
    }
}
