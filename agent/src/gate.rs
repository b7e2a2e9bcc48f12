//! Admission control for the endpoint.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use snipeyoke_lib::outcome::Reason;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_wire::Call;

/// When a router may retry after the endpoint was at capacity.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Admits calls up to the endpoint's capacity, and none while draining.
#[derive(Debug, Clone)]
pub(crate) struct Gate {
    capacity: u32,
    drain: Flag,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    active: u32,
    tokens: u64,
}

/// A refusal of a call before it reaches the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    pub(crate) retry_after: Option<Duration>,
}

/// The capacity used by one call, released when dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    state: Arc<Mutex<State>>,
    tokens: u64,
}

/// The admitted calls in flight and their tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Admitted {
    pub(crate) active: u32,
    pub(crate) tokens: u64,
}

impl Gate {
    pub(crate) fn new(capacity: u32, drain: Flag) -> Self {
        Self {
            capacity,
            drain,
            state: Arc::default(),
        }
    }

    /// Reserves capacity for a call.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`], which proves that the call was not sent to the endpoint.
    pub(crate) fn admit(&self, call: &Call) -> Result<Permit, Refusal> {
        if self.drain.is_set() {
            return Err(Refusal {
                reason: Reason::Draining,
                retry_after: None,
            });
        }
        if call.left_us == 0 {
            return Err(Refusal {
                reason: Reason::Deadline,
                retry_after: None,
            });
        }
        let tokens = u64::from(call.prompt_tokens) + u64::from(call.max_tokens);
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.active >= self.capacity {
            return Err(Refusal {
                reason: Reason::Overload,
                retry_after: Some(FULL_RETRY_DELAY),
            });
        }
        state.active += 1;
        state.tokens += tokens;
        Ok(Permit {
            state: Arc::clone(&self.state),
            tokens,
        })
    }

    pub(crate) fn admitted(&self) -> Admitted {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        Admitted {
            active: state.active,
            tokens: state.tokens,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.active -= 1;
        state.tokens -= self.tokens;
    }
}
