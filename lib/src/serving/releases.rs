//! Results given back to an owner that may not have heard of it.
//!
//! An owner that was killed takes what it was last told with it. Its endpoints
//! then hold results that nobody needs until they lapse, the next owner finds
//! no room, and the stages before it fill up in turn. What each node gave back
//! since it last heard from the owner is enough to tell the next one.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::EndpointId;
use crate::ids::PoolName;
use crate::time::Time;

/// How long before the last word from an owner it may have missed something.
///
/// Its last frame may have left before it read ours, and it tells endpoints of
/// several results at once, after up to a quarter of a second.
const UNSURE: Duration = Duration::from_millis(500);

/// How long a result is remembered.
///
/// Endpoints drop results by themselves after a few seconds; an owner that was
/// silent for longer than this has nothing left to be told.
const REMEMBERED: Duration = Duration::from_secs(5);

/// Results of one service and the endpoints that hold them.
pub type HeldResults = Vec<(EndpointId, String)>;

#[derive(Debug, Clone)]
struct Told {
    at: Time,
    owner: SocketAddr,
    service: PoolName,
    results: HeldResults,
}

/// What this node gave back lately.
#[derive(Debug, Clone, Default)]
pub struct RecentReleases {
    told: VecDeque<Told>,
}

impl RecentReleases {
    /// Notes that an owner was told that results are not needed any more.
    pub fn record(
        &mut self,
        now: Time,
        owner: SocketAddr,
        service: &PoolName,
        results: &HeldResults,
    ) {
        let old = |t: &Told| now.since(t.at) > REMEMBERED;
        while self.told.front().is_some_and(old) {
            self.told.pop_front();
        }
        self.told.push_back(Told {
            at: now,
            owner,
            service: service.clone(),
            results: results.clone(),
        });
    }

    /// Takes out what an owner may have missed that was last heard at `heard`.
    pub fn take_missed(
        &mut self,
        now: Time,
        owner: SocketAddr,
        heard: Time,
    ) -> BTreeMap<PoolName, HeldResults> {
        let since = heard - UNSURE;
        let mut missed: BTreeMap<PoolName, HeldResults> = BTreeMap::new();
        let held = std::mem::take(&mut self.told);
        for told in held {
            if now.since(told.at) > REMEMBERED {
                continue;
            }
            if told.owner == owner && told.at >= since {
                missed.entry(told.service).or_default().extend(told.results);
            } else {
                self.told.push_back(told);
            }
        }
        missed
    }
}
