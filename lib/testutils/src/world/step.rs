//! What happens to a simulated deployment.

/// Where a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// To the agent that holds the key's slot, or the first one.
    Owner,
    /// To an agent, whatever it holds.
    Agent(usize),
}

/// One thing that happens to a world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Time passes.
    Wait(u64),
    /// A caller issues a key with its clock off by milliseconds, and calls.
    Call(i64, Target),
    /// The caller of the key issued so many keys ago calls again.
    Retry(usize, Target),
    /// An agent stands still for milliseconds.
    Pause(usize, u64),
    /// An agent dies and a new incarnation starts.
    Kill(usize),
    /// An agent gives its slots up in good order and starts anew.
    Leave(usize),
    /// An agent is cut off from the log for milliseconds.
    Cut(usize, u64),
    /// The log goes away.
    Down,
    /// The log takes effect but its answers are lost.
    Mute,
    /// The log is well again.
    Up,
    /// Effects take so many milliseconds to reach the endpoint from now on.
    Slow(u64),
    /// Retention takes the records older than milliseconds, always more than a term.
    Retain(u64),
}
