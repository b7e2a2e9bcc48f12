//! A one-shot flag that can be awaited.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use event_listener::Event;

/// A flag that is set once; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Flag {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    set: AtomicBool,
    event: Event,
}

impl Flag {
    /// Sets the flag and wakes all waiting tasks.
    pub fn set(&self) {
        self.inner.set.store(true, Ordering::SeqCst);
        self.inner.event.notify(usize::MAX);
    }

    /// Returns whether the flag is set.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.inner.set.load(Ordering::SeqCst)
    }

    /// Waits until the flag is set.
    pub async fn wait(&self) {
        while !self.is_set() {
            let listener = self.inner.event.listen();
            if self.is_set() {
                return;
            }
            listener.await;
        }
    }
}
