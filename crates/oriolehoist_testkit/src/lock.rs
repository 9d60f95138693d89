use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex whose holders leave the data whole even if they panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
