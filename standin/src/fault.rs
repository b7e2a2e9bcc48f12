//! Faults that a test sets on a stand-in while it runs.

use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

use crate::sync::lock;

/// How often a stalled call looks whether the stall is over.
const STALL_POLL: Duration = Duration::from_millis(5);

/// What a stand-in does wrong; the default is nothing.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Multiplies each time that work takes.
    pub slow: f64,
    /// Milliseconds added to each call.
    pub delay_ms: u64,
    /// Holds every call until cleared.
    pub stall: bool,
    /// Refuses each call with 503 and vouches that it did not run.
    pub refuse: bool,
    /// Closes connections without an answer and loses what it held, like a dead process.
    pub dead: bool,
    /// The share of calls that fail with 500 before any effect.
    pub fail: f64,
    /// The share of answers cut off in the middle.
    pub die: f64,
    /// The share of answers lost after the effect.
    pub lose: f64,
    /// Clients hit, by a part of their user agent; empty hits all.
    pub callers: Vec<String>,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            slow: 1.0,
            delay_ms: 0,
            stall: false,
            refuse: false,
            dead: false,
            fail: 0.0,
            die: 0.0,
            lose: 0.0,
            callers: Vec::new(),
        }
    }
}

/// What happens to one call, drawn when it comes in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is served.
    Serve,
    /// It is refused with proof that it did not run.
    Refuse,
    /// Its connection is closed at once.
    Drop,
    /// It fails before any effect.
    Fail,
    /// Its answer is cut off in the middle.
    Die,
    /// Its answer is lost after the effect.
    Lose,
}

/// The faults of one stand-in, shared by its calls.
#[derive(Debug)]
pub struct Faults {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    fault: Fault,
    rng: Pcg64Mcg,
    // Closed when the stand-in dies, which wakes every call in flight.
    alive: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Faults {
    /// Builds a stand-in without faults; the seed decides which calls shares hit.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                fault: Fault::default(),
                rng: Pcg64Mcg::seed_from_u64(seed),
                alive: async_channel::bounded(1),
            }),
        }
    }

    /// Replaces the faults, and tells whether the stand-in died by it.
    pub fn set(&self, fault: Fault) -> bool {
        let mut state = lock(&self.state);
        let died = fault.dead && !state.fault.dead;
        if died {
            state.alive.0.close();
        }
        if !fault.dead && state.fault.dead {
            state.alive = async_channel::bounded(1);
        }
        state.fault = fault;
        died
    }

    /// Returns the present faults.
    #[must_use]
    pub fn get(&self) -> Fault {
        lock(&self.state).fault.clone()
    }

    /// Returns the present factor on times.
    #[must_use]
    pub fn slow(&self) -> f64 {
        lock(&self.state).fault.slow.max(0.0)
    }

    /// Scales a time by the present factor.
    #[must_use]
    pub fn scale(&self, time: Duration) -> Duration {
        time.mul_f64(self.slow())
    }

    /// Waits until the stand-in dies.
    pub async fn died(&self) {
        let alive = lock(&self.state).alive.1.clone();
        // Nothing is ever sent: the error is the closing.
        let _closed = alive.recv().await;
    }

    /// Holds a call while the stand-in stalls, then draws its fate.
    pub async fn meet(&self, caller: &str) -> Fate {
        let delay = lock(&self.state).fault.delay_ms;
        if delay > 0 && self.hits(caller) {
            Timer::after(Duration::from_millis(delay)).await;
        }
        while self.hits(caller) && lock(&self.state).fault.stall {
            Timer::after(STALL_POLL).await;
        }
        if self.hits(caller) {
            self.draw()
        } else {
            Fate::Serve
        }
    }

    fn hits(&self, caller: &str) -> bool {
        let state = lock(&self.state);
        let callers = &state.fault.callers;
        callers.is_empty() || callers.iter().any(|part| caller.contains(part.as_str()))
    }

    fn draw(&self) -> Fate {
        let mut state = lock(&self.state);
        if state.fault.dead {
            return Fate::Drop;
        }
        if state.fault.refuse {
            return Fate::Refuse;
        }
        let draw: f64 = state.rng.random();
        let Fault {
            fail, die, lose, ..
        } = state.fault;
        if draw < fail {
            Fate::Fail
        } else if draw < fail + die {
            Fate::Die
        } else if draw < fail + die + lose {
            Fate::Lose
        } else {
            Fate::Serve
        }
    }
}
