//! The threads of a process: one for control tasks, others for traffic.

use std::io;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

use async_executor::Executor;
use async_io::block_on;

use crate::flag::Flag;

/// A shared task executor.
pub type Exec = Arc<Executor<'static>>;

/// The executors of a process.
#[derive(Debug, Clone, Default)]
pub struct Execs {
    /// Runs control tasks on a single thread.
    pub control: Exec,
    /// Runs traffic on the other threads.
    pub traffic: Exec,
}

/// One control thread and a number of traffic threads.
#[derive(Debug)]
pub struct Threads {
    execs: Execs,
    stop: Flag,
    handles: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a thread can't be started.
    pub fn start(traffic_count: usize) -> io::Result<Self> {
        let execs = Execs::default();
        let stop = Flag::default();
        let mut handles = vec![run("control", &execs.control, &stop)?];
        for _ in 0..traffic_count.max(1) {
            handles.push(run("traffic", &execs.traffic, &stop)?);
        }
        Ok(Self {
            execs,
            stop,
            handles,
        })
    }

    /// Returns the executors that run on the threads.
    #[must_use]
    pub fn execs(&self) -> Execs {
        self.execs.clone()
    }

    /// Stops the threads and waits until they have ended.
    pub fn join(self) {
        self.stop.set();
        for handle in self.handles {
            if handle.join().is_err() {
                log::error!(event = "thread-panicked"; "");
            }
        }
    }
}

fn run(name: &str, exec: &Exec, stop: &Flag) -> io::Result<JoinHandle<()>> {
    let exec = Arc::clone(exec);
    let stop = stop.clone();
    // `block_on` lets an idle thread poll the sockets itself. With the reactor's own
    // thread, each event would wake two threads instead of one.
    let body = move || block_on(exec.run(stop.wait()));
    thread::Builder::new().name(name.to_owned()).spawn(body)
}
