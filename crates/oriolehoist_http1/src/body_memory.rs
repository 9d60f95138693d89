use {
    bytes::Bytes,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// The part of a body's buffer that is not counted, in bytes. Responses of the usual size are not
/// affected by others that are large.
const UNCOUNTED_BYTES: u64 = 16 << 10;
/// The maximum of what the buffers of all bodies together take beyond that, in bytes. A process may use
/// 120 MB.
const MAX_COUNTED_BYTES: u64 = 32 << 20;

/// What the large bodies of this process hold together.
static COUNTED_BYTES: AtomicU64 = AtomicU64::new(0);

/// The share of one body in the memory for large bodies, which is returned when this is dropped.
#[derive(Debug, Default)]
pub struct BodyMemory {
    counted: u64,
}

/// A body with its share of the memory, which it keeps until it has been passed on.
struct CountedBody {
    body: Bytes,
    _memory: BodyMemory,
}

impl BodyMemory {
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
        let taken = COUNTED_BYTES.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |counted| {
            Some(counted + additional).filter(|total| *total + needed <= MAX_COUNTED_BYTES)
        });
        self.counted += if taken.is_ok() { additional } else { 0 };
        taken.is_ok()
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
        COUNTED_BYTES.fetch_sub(self.counted, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
