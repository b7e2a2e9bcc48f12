//! Detection of endpoints that ended while they had requests.
//!
//! A connection may be reset while its endpoint is alive. A single probe of the
//! endpoint decides this for all requests that it had.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;

use crate::ids::EndpointId;
use crate::time::Time;

use super::crashes::Casualty;

/// How long the result of a probe that found an endpoint ended is kept.
const ENDED_RETENTION: Duration = Duration::from_secs(3);

/// How long the result of a probe that found an endpoint alive is kept.
///
/// Its other connections were reset within milliseconds; it may end later.
const ALIVE_RETENTION: Duration = Duration::from_millis(300);

/// How long an abandoned request may be blamed for the end of its endpoint.
///
/// A request that crashes an endpoint does so soon after it starts to run.
const BLAME_WINDOW: Duration = Duration::from_secs(1);

/// The maximum number of abandoned requests that are remembered.
const ABANDONED_MAX: usize = 1_024;

/// The maximum number of endpoints that are remembered.
const ENDPOINTS_MAX: usize = 1_024;

/// One run of an endpoint, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
#[display("{endpoint}")]
pub struct Incarnation {
    /// Its name.
    pub endpoint: EndpointId,
    /// The start time reported by the endpoint, since names are reused.
    pub started_at: Option<u64>,
}

/// The action to take on a lost connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossAction {
    /// Probe whether the endpoint is alive.
    Probe,
    /// Wait for the probe in flight.
    AwaitProbe,
    /// The endpoint has ended.
    Ended,
    /// The endpoint is alive.
    Alive,
}

#[derive(Debug, Clone)]
enum ProbeState {
    /// The requests that the endpoint had, and when their connections were
    /// lost.
    Probing(Vec<(Time, Casualty)>),
    Ended,
    Alive,
}

/// Tracks endpoints with recently lost connections.
#[derive(Debug, Clone, Default)]
pub struct EndpointLoss {
    probes: BTreeMap<Incarnation, (Time, ProbeState)>,
    /// Requests that were abandoned while an endpoint had them, oldest first.
    abandoned: VecDeque<(Time, Incarnation, Casualty)>,
}

impl EndpointLoss {
    /// Records that the connection of a request was lost before the complete
    /// response.
    pub fn on_connection_lost(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        request: Casualty,
    ) -> LossAction {
        self.probes.retain(|_, (at, state)| {
            let is_alive = matches!(state, ProbeState::Alive);
            now.since(*at)
                < if is_alive {
                    ALIVE_RETENTION
                } else {
                    ENDED_RETENTION
                }
        });
        let full = self.probes.len() >= ENDPOINTS_MAX;
        match self.probes.get_mut(incarnation) {
            Some((_, ProbeState::Probing(waiting))) => {
                waiting.push((now, request));
                LossAction::AwaitProbe
            }
            Some((_, ProbeState::Ended)) => LossAction::Ended,
            Some((_, ProbeState::Alive)) => LossAction::Alive,
            None if full => LossAction::Alive,
            None => {
                let probing = ProbeState::Probing(vec![(now, request)]);
                self.probes.insert(incarnation.clone(), (now, probing));
                LossAction::Probe
            }
        }
    }

    /// Records that a request was abandoned while an endpoint had it.
    ///
    /// Its connection is closed then and cannot show that the endpoint ends.
    pub fn on_request_abandoned(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        request: Casualty,
    ) {
        self.forget_abandoned(now);
        if self.abandoned.len() >= ABANDONED_MAX {
            self.abandoned.pop_front();
        }
        self.abandoned
            .push_back((now, incarnation.clone(), request));
    }

    /// Records that an endpoint refused a connection. Returns whether to probe
    /// whether it has ended.
    pub fn on_connection_refused(&mut self, now: Time, incarnation: &Incarnation) -> bool {
        self.forget_abandoned(now);
        let suspected = self.abandoned.iter().any(|(_, r, _)| r == incarnation);
        let known = self.probes.contains_key(incarnation) || self.probes.len() >= ENDPOINTS_MAX;
        if suspected && !known {
            let probing = ProbeState::Probing(Vec::new());
            self.probes.insert(incarnation.clone(), (now, probing));
        }
        suspected && !known
    }

    fn forget_abandoned(&mut self, now: Time) {
        let is_old = |(at, _, _): &(Time, _, _)| now.since(*at) >= BLAME_WINDOW;
        while self.abandoned.front().is_some_and(is_old) {
            self.abandoned.pop_front();
        }
    }

    /// Applies the result of a probe. Returns the requests under which the
    /// endpoint ended, and when.
    pub fn on_probe_result(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        ended: bool,
    ) -> Vec<(Time, Casualty)> {
        let state = if ended {
            ProbeState::Ended
        } else {
            ProbeState::Alive
        };
        let previous = self.probes.insert(incarnation.clone(), (now, state));
        let Some((lost_at, ProbeState::Probing(mut requests))) = previous else {
            return Vec::new();
        };
        if !ended {
            return Vec::new();
        }
        // The probe takes a moment: the time of the lost connection counts.
        let abandoned = self.abandoned.iter().filter(|(at, r, _)| {
            let soon = lost_at.since(*at) < BLAME_WINDOW;
            r == incarnation && soon
        });
        requests.extend(abandoned.map(|(_, _, request)| (lost_at, request.clone())));
        self.abandoned.retain(|(_, r, _)| r != incarnation);
        requests
    }
}
