//! Hands immutable versions from one thread to others, which never wait for it.
//!
//! ```
//! let cell = oriolehoist_publish::Published::default();
//! assert_eq!(cell.load(), None);
//! cell.publish(7);
//! assert_eq!(cell.load().as_deref(), Some(&7));
//! ```

use {arc_swap::ArcSwapOption, std::sync::Arc, tokio::sync::watch};

/// The newest version of something.
#[derive(Debug)]
pub struct Published<T> {
    version: ArcSwapOption<T>,
    changes: watch::Sender<u64>,
}

impl<T> Default for Published<T> {
    fn default() -> Published<T> {
        Published { version: ArcSwapOption::empty(), changes: watch::Sender::new(0) }
    }
}

impl<T> Published<T> {
    /// Returns the present version, or `None` before the first.
    pub fn load(&self) -> Option<Arc<T>> {
        self.version.load_full()
    }

    /// Replaces the version and wakes whoever waits for a change.
    pub fn publish(&self, version: T) {
        self.version.store(Some(Arc::new(version)));
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that learns of every later change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
