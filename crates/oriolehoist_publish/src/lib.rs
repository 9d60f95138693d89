//! Publication of immutable values to other threads, which read the latest value without blocking.
//!
//! ```
//! let cell = oriolehoist_publish::Published::default();
//! assert_eq!(cell.load(), None);
//! cell.publish(7);
//! assert_eq!(cell.load().as_deref(), Some(&7));
//! ```

use {arc_swap::ArcSwapOption, std::sync::Arc, tokio::sync::watch};

/// Cell with the latest published value.
#[derive(Debug)]
pub struct Published<T> {
    value: ArcSwapOption<T>,
    /// The number of published values.
    count: watch::Sender<u64>,
}

impl<T> Default for Published<T> {
    fn default() -> Published<T> {
        Published { value: ArcSwapOption::empty(), count: watch::Sender::new(0) }
    }
}

impl<T> Published<T> {
    /// Returns the latest value, or `None` if none has been published.
    pub fn load(&self) -> Option<Arc<T>> {
        self.value.load_full()
    }

    /// Replaces the value and notifies the subscribers.
    pub fn publish(&self, value: T) {
        self.value.store(Some(Arc::new(value)));
        self.count.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified when another value is published. Values published in
    /// quick succession may cause a single notification.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.count.subscribe()
    }
}
