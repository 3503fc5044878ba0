//! A store that the thread `members` fills and the serving thread uses.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

use tokio::sync::Notify;

/// A store shared by two threads, and the notification that it was filled.
#[derive(Debug, Default)]
pub(crate) struct SharedStore<T> {
    store: Arc<Mutex<T>>,
    filled: Arc<Notify>,
}

impl<T> Clone for SharedStore<T> {
    fn clone(&self) -> Self {
        Self {
            store: Arc::clone(&self.store),
            filled: Arc::clone(&self.filled),
        }
    }
}

impl<T> SharedStore<T> {
    /// Returns the store to read or change.
    pub(crate) fn store(&self) -> MutexGuard<'_, T> {
        // A panic while the lock is held leaves each entry either used or unused, so the store
        // stays usable.
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the waiting requests after the store was filled.
    pub(crate) fn notify_filled(&self) {
        self.filled.notify_waiters();
    }

    /// Returns the notification that the store was filled.
    pub(crate) fn filled(&self) -> &Notify {
        &self.filled
    }
}
