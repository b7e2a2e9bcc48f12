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
const UNCERTAINTY: Duration = Duration::from_millis(500);

/// How long a result is remembered.
///
/// Endpoints drop results by themselves after a few seconds; an owner that was
/// silent for longer than this has nothing left to be told.
const RETENTION: Duration = Duration::from_secs(5);

/// Results of one service and the endpoints that hold them.
pub type HeldResults = Vec<(EndpointId, String)>;

#[derive(Debug, Clone)]
struct Release {
    at: Time,
    owner: SocketAddr,
    service: PoolName,
    results: HeldResults,
}

/// What this node gave back lately.
#[derive(Debug, Clone, Default)]
pub struct RecentReleases {
    releases: VecDeque<Release>,
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
        let is_old = |r: &Release| now.since(r.at) > RETENTION;
        while self.releases.front().is_some_and(is_old) {
            self.releases.pop_front();
        }
        self.releases.push_back(Release {
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
        last_heard: Time,
    ) -> BTreeMap<PoolName, HeldResults> {
        let since = last_heard - UNCERTAINTY;
        let mut missed: BTreeMap<PoolName, HeldResults> = BTreeMap::new();
        let releases = std::mem::take(&mut self.releases);
        for release in releases {
            if now.since(release.at) > RETENTION {
                continue;
            }
            if release.owner == owner && release.at >= since {
                missed
                    .entry(release.service)
                    .or_default()
                    .extend(release.results);
            } else {
                self.releases.push_back(release);
            }
        }
        missed
    }
}
