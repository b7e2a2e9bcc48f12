//! Recent releases of results that the owner may not have received.
//!
//! An owner that is killed loses the releases that it last received. Its
//! endpoints then hold unneeded results until these expire, the next owner
//! finds no room, and the preceding stages fill up in turn. Each node remembers
//! the results that it released since it last heard from the owner and reports
//! them to the next one.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::EndpointId;
use crate::ids::PoolName;
use crate::time::Time;

/// How long before it was last heard an owner may already have missed releases.
///
/// Its last frame may have been sent before it read ours, and it batches
/// releases to endpoints for up to a quarter of a second.
const UNCERTAINTY: Duration = Duration::from_millis(500);

/// How long a release is remembered.
///
/// Endpoints drop results by themselves after a few seconds; an owner that was
/// silent for longer than this needs no more reports.
const RETENTION: Duration = Duration::from_secs(5);

/// The results of one service and the endpoints that hold them.
pub type HeldResults = Vec<(EndpointId, String)>;

#[derive(Debug, Clone)]
struct Release {
    at: Time,
    owner: SocketAddr,
    service: PoolName,
    results: HeldResults,
}

/// The results that this node released recently.
#[derive(Debug, Clone, Default)]
pub struct RecentReleases {
    releases: VecDeque<Release>,
}

impl RecentReleases {
    /// Records that results were reported to an owner as released.
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

    /// Removes and returns the releases that an owner last heard at
    /// `last_heard` may have missed.
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
