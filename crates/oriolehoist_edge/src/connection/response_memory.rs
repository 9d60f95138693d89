use {
    bytes::Bytes,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// The part of a body that is not counted, in bytes. Responses of the usual size are not affected by
/// others that are large.
const UNCOUNTED_BYTES: u64 = 64 << 10;
/// The maximum of what all bodies together hold beyond that, in bytes. Their buffers are up to twice
/// as large, and a process may use 260 MB.
const MAX_COUNTED_BYTES: u64 = 32 << 20;

/// What the large bodies of this process hold together.
static COUNTED_BYTES: AtomicU64 = AtomicU64::new(0);

/// The share of one body in the memory for large bodies, which is returned when this is dropped.
#[derive(Debug, Default)]
pub(crate) struct BodyMemory {
    counted: u64,
}

/// A body with its share of the memory, which it keeps until it has been passed on.
struct CountedBody {
    body: Bytes,
    _memory: BodyMemory,
}

impl BodyMemory {
    /// Takes the memory for a body that has grown to `length` bytes. Returns whether there is enough.
    pub(crate) fn grow_to(&mut self, length: usize) -> bool {
        let needed = (length as u64).saturating_sub(UNCOUNTED_BYTES);
        let additional = needed.saturating_sub(self.counted);
        if additional == 0 {
            return true;
        }
        let taken = COUNTED_BYTES.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |counted| {
            Some(counted + additional).filter(|total| *total <= MAX_COUNTED_BYTES)
        });
        self.counted += if taken.is_ok() { additional } else { 0 };
        taken.is_ok()
    }

    /// Returns a complete body that returns the memory when it is dropped.
    pub(crate) fn attach_to(self, body: Bytes) -> Bytes {
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
