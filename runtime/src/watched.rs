//! One fact of a blackboard: an immutable snapshot that readers share.

use std::fmt::Debug;
use std::sync::Arc;

use arc_swap::ArcSwap;
use event_listener::Event;

/// Holds the newest value of one fact.
///
/// Controllers write it on the control thread; traffic threads read snapshots
/// without waiting for them.
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
    /// Starts with `value`.
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

    /// Replaces the value and wakes those who wait for a change.
    pub fn set(&self, value: T) {
        self.value.store(Arc::new(value));
        self.changed.notify(usize::MAX);
    }

    /// Waits until `wanted` holds for the value, and returns it.
    pub async fn wait(&self, predicate: impl Fn(&T) -> bool) -> Arc<T> {
        loop {
            // The listener comes before the look at the value: a change
            // between the two would otherwise be missed and the caller would
            // wait for one that never comes.
            let listener = self.changed.listen();
            let value = self.get();
            if predicate(&value) {
                return value;
            }
            listener.await;
        }
    }
}
