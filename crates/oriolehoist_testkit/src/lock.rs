use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning. Only for data that is consistent even if a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
