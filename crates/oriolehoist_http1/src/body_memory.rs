use {
    bytes::Bytes,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// The part of a body's buffer that is not counted, in bytes. Responses of the usual size are not
/// affected by others that are large.
const UNCOUNTED_BYTES: u64 = 16 << 10;
/// The maximum of what the buffers of the bodies of all responses together take beyond that, in bytes. A
/// process may use 120 MB.
const MAX_RESPONSE_BYTES: u64 = 32 << 20;

static RESPONSE_BODIES: BodyPool = BodyPool::new(MAX_RESPONSE_BYTES);

/// The memory that some large bodies take together.
#[derive(Debug)]
pub struct BodyPool {
    counted: AtomicU64,
    max: AtomicU64,
}

/// The share of one body in the memory for large bodies, which is returned when this is dropped.
#[derive(Debug)]
pub struct BodyMemory {
    pool: &'static BodyPool,
    counted: u64,
}

/// What a process needs beside the bodies of requests, in bytes.
const OTHER_BYTES: u64 = 56 << 20;
/// The memory of the smallest processes, in bytes.
const MIN_PROCESS_BYTES: u64 = 120_000_000;

/// Returns how much memory the bodies of requests may take together in a process that may use
/// `process_bytes`, or an unknown amount.
pub fn request_body_bytes(process_bytes: Option<u64>) -> u64 {
    let process_bytes = process_bytes.unwrap_or(MIN_PROCESS_BYTES).max(MIN_PROCESS_BYTES);
    (process_bytes - OTHER_BYTES) * 2 / 3
}

impl BodyPool {
    /// Creates a pool for bodies that take at most `max` bytes together.
    pub const fn new(max: u64) -> BodyPool {
        BodyPool { counted: AtomicU64::new(0), max: AtomicU64::new(max) }
    }

    /// Sets how many bytes the bodies may take together.
    pub fn set_max(&self, max: u64) {
        self.max.store(max, Ordering::Relaxed);
    }

    /// Returns how many bytes a body gets at most, if there is no other.
    pub fn largest_body(&self) -> usize {
        let bytes = self.max.load(Ordering::Relaxed) / 2 + UNCOUNTED_BYTES;
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }

    /// Takes `additional` bytes for a body that needs `needed` bytes then.
    fn take(&self, additional: u64, needed: u64) -> bool {
        let max = self.max.load(Ordering::Relaxed);
        let taken = self.counted.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |counted| {
            Some(counted + additional).filter(|total| total.saturating_add(needed) <= max)
        });
        taken.is_ok()
    }
}

/// The share of the body of a response.
impl Default for BodyMemory {
    fn default() -> BodyMemory {
        BodyMemory::new(&RESPONSE_BODIES)
    }
}

/// A body with its share of the memory, which it keeps until it has been passed on.
struct CountedBody {
    body: Bytes,
    _memory: BodyMemory,
}

impl BodyMemory {
    /// Creates the share of a body in `pool`.
    pub const fn new(pool: &'static BodyPool) -> BodyMemory {
        BodyMemory { pool, counted: 0 }
    }

    /// Takes the memory for a body whose buffer has grown to `capacity` bytes. Returns whether it may
    /// grow: a body gets at most as much as is left to all others, so that those without end don't use
    /// up the memory.
    #[must_use]
    pub fn grow_to(&mut self, capacity: usize) -> bool {
        let needed = (capacity as u64).saturating_sub(UNCOUNTED_BYTES);
        let additional = needed.saturating_sub(self.counted);
        if additional == 0 {
            return true;
        }
        let taken = self.pool.take(additional, needed);
        self.counted += if taken { additional } else { 0 };
        taken
    }

    /// Returns a complete body that returns the memory when it is dropped.
    #[must_use]
    pub fn attach_to(self, body: Bytes) -> Bytes {
        match self.counted {
            0 => body,
            _ => Bytes::from_owner(CountedBody { body, _memory: self }),
        }
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.pool.counted.fetch_sub(self.counted, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
