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
const ENDED: Duration = Duration::from_secs(3);

/// How long it is known that an endpoint lives.
///
/// Its other connections were reset within milliseconds; it may end later.
const LIVES: Duration = Duration::from_millis(300);

/// How long a request may be the cause of an end after it was given up.
///
/// An endpoint that a request ends does so soon after it has begun to run it.
const GIVEN_UP: Duration = Duration::from_secs(1);

/// The most requests given up that are remembered.
const GIVEN_UP_MAX: usize = 1_024;

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
enum Found {
    /// The requests that it had, and when their connections broke.
    Looking(Vec<(Time, Fingerprint)>),
    Ended,
    Lives,
}

/// The endpoints whose connections broke of late.
#[derive(Debug, Clone, Default)]
pub struct EndpointLoss {
    found: BTreeMap<Incarnation, (Time, Found)>,
    /// Requests that were given up while their endpoints had them, oldest first.
    given_up: VecDeque<(Time, Incarnation, Fingerprint)>,
}

impl EndpointLoss {
    /// Notes that the connection of a request broke before the whole answer.
    pub fn on_connection_lost(
        &mut self,
        now: Time,
        run: &Incarnation,
        request: Fingerprint,
    ) -> LossAction {
        self.found.retain(|_, (at, found)| {
            let known = matches!(found, Found::Lives);
            now.since(*at) < if known { LIVES } else { ENDED }
        });
        let full = self.found.len() >= ENDPOINTS_MAX;
        match self.found.get_mut(run) {
            Some((_, Found::Looking(waiting))) => {
                waiting.push((now, request));
                LossAction::AwaitProbe
            }
            Some((_, Found::Ended)) => LossAction::Ended,
            Some((_, Found::Lives)) => LossAction::Alive,
            None if full => LossAction::Alive,
            None => {
                let looking = Found::Looking(vec![(now, request)]);
                self.found.insert(run.clone(), (now, looking));
                LossAction::Probe
            }
        }
    }

    /// Notes that a request was given up while an endpoint had it.
    ///
    /// Its connection is closed then, and won't tell that the endpoint ends.
    pub fn on_request_abandoned(&mut self, now: Time, run: &Incarnation, request: Fingerprint) {
        self.forget_abandoned(now);
        if self.given_up.len() >= GIVEN_UP_MAX {
            self.given_up.pop_front();
        }
        self.given_up.push_back((now, run.clone(), request));
    }

    /// Notes that an endpoint refused a connection; tells whether to look
    /// whether it has ended.
    pub fn on_connection_refused(&mut self, now: Time, run: &Incarnation) -> bool {
        self.forget_abandoned(now);
        let suspected = self.given_up.iter().any(|(_, r, _)| r == run);
        let known = self.found.contains_key(run) || self.found.len() >= ENDPOINTS_MAX;
        if suspected && !known {
            let looking = Found::Looking(Vec::new());
            self.found.insert(run.clone(), (now, looking));
        }
        suspected && !known
    }

    fn forget_abandoned(&mut self, now: Time) {
        let old = |(at, _, _): &(Time, _, _)| now.since(*at) >= GIVEN_UP;
        while self.given_up.front().is_some_and(old) {
            self.given_up.pop_front();
        }
    }

    /// Takes in what a look found; returns the requests under which the
    /// endpoint ended, and when.
    pub fn on_probe_result(
        &mut self,
        now: Time,
        run: &Incarnation,
        ended: bool,
    ) -> Vec<(Time, Fingerprint)> {
        let found = if ended { Found::Ended } else { Found::Lives };
        let before = self.found.insert(run.clone(), (now, found));
        let Some((broke, Found::Looking(mut requests))) = before else {
            return Vec::new();
        };
        if !ended {
            return Vec::new();
        }
        // The look takes a moment: what counts is when the endpoint was found.
        let given_up = self.given_up.iter().filter(|(at, r, _)| {
            let soon = broke.since(*at) < GIVEN_UP;
            r == run && soon
        });
        requests.extend(given_up.map(|(_, _, request)| (broke, *request)));
        self.given_up.retain(|(_, r, _)| r != run);
        requests
    }
}
