//! The software versions at which streams began, as known to one node.
//!
//! A stream continues only at endpoints of the version that began it. While a
//! service has one version, this version is the origin of all its streams, and
//! nothing is sent or stored. While it has several, each node reports the
//! streams that it begins to the node that keeps their origins, which also
//! saves them in the registry. See `docs/design/stream-versions.md`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;

use super::owners::OriginKeepers;
use crate::ids::PoolName;
use crate::ids::SoftwareVersion;
use crate::time::Time;

/// How long a caller may come back for a stream after it began, and how long a
/// version counts after its last endpoint left.
///
/// Callers wait for some ten seconds at most, their returns included.
pub const ORIGIN_RETENTION: Duration = Duration::from_mins(1);

/// How long after it was first heard of a further version of a service is
/// recorded, and gets new streams.
///
/// All nodes in touch hear of it within a second. One more is enough to report
/// and save the streams that began while there was one version.
const RECORD_DELAY: Duration = Duration::from_secs(2);

/// The time in which nodes in touch hear of a version.
const HEARING_TIME: Duration = Duration::from_millis(500);

/// How long after its first endpoint registered no stream can have begun at a version
/// that is not known to be recorded: [`RECORD_DELAY`], less the time in which the nodes
/// hear of the record.
const UNUSED_PERIOD: Duration = Duration::from_millis(1_500);

/// How long a node waits to be told that a version is recorded before it reads
/// the record itself.
const RECORD_WAIT: Duration = Duration::from_secs(3);

/// The interval between two saves of origins by one node.
///
/// Streams last for seconds. If all nodes die, those of the last interval are
/// lost.
const SAVE_INTERVAL: Duration = Duration::from_millis(250);

/// How long the second keeper of a stream holds its origin to save it if the
/// first one is lost.
///
/// A silent node is noticed within a second.
const TAKEOVER_PERIOD: Duration = Duration::from_secs(3);

/// The maximum number of origins that a node holds, and saves at once.
const ORIGINS_MAX: usize = 32_768;

/// The maximum number of origins in one save, or in one frame.
pub const BATCH_MAX: usize = 4_096;

/// The time between two sweeps of expired origins.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Identifies a stream: the hash of its client account and of the attempt that
/// brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{_0:016x}")]
pub struct StreamId(pub u64);

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// The service of the endpoint.
    pub service: PoolName,
    /// The version of the endpoint.
    pub version: SoftwareVersion,
}

/// What a node can say about the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OriginAnswer {
    /// The stream began there.
    Known(Origin),
    /// The service has had no other version for as long as a stream can last.
    Sole(SoftwareVersion),
    /// The origin is not known.
    Unknown,
}

/// The versions of a service within [`ORIGIN_RETENTION`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecentVersions {
    /// One version only.
    Sole(SoftwareVersion),
    /// Several, or possibly some that this node does not know.
    Several,
}

/// The versions of all services, as recorded in the registry.
pub type VersionSets = BTreeMap<PoolName, BTreeSet<SoftwareVersion>>;

/// A version as seen by this node.
#[derive(Debug, Clone, Copy)]
struct Sighting {
    /// When an endpoint of the version was first known to exist.
    first: Time,
    /// The earliest time at which one can have registered.
    earliest: Time,
    /// When one was last known to exist.
    last: Time,
    /// Whether streams may have begun at it, since the registry has recorded it or
    /// a stream is known.
    open: bool,
}

/// The versions that the endpoints of each service have had.
#[derive(Debug, Clone, Default)]
struct VersionHistory {
    seen: BTreeMap<PoolName, BTreeMap<SoftwareVersion, Sighting>>,
    /// Whether what the registry had recorded before is included.
    has_record: bool,
    /// Since when this node has seen each version.
    watched_since: Time,
    /// Until when it knew all endpoints, if it ever did.
    confirmed: Option<Time>,
    /// The sets that this node last read or wrote.
    recorded: Option<VersionSets>,
    /// Whether the registry may have lost them.
    must_rewrite: bool,
}

impl VersionHistory {
    /// Returns the earliest time at which a version that is heard of now can have been
    /// registered.
    ///
    /// A node that has just started is taken for one in touch, since streams begin at the
    /// version only after all nodes have heard of it.
    fn earliest_registration(&self, now: Time) -> Time {
        self.confirmed.unwrap_or(now - HEARING_TIME)
    }
}

#[derive(Debug, Clone)]
struct Entry {
    origin: Origin,
    since: Time,
    /// Whether this node relayed the first event.
    own: bool,
    /// The keepers that were told of it.
    reported: BTreeSet<SocketAddr>,
}

/// The origins of streams, and the versions of services.
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    entries: BTreeMap<StreamId, Entry>,
    /// The streams of this node that their keepers may have to be told of.
    unreported: BTreeSet<StreamId>,
    /// The streams whose origins this node may have to save.
    unsaved: BTreeSet<StreamId>,
    history: VersionHistory,
    last_sweep: Time,
    last_save: Time,
}

impl StreamOrigins {
    /// Records the versions of all endpoints of a service that exist, or did
    /// until now.
    pub fn record_versions(
        &mut self,
        now: Time,
        service: &PoolName,
        versions: &BTreeSet<SoftwareVersion>,
    ) {
        let earliest = self.history.earliest_registration(now);
        let seen = self.history.seen.entry(service.clone()).or_default();
        for version in versions {
            if let Some(sighting) = seen.get_mut(version) {
                sighting.last = now;
            }
        }
        seen.retain(|_, s| is_recent(now, s.last));
        for version in versions {
            seen.entry(version.clone()).or_insert(Sighting {
                first: now,
                earliest,
                last: now,
                open: false,
            });
        }
    }

    /// Records that this node knew all endpoints that had registered by `at`.
    ///
    /// If it knew this of no time in the `stale_after` before, versions may have come and
    /// gone in between.
    pub fn confirm_endpoints(&mut self, now: Time, at: Time, stale_after: Duration) {
        let before = self.history.confirmed;
        self.history.confirmed = before.max(Some(at));
        if before.is_some_and(|before| at.since(before) > stale_after) {
            self.mark_unwatched(now);
        }
    }

    /// Applies the versions that the registry has recorded.
    ///
    /// Their endpoints may have existed until this node started.
    pub fn apply_record(&mut self, now: Time, sets: VersionSets) {
        self.history.has_record = true;
        for (service, versions) in &sets {
            let seen = self.history.seen.entry(service.clone()).or_default();
            for version in versions {
                // A record that is read again is no news of a version that has left.
                let sighting = seen.entry(version.clone()).or_insert(Sighting {
                    first: now,
                    earliest: now,
                    last: now,
                    open: true,
                });
                sighting.open = true;
            }
        }
        self.history.recorded = Some(sets);
    }

    /// Records that a write of the versions failed.
    pub const fn on_record_failed(&mut self) {
        self.history.must_rewrite = true;
    }

    /// Records that the registry may have lost what nodes wrote: the versions, and the
    /// origins of streams.
    ///
    /// A list or a write that was under way at that moment shows nothing of it.
    pub fn mark_unrecorded(&mut self) {
        self.history.must_rewrite = true;
        self.unsaved.extend(self.entries.keys());
    }

    /// Records that streams may have begun at a version.
    pub fn record_open(&mut self, now: Time, service: &PoolName, version: &SoftwareVersion) {
        let seen = self.history.seen.entry(service.clone()).or_default();
        let sighting = seen.entry(version.clone()).or_insert(Sighting {
            first: now,
            earliest: now,
            last: now,
            open: true,
        });
        sighting.last = now;
        sighting.open = true;
    }

    /// Returns the versions of a service at which no stream may begin yet, since the
    /// registry has not recorded them: after a loss of all nodes they would be taken for
    /// unused.
    ///
    /// If it has recorded none of the service, none has to wait.
    #[must_use]
    pub fn closed_versions(&self, service: &PoolName) -> BTreeSet<SoftwareVersion> {
        let Some(seen) = self.history.seen.get(service) else {
            return BTreeSet::new();
        };
        let closed = seen.iter().filter(|(_, s)| !s.open);
        let closed: BTreeSet<SoftwareVersion> = closed.map(|(v, _)| v.clone()).collect();
        if closed.len() == seen.len() {
            return BTreeSet::new();
        }
        closed
    }

    /// Returns when this node first heard of a version.
    #[must_use]
    pub fn first_heard(&self, service: &PoolName, version: &SoftwareVersion) -> Option<Time> {
        let seen = self.history.seen.get(service)?;
        Some(seen.get(version)?.first)
    }

    /// Returns the versions of a service at which streams may have begun within
    /// [`ORIGIN_RETENTION`].
    fn begun_versions(
        &self,
        now: Time,
        service: &PoolName,
        current: &BTreeSet<SoftwareVersion>,
    ) -> BTreeSet<&SoftwareVersion> {
        let is_current = |v| current.contains(v);
        let seen = self.history.seen.get(service);
        let seen = seen.into_iter().flatten();
        let seen = seen.filter(|(v, s)| is_recent(now, s.last) || is_current(v));
        // Until one is recorded, streams begin at all versions of the service.
        let recorded = self.history.recorded.as_ref();
        let is_recorded = recorded.is_some_and(|sets| sets.contains_key(service));
        let may_be_used =
            |s: &Sighting| !is_recorded || s.open || now.since(s.earliest) >= UNUSED_PERIOD;
        let begun = seen.clone().filter(|(_, s)| may_be_used(s));
        let begun: BTreeSet<&SoftwareVersion> = begun.map(|(v, _)| v).collect();
        if begun.is_empty() {
            return seen.map(|(v, _)| v).collect();
        }
        begun
    }

    /// Returns whether the origins of a service's streams have to be kept: it has
    /// several versions, or possibly some that this node does not know.
    ///
    /// `current` has the versions of its endpoints that are known.
    #[must_use]
    pub fn needs_tracking(
        &self,
        now: Time,
        service: &PoolName,
        current: &BTreeSet<SoftwareVersion>,
    ) -> bool {
        let seen = self.history.seen.get(service);
        let seen = seen.into_iter().flatten();
        let seen = seen.filter(|(v, s)| is_recent(now, s.last) || current.contains(*v));
        seen.count() > 1 || !self.is_complete(now)
    }

    fn is_complete(&self, now: Time) -> bool {
        let watched = now.since(self.history.watched_since);
        self.history.has_record || watched >= ORIGIN_RETENTION
    }

    /// Records that versions may have come and gone without this node's notice.
    pub const fn mark_unwatched(&mut self, now: Time) {
        self.history.has_record = false;
        self.history.watched_since = now;
    }

    /// Returns whether the registry's record of versions has to be read.
    #[must_use]
    pub fn lacks_record(&self, now: Time) -> bool {
        let all = self.history.seen.values().flat_map(BTreeMap::values);
        let mut unrecorded = all.filter(|s| !s.open && is_recent(now, s.last));
        !self.history.has_record || unrecorded.any(|s| now.since(s.first) >= RECORD_WAIT)
    }

    /// Returns the versions to record in the registry, if they have changed.
    ///
    /// `current` has the versions of the endpoints that are known, `usable` those of
    /// endpoints that may get calls. If no stream can begin before a version is recorded,
    /// it is due at once.
    pub fn versions_to_record(
        &mut self,
        now: Time,
        current: &VersionSets,
        usable: &VersionSets,
    ) -> Option<VersionSets> {
        if !self.history.has_record {
            return None;
        }
        for (service, versions) in current {
            self.record_versions(now, service, versions);
        }
        let mut sets = VersionSets::new();
        for (service, seen) in &self.history.seen {
            let recent = seen.iter().filter(|(_, s)| is_recent(now, s.last));
            let mut open = recent.clone().filter(|(_, s)| s.open);
            let is_urgent = match usable.get(service) {
                Some(usable) => !open.any(|(v, _)| usable.contains(v)),
                None => open.next().is_none(),
            };
            let is_due = |s: &Sighting| s.open || now.since(s.first) >= RECORD_DELAY;
            let due = recent.filter(|(_, s)| is_urgent || is_due(s));
            let versions: BTreeSet<SoftwareVersion> = due.map(|(v, _)| v.clone()).collect();
            if !versions.is_empty() {
                sets.insert(service.clone(), versions);
            }
        }
        // A service without endpoints keeps the versions of its last ones.
        let covers = |recorded: &VersionSets| {
            sets.iter()
                .all(|(s, versions)| recorded.get(s) == Some(versions))
        };
        let is_recorded = self.history.recorded.as_ref().is_some_and(covers);
        let is_recorded = is_recorded && !self.history.must_rewrite;
        if is_recorded || sets.is_empty() {
            return None;
        }
        self.history.must_rewrite = false;
        Some(sets)
    }

    /// Returns the versions of a service within [`ORIGIN_RETENTION`].
    ///
    /// `current` has the versions of its endpoints that are known.
    #[must_use]
    pub fn recent_versions(
        &self,
        now: Time,
        service: &PoolName,
        current: &BTreeSet<SoftwareVersion>,
    ) -> RecentVersions {
        let begun = self.begun_versions(now, service, current);
        let mut begun = begun.into_iter();
        match (begun.next(), begun.next()) {
            (Some(only), None) if self.is_complete(now) => RecentVersions::Sole(only.clone()),
            _ => RecentVersions::Several,
        }
    }

    /// Records a stream whose first event this node relays.
    pub fn begin(&mut self, now: Time, stream: StreamId, origin: Origin) {
        self.record_open(now, &origin.service, &origin.version);
        self.insert(now, stream, origin, true);
        self.unreported.insert(stream);
    }

    /// Records a stream that another node has begun, and that this one keeps.
    pub fn keep(&mut self, now: Time, stream: StreamId, origin: Origin) {
        // A node that is behind may not have heard of this version yet.
        self.record_open(now, &origin.service, &origin.version);
        self.insert(now, stream, origin, false);
        self.unsaved.insert(stream);
    }

    /// Records an origin that another node has saved.
    pub fn on_loaded(&mut self, now: Time, stream: StreamId, origin: Origin) {
        if self.get(now, stream).is_none() {
            self.insert(now, stream, origin, false);
        }
    }

    fn insert(&mut self, now: Time, stream: StreamId, origin: Origin, own: bool) {
        self.sweep(now);
        let held = self.entries.get(&stream);
        let entry = Entry {
            own: own || held.is_some_and(|h| h.own),
            reported: held
                .filter(|_| !own)
                .map(|h| h.reported.clone())
                .unwrap_or_default(),
            since: now,
            origin,
        };
        self.entries.insert(stream, entry);
    }

    /// Returns where a stream began, if this node knows.
    #[must_use]
    pub fn get(&self, now: Time, stream: StreamId) -> Option<&Origin> {
        let entry = self.entries.get(&stream)?;
        is_recent(now, entry.since).then_some(&entry.origin)
    }

    /// Returns what this node can say of a stream of `service` as its keeper.
    ///
    /// `stream` is `None` if its caller does not name it. A node whose replica
    /// of the endpoints is stale can't tell that there is no other version.
    #[must_use]
    pub fn answer(
        &self,
        now: Time,
        stream: Option<StreamId>,
        (service, current): (&PoolName, &BTreeSet<SoftwareVersion>),
        is_stale: bool,
    ) -> OriginAnswer {
        if let Some(origin) = stream.and_then(|s| self.get(now, s)) {
            return OriginAnswer::Known(origin.clone());
        }
        match self.recent_versions(now, service, current) {
            RecentVersions::Sole(version) if !is_stale => OriginAnswer::Sole(version),
            RecentVersions::Sole(_) | RecentVersions::Several => OriginAnswer::Unknown,
        }
    }

    /// Requeues the streams of this node that have a new keeper.
    pub fn requeue_moved(&mut self, keepers: &OriginKeepers) {
        let own = self.entries.iter().filter(|(_, e)| e.own);
        let moved = own.filter(|(stream, e)| {
            let is_reported = |node: &SocketAddr| e.reported.contains(node);
            !keepers.of(**stream).iter().all(is_reported)
        });
        self.unreported.extend(moved.map(|(stream, _)| *stream));
    }

    /// Takes the streams of this node that their keepers have to be told of.
    ///
    /// `is_needed` returns whether the streams of a service need to be kept, and
    /// `can_report` whether a node can be told now.
    pub fn take_unreported(
        &mut self,
        now: Time,
        is_needed: impl Fn(&PoolName) -> bool,
        keepers: &OriginKeepers,
        mut can_report: impl FnMut(SocketAddr) -> bool,
    ) -> BTreeMap<SocketAddr, Vec<(StreamId, Origin)>> {
        self.sweep(now);
        let mut taken: BTreeMap<SocketAddr, Vec<(StreamId, Origin)>> = BTreeMap::new();
        let entries = &mut self.entries;
        self.unreported.retain(|stream| {
            let Some(entry) = entries.get_mut(stream) else {
                return false;
            };
            if !is_needed(&entry.origin.service) {
                return true;
            }
            let nodes = keepers.of(*stream);
            for node in nodes {
                if entry.reported.contains(node) || !can_report(*node) {
                    continue;
                }
                let streams = taken.entry(*node).or_default();
                if streams.len() < BATCH_MAX {
                    entry.reported.insert(*node);
                    streams.push((*stream, entry.origin.clone()));
                }
            }
            !nodes.iter().all(|node| entry.reported.contains(node))
        });
        taken
    }

    /// Records that a node may not have received what it was told.
    pub fn on_link_lost(&mut self, node: SocketAddr) {
        for (stream, entry) in &mut self.entries {
            if entry.reported.remove(&node) {
                self.unreported.insert(*stream);
            }
        }
    }

    /// Returns when origins have to be saved next; [`Time::NEVER`] if there are
    /// none to save.
    #[must_use]
    pub fn next_save(&self) -> Time {
        if self.unsaved.is_empty() {
            Time::NEVER
        } else {
            self.last_save + SAVE_INTERVAL
        }
    }

    /// Takes the origins to save in the registry, if it is time.
    ///
    /// `is_needed` returns whether the streams of a service need to be kept, and
    /// `is_first` whether this node is the first keeper of a stream. The second
    /// one saves what the first has had no time for if it is lost.
    pub fn take_unsaved(
        &mut self,
        now: Time,
        is_needed: impl Fn(&PoolName) -> bool,
        is_first: impl Fn(StreamId) -> bool,
    ) -> Vec<(StreamId, Origin)> {
        let mut taken = Vec::new();
        if now < self.next_save() {
            return taken;
        }
        self.last_save = now;
        let entries = &self.entries;
        self.unsaved.retain(|stream| {
            let entry = entries.get(stream);
            let Some(entry) = entry.filter(|e| is_needed(&e.origin.service)) else {
                return false;
            };
            if !is_first(*stream) {
                return now.since(entry.since) < TAKEOVER_PERIOD;
            }
            if taken.len() >= BATCH_MAX {
                return true;
            }
            taken.push((*stream, entry.origin.clone()));
            false
        });
        taken
    }

    /// Records that origins could not be saved; they are taken again.
    pub fn on_save_failed(&mut self, streams: impl IntoIterator<Item = StreamId>) {
        self.unsaved.extend(streams);
    }

    /// Returns the number of streams whose origins this node holds.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether this node holds no origins.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn sweep(&mut self, now: Time) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL && self.entries.len() < ORIGINS_MAX {
            return;
        }
        self.last_sweep = now;
        self.entries.retain(|_, e| is_recent(now, e.since));
        let entries = &self.entries;
        self.unreported
            .retain(|stream| entries.contains_key(stream));
        self.unsaved.retain(|stream| entries.contains_key(stream));
        if self.entries.len() >= ORIGINS_MAX {
            // The oldest half yields, so that this does not run for each stream.
            let mut ages: Vec<Time> = self.entries.values().map(|e| e.since).collect();
            ages.sort_unstable();
            let middle = ages[ages.len() / 2];
            self.entries.retain(|_, e| e.since > middle);
        }
    }
}

fn is_recent(now: Time, at: Time) -> bool {
    now.since(at) < ORIGIN_RETENTION
}
