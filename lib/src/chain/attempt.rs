//! One attempt at a stage.

use std::time::Duration;

use crate::ids::AttemptId;
use crate::ids::EndpointId;
use crate::routing::Booking;
use crate::time::Time;

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// It is on its way or at work.
    Open,
    /// Nobody waits for it any more; it may still run.
    Dropped,
    /// It ended, and it ran or may have run.
    Ran,
    /// It ended with proof that it did not run.
    NotRun,
}

/// One attempt at a stage.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) stage: usize,
    pub(super) slot: usize,
    pub(super) domain: u16,
    pub(super) endpoint: EndpointId,
    pub(super) booking: Option<Booking>,
    pub(super) started_at: Time,
    pub(super) predicted: Duration,
    /// The time predicted for an endpoint that keeps its promises.
    pub(super) nominal: Duration,
    /// How full the endpoint was.
    pub(super) occupancy: f32,
    pub(super) state: State,
    /// Whether its frame was written.
    pub(super) sent: bool,
    /// The time of the first token, if one came.
    pub(super) first_token: Option<Time>,
    /// The time of the last sign of progress.
    pub(super) last_progress: Time,
    /// When the attempt counts as late enough for a hedge.
    pub(super) hedge_at: Time,
    /// When the attempt is given up.
    pub(super) timeout_at: Time,
}

impl Attempt {
    pub(super) fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Returns how many times its promised time the attempt has taken.
    ///
    /// The promise is without the endpoint's own verdict: measured against a
    /// prediction that expects a straggler to be slow, it would seem healthy.
    pub(super) fn elapsed_ratio(&self, now: Time) -> f32 {
        let plain = self.nominal.as_secs_f32().max(0.001);
        now.since(self.started_at).as_secs_f32() / plain
    }
}
