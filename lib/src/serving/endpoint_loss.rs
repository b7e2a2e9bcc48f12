//! Which endpoints ended while they had requests.
//!
//! A connection that breaks may have been reset while its endpoint lives. One
//! look at the endpoint tells, for all requests that it had.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;

use crate::ids::EndpointId;
use crate::time::Time;

use super::crashes::Fingerprint;

/// How long it is known that an endpoint has ended.
const ENDED_RETENTION: Duration = Duration::from_secs(3);

/// How long it is known that an endpoint lives.
///
/// Its other connections were reset within milliseconds; it may end later.
const ALIVE_RETENTION: Duration = Duration::from_millis(300);

/// How long a request may be the cause of an end after it was given up.
///
/// An endpoint that a request ends does so soon after it has begun to run it.
const BLAME_WINDOW: Duration = Duration::from_secs(1);

/// The most requests given up that are remembered.
const ABANDONED_MAX: usize = 1_024;

/// The most endpoints that are remembered.
const ENDPOINTS_MAX: usize = 1_024;

/// One life of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
#[display("{endpoint}")]
pub struct Incarnation {
    /// Its name.
    pub endpoint: EndpointId,
    /// The moment of its start, as it tells it; a name may be used again.
    pub started_at: Option<u64>,
}

/// What to do about a broken connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossAction {
    /// Look whether the endpoint lives.
    Probe,
    /// Wait for the look that is under way.
    AwaitProbe,
    /// The endpoint has ended.
    Ended,
    /// The endpoint is alive.
    Alive,
}

#[derive(Debug, Clone)]
enum ProbeState {
    /// The requests that it had, and when their connections broke.
    Probing(Vec<(Time, Fingerprint)>),
    Ended,
    Alive,
}

/// The endpoints whose connections broke of late.
#[derive(Debug, Clone, Default)]
pub struct EndpointLoss {
    probes: BTreeMap<Incarnation, (Time, ProbeState)>,
    /// Requests that were given up while their endpoints had them, oldest first.
    abandoned: VecDeque<(Time, Incarnation, Fingerprint)>,
}

impl EndpointLoss {
    /// Notes that the connection of a request broke before the whole answer.
    pub fn on_connection_lost(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        request: Fingerprint,
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

    /// Notes that a request was given up while an endpoint had it.
    ///
    /// Its connection is closed then, and won't tell that the endpoint ends.
    pub fn on_request_abandoned(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        request: Fingerprint,
    ) {
        self.forget_abandoned(now);
        if self.abandoned.len() >= ABANDONED_MAX {
            self.abandoned.pop_front();
        }
        self.abandoned
            .push_back((now, incarnation.clone(), request));
    }

    /// Notes that an endpoint refused a connection; tells whether to look
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

    /// Takes in what a look found; returns the requests under which the
    /// endpoint ended, and when.
    pub fn on_probe_result(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        ended: bool,
    ) -> Vec<(Time, Fingerprint)> {
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
        // The look takes a moment: what counts is when the endpoint was found.
        let abandoned = self.abandoned.iter().filter(|(at, r, _)| {
            let soon = lost_at.since(*at) < BLAME_WINDOW;
            r == incarnation && soon
        });
        requests.extend(abandoned.map(|(_, _, request)| (lost_at, *request)));
        self.abandoned.retain(|(_, r, _)| r != incarnation);
        requests
    }
}
