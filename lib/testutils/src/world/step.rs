//! The steps of a schedule.

/// The agent that a call is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The owner of the key's slot, or the first agent if there is none.
    Owner,
    /// The agent with this index, whichever slots it owns.
    Agent(usize),
}

/// A call, a fault or a wait in a simulated deployment.
///
/// Durations are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Advances the time.
    Wait(u64),
    /// Issues a key with the given skew of the caller's clock and sends a call.
    Call(i64, Target),
    /// Retries the call of the key that was issued this many keys ago.
    Retry(usize, Target),
    /// Pauses an agent.
    Pause(usize, u64),
    /// Kills an agent and starts a new incarnation.
    Kill(usize),
    /// Lets an agent release its slots, then restarts it.
    Leave(usize),
    /// Partitions an agent from the log.
    Cut(usize, u64),
    /// Makes the log unreachable.
    Down,
    /// Lets appends take effect while their responses are lost.
    Mute,
    /// Restores the log.
    Up,
    /// Sets the extra delay until a call takes effect at the endpoint.
    Slow(u64),
    /// Removes the log's records above an age, which always exceeds a lease term.
    Retain(u64),
}
