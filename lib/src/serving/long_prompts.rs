//! The cost of long prefills to the streams beside them.
//!
//! While an engine prefills, each step of its streams takes as long as a chunk
//! of the prefill, and an event takes several steps. A backlog that takes less
//! time than the limit on pauses between events cannot break it; a longer one
//! breaks it for each stream of the endpoint.

use std::time::Duration;

/// The position in a prompt at which a token takes twice as long as the first.
///
/// With 163,840 bytes of KV cache per token (40 layers of 4,096) a model of 12
/// billion weights has as many operations of attention there as of weights.
const ATTENTION_TOKENS: f32 = 36_600.0;

/// The cost of a token of prefill beyond the limit on pauses for one stream,
/// relative to one in the backlog.
///
/// At 0.25 four streams that are made to pause weigh as much as the wait of the
/// prompt itself, which is one request that may be late.
const PAUSE_WEIGHT: f32 = 0.25;

/// The tokens that an engine prefills within the limit on pauses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PauseLimit(f32);

impl PauseLimit {
    /// Creates the limit of streams whose events may be `gap` apart at an engine that
    /// takes `token_seconds` to prefill a token.
    #[must_use]
    pub fn new(gap: Duration, token_seconds: f32) -> Self {
        Self(gap.as_secs_f32() / token_seconds.max(f32::MIN_POSITIVE))
    }

    /// Returns the cost of pauses, in tokens, if a prompt with `read_tokens` to prefill
    /// joins `calls` calls and a backlog of `pending_tokens`.
    #[must_use]
    pub fn cost(self, pending_tokens: u64, calls: u32, read_tokens: u32) -> f32 {
        let pending = pending_tokens as f32;
        let before = (pending - self.0).max(0.0);
        let after = (pending + prefill_tokens(read_tokens) - self.0).max(0.0);
        PAUSE_WEIGHT * (calls as f32 * (after - before) + before)
    }
}

/// Returns the tokens at the start of a prompt whose prefill takes as long as that
/// of a whole prompt.
#[must_use]
pub fn prefill_tokens(tokens: u32) -> f32 {
    let tokens = tokens as f32;
    tokens + tokens * tokens / (2.0 * ATTENTION_TOKENS)
}
