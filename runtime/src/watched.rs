//! A shared value that can be watched for changes.

use std::fmt::Debug;
use std::sync::Arc;

use arc_swap::ArcSwap;
use event_listener::Event;

/// A shared value, read as immutable snapshots.
///
/// The control thread writes it; traffic threads read it without locking.
pub struct WatchedValue<T> {
    value: ArcSwap<T>,
    changed: Event,
}

impl<T> Debug for WatchedValue<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("WatchedValue").finish_non_exhaustive()
    }
}

impl<T> WatchedValue<T> {
    /// Creates it with an initial value.
    #[must_use]
    pub fn new(value: T) -> Self {
        Self {
            value: ArcSwap::from_pointee(value),
            changed: Event::new(),
        }
    }

    /// Returns the newest value.
    #[must_use]
    pub fn get(&self) -> Arc<T> {
        self.value.load_full()
    }

    /// Replaces the value and wakes all tasks that wait for a change.
    pub fn set(&self, value: T) {
        self.value.store(Arc::new(value));
        self.changed.notify(usize::MAX);
    }

    /// Waits until `predicate` holds for the value, and returns the value.
    pub async fn wait(&self, predicate: impl Fn(&T) -> bool) -> Arc<T> {
        loop {
            // Listen before reading the value: a change between the two would
            // otherwise be missed, and the caller might wait forever.
            let listener = self.changed.listen();
            let value = self.get();
            if predicate(&value) {
                return value;
            }
            listener.await;
        }
    }
}
