//! A condition that becomes true once and can be awaited.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use event_listener::Event;

/// Becomes true once; clones share the state.
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
    /// Makes the condition true and wakes all who wait.
    pub fn set(&self) {
        self.inner.set.store(true, Ordering::SeqCst);
        self.inner.event.notify(usize::MAX);
    }

    /// Tells whether the condition is true.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.inner.set.load(Ordering::SeqCst)
    }

    /// Waits until the condition is true.
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
