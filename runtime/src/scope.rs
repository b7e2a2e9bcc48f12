//! Scopes of tasks that are joined by their parent.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use event_listener::Event;
use futures_lite::FutureExt;

use crate::flag::Flag;
use crate::threads::Exec;

/// The time for tasks to write their last frames before they are cancelled.
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
    /// Set once an essential task has panicked.
    failed: Flag,
}

/// Removes a task from its scope when it ends, also by a panic.
struct RunningTask {
    inner: Arc<Inner>,
    id: u64,
    is_essential: bool,
}

impl Drop for RunningTask {
    fn drop(&mut self) {
        if thread::panicking() {
            log::error!(event = "task-panicked", essential = self.is_essential, remedy = "report the panic on standard error"; "");
            metrics::counter!("snipeyoke_task_panics_total").increment(1);
            if self.is_essential {
                self.inner.failed.set();
            }
        }
        self.inner.remove(self.id);
    }
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
    /// Creates a scope whose tasks run on `exec`.
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

    /// Spawns a task owned by this scope.
    ///
    /// If it panics, the panic is logged and the other tasks go on.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.spawn_task(future, false);
    }

    /// Spawns a task without which the process is of no use.
    ///
    /// If it panics, [`Self::failed`] ends.
    pub fn spawn_essential(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.spawn_task(future, true);
    }

    fn spawn_task(&self, future: impl Future<Output = ()> + Send + 'static, is_essential: bool) {
        // Hold the lock across spawn and insert. Otherwise a task that ends at once
        // could remove its entry before the insert, and the entry would leak.
        let mut tasks = self.lock();
        let id = tasks.next;
        tasks.next += 1;
        let running = RunningTask {
            inner: Arc::clone(&self.inner),
            id,
            is_essential,
        };
        let task = self.exec.spawn(async move {
            let _running = running;
            future.await;
        });
        tasks.running.insert(id, task);
    }

    /// Waits until an essential task has panicked.
    pub async fn failed(&self) {
        self.inner.failed.wait().await;
    }

    /// Returns the number of running tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().running.len()
    }

    /// Returns whether all tasks have ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until all tasks have ended on their own.
    pub async fn join(&self) {
        loop {
            let listener = self.inner.emptied.listen();
            if self.is_empty() {
                return;
            }
            listener.await;
        }
    }

    /// Waits briefly for all tasks to end, then cancels the rest.
    ///
    /// For tasks that are already stopping and may still write a last frame.
    pub async fn cancel_after_grace(&self) {
        let grace = async {
            Timer::after(CANCEL_GRACE).await;
        };
        self.join().or(grace).await;
        self.cancel().await;
    }

    /// Cancels all tasks and waits until they have ended.
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
            // This is the calling task, which is about to end.
            task.detach();
        }
        if tasks.running.is_empty() {
            self.emptied.notify(usize::MAX);
        }
    }
}
