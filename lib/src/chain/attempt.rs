//! One attempt at a stage.

use std::time::Duration;

use crate::ids::AttemptId;
use crate::ids::EndpointId;
use crate::routing::Booking;
use crate::time::Time;

/// The state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// It is queued, in transit or in service.
    Open,
    /// It was abandoned; it may still run.
    Dropped,
    /// It ended and ran, or may have run.
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
    /// The predicted time without the endpoint's health verdict.
    pub(super) nominal: Duration,
    /// The occupancy of the endpoint when the attempt was sent.
    pub(super) occupancy: f32,
    pub(super) state: State,
    /// Whether its frame was written.
    pub(super) sent: bool,
    /// When the first token was received, if any.
    pub(super) first_token: Option<Time>,
    /// When the attempt last made progress.
    pub(super) last_progress: Time,
    /// When a hedge may be sent.
    pub(super) hedge_at: Time,
    /// When the attempt times out if no token was received.
    pub(super) timeout_at: Time,
}

impl Attempt {
    pub(super) fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Returns the elapsed time as a multiple of the nominal predicted time.
    ///
    /// The nominal time leaves out the endpoint's health verdict: compared with a
    /// prediction that already includes its slowness, a straggler would seem
    /// healthy.
    pub(super) fn elapsed_ratio(&self, now: Time) -> f32 {
        let nominal = self.nominal.as_secs_f32().max(0.001);
        now.since(self.started_at).as_secs_f32() / nominal
    }
}
