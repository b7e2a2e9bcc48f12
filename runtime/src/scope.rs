//! Tasks that their parent joins.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use event_listener::Event;
use futures_lite::FutureExt;

use crate::threads::Exec;

/// The time for last frames once a process has nothing more to do.
const CANCEL_GRACE: Duration = Duration::from_millis(300);

/// Owns the tasks spawned through it; clones share them.
#[derive(Clone)]
pub struct Scope {
    exec: Exec,
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    tasks: Mutex<Tasks>,
    emptied: Event,
}

#[derive(Default)]
struct Tasks {
    next: u64,
    running: BTreeMap<u64, Task<()>>,
}

impl Debug for Scope {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Scope")
            .field("running", &self.len())
            .finish()
    }
}

impl Scope {
    /// Builds a scope whose tasks run on `exec`.
    #[must_use]
    pub fn new(exec: Exec) -> Self {
        Self {
            exec,
            inner: Arc::default(),
        }
    }

    /// Returns the executor that the tasks run on.
    #[must_use]
    pub fn exec(&self) -> Exec {
        Arc::clone(&self.exec)
    }

    /// Starts a task that this scope owns.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        // The lock is held over spawn and insert: a task that ends at once
        // would otherwise look for its own entry before there is one, and the
        // entry would stay for good.
        let mut tasks = self.lock();
        let id = tasks.next;
        tasks.next += 1;
        let inner = Arc::clone(&self.inner);
        let task = self.exec.spawn(async move {
            future.await;
            inner.remove(id);
        });
        tasks.running.insert(id, task);
    }

    /// Returns the number of tasks that have not ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().running.len()
    }

    /// Tells whether every task has ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until every task has ended by itself.
    pub async fn join(&self) {
        loop {
            let listener = self.inner.emptied.listen();
            if self.is_empty() {
                return;
            }
            listener.await;
        }
    }

    /// Waits a little for the tasks to end by themselves, then cancels them.
    ///
    /// For tasks that have been told to end and may still write a last frame.
    pub async fn cancel_after_grace(&self) {
        let grace = async {
            Timer::after(CANCEL_GRACE).await;
        };
        self.join().or(grace).await;
        self.cancel().await;
    }

    /// Cancels every task and waits for their end.
    pub async fn cancel(&self) {
        loop {
            let running = std::mem::take(&mut self.lock().running);
            if running.is_empty() {
                return;
            }
            for task in running.into_values() {
                task.cancel().await;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Tasks> {
        self.inner
            .tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn remove(&self, id: u64) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(task) = tasks.running.remove(&id) {
            // The task is this one, at its end: there is nothing to wait for.
            task.detach();
        }
        if tasks.running.is_empty() {
            self.emptied.notify(usize::MAX);
        }
    }
}
