//! Cold endpoints: the limit on their calls, summed over all nodes.
//!
//! An endpoint is cold for some seconds after it started, after an evacuation
//! of its failure domain, or whenever its registration says so. It tolerates a
//! rate of calls from all nodes together and may crash above it.
//!
//! Two nodes may admit calls to a cold endpoint, the first two of a ranking of
//! all known nodes, live or not. Their shares add up to the bound, so it holds
//! whichever of them the others consider alive. Other nodes ask one of them or
//! use warm endpoints.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::EndpointId;
use crate::time::Time;

/// How long a node may use an admission.
///
/// Calls admitted at the end of one second and at the start of the next one must
/// not arrive together.
pub const ADMISSION_LIFETIME: Duration = Duration::from_millis(100);

/// The time in which a node admits its share: the second of the bound and the
/// spread of the arrivals.
pub const ADMISSION_WINDOW: Duration = Duration::from_millis(1_100);

/// The cold start of a service's endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// How long an endpoint is cold after its start.
    pub duration: Duration,
    /// The calls per second that a cold endpoint tolerates.
    pub rate: f64,
}

/// The bound on calls to a cold endpoint, relative to the rate that it
/// tolerates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// The factor on the rate.
    pub excess: f64,
    /// The calls beyond that in any second.
    pub slack: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            excess: 1.0,
            slack: 0.0,
        }
    }
}

/// The rank of a node that may admit calls to endpoints that are cold or name a
/// rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitterRank {
    /// The node that admits calls while it is alive.
    First,
    /// The node that takes its place.
    Second,
}

impl ColdBound {
    /// Returns the calls that a node may admit to a cold endpoint in a second.
    ///
    /// The first node admits what the endpoint tolerates. The second admits no
    /// more than the bound leaves: the first one may be alive unnoticed.
    #[must_use]
    pub fn share(self, start: ColdStart, rank: AdmitterRank) -> usize {
        let bound = (self.excess * start.rate + self.slack).floor().max(0.0);
        let tolerated = start.rate.floor().max(1.0);
        let first = tolerated.min(bound);
        let share = match rank {
            AdmitterRank::First => first,
            AdmitterRank::Second => tolerated.min(bound - first),
        };
        share as usize
    }
}

/// The calls that a node admitted within the last second.
#[derive(Debug, Clone, Default)]
pub struct Admissions {
    calls: BTreeMap<EndpointId, VecDeque<Time>>,
}

impl Admissions {
    /// Returns whether another call to an endpoint is within a share.
    pub fn has_room(&mut self, now: Time, endpoint: &EndpointId, share: usize) -> bool {
        self.recent(now, endpoint) < share
    }

    /// Records a call that was admitted.
    ///
    /// Calls to warm endpoints are recorded too: an endpoint may turn cold right
    /// after them.
    pub fn record(&mut self, now: Time, endpoint: &EndpointId) {
        if !self.calls.contains_key(endpoint) {
            self.calls.insert(endpoint.clone(), VecDeque::new());
        }
        if let Some(calls) = self.calls.get_mut(endpoint) {
            calls.push_back(now);
        }
        self.recent(now, endpoint);
    }

    /// Forgets endpoints without recent calls.
    pub fn sweep(&mut self, now: Time) {
        let is_recent = |calls: &VecDeque<Time>| {
            calls
                .back()
                .is_some_and(|&at| now.since(at) < ADMISSION_WINDOW)
        };
        self.calls.retain(|_, calls| is_recent(calls));
    }

    fn recent(&mut self, now: Time, endpoint: &EndpointId) -> usize {
        let Some(calls) = self.calls.get_mut(endpoint) else {
            return 0;
        };
        while calls
            .front()
            .is_some_and(|&at| now.since(at) >= ADMISSION_WINDOW)
        {
            calls.pop_front();
        }
        calls.len()
    }
}
