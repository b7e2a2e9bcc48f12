//! Work done in a fixed number of slots, first come first served.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;

use crate::fault::Faults;
use crate::sync::lock;
use crate::times::Times;

/// How long one piece of work waited and took.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Timing {
    /// Time in the queue.
    pub queue: Duration,
    /// Time at work.
    pub work: Duration,
}

/// The effect of a piece of work, taken when its time is over.
pub type Effect = Box<dyn FnOnce() + Send>;

struct Job {
    cost: Duration,
    queued: Instant,
    effect: Effect,
    // Whether the job goes on when its caller has gone.
    keep: bool,
    done: Sender<Timing>,
}

/// A queue before a fixed number of slots.
pub struct Slots {
    count: usize,
    jobs: Sender<Job>,
    queue: Receiver<Job>,
    active: AtomicUsize,
    busy_us: AtomicU64,
    finished: AtomicU64,
    times: Mutex<Times>,
}

impl fmt::Debug for Slots {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Slots")
            .field("count", &self.count)
            .field("active", &self.active())
            .field("queued", &self.queued())
            .finish_non_exhaustive()
    }
}

impl Slots {
    /// Builds slots with a bounded queue before them.
    #[must_use]
    pub fn new(count: usize, queue: usize) -> Self {
        let (jobs, queue) = async_channel::bounded(queue.max(1));
        Self {
            count: count.max(1),
            jobs,
            queue,
            active: AtomicUsize::new(0),
            busy_us: AtomicU64::new(0),
            finished: AtomicU64::new(0),
            times: Mutex::default(),
        }
    }

    /// Returns the number of slots.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.count
    }

    /// Returns how many slots are at work.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Returns how many jobs wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the time that slots were at work, in microseconds.
    #[must_use]
    pub fn busy_us(&self) -> u64 {
        self.busy_us.load(Ordering::Relaxed)
    }

    /// Returns how many jobs were finished.
    #[must_use]
    pub fn finished(&self) -> u64 {
        self.finished.load(Ordering::Relaxed)
    }

    /// Returns how long finished jobs took, their wait included.
    #[must_use]
    pub fn times(&self) -> Times {
        lock(&self.times).clone()
    }

    /// Queues work, or returns nothing when the queue is full.
    ///
    /// With `keep` the work is done although its caller has gone.
    #[must_use]
    pub fn submit(&self, cost: Duration, keep: bool, effect: Effect) -> Option<Receiver<Timing>> {
        let (done, wait) = async_channel::bounded(1);
        let job = Job {
            cost,
            queued: Instant::now(),
            effect,
            keep,
            done,
        };
        self.jobs.try_send(job).ok().map(|()| wait)
    }

    /// Drops all that waits.
    pub fn forget(&self) {
        while self.queue.try_recv().is_ok() {}
    }

    /// Returns one task for each slot.
    ///
    /// `get` finds the slots and the faults within their owner.
    pub fn workers<T: Send + Sync + 'static>(
        owner: &Arc<T>,
        get: fn(&T) -> (&Self, &Faults),
    ) -> Vec<Boxed<()>> {
        let count = get(owner).0.count;
        let worker = |_slot| {
            let owner = Arc::clone(owner);
            async move {
                let (slots, faults) = get(&owner);
                while let Ok(job) = slots.queue.recv().await {
                    slots.run(job, faults).await;
                }
            }
            .boxed()
        };
        (0..count).map(worker).collect()
    }

    async fn run(&self, job: Job, faults: &Faults) {
        if job.done.is_closed() && !job.keep {
            return;
        }
        let started = Instant::now();
        self.active.fetch_add(1, Ordering::Relaxed);
        let whole = async {
            Timer::after(faults.scale(job.cost)).await;
            true
        };
        let died = async {
            faults.died().await;
            false
        };
        let whole = whole.or(died).await;
        self.active.fetch_sub(1, Ordering::Relaxed);
        let work = started.elapsed();
        let work_us = u64::try_from(work.as_micros()).unwrap_or(u64::MAX);
        self.busy_us.fetch_add(work_us, Ordering::Relaxed);
        if whole {
            (job.effect)();
            self.finished.fetch_add(1, Ordering::Relaxed);
            let queue = started - job.queued;
            lock(&self.times).add(queue + work);
            let _caller_gone = job.done.try_send(Timing { queue, work });
        }
    }
}
