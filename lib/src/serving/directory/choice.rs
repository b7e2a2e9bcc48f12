//! The choice among the endpoints of a service.

use std::collections::BTreeSet;
use std::time::Duration;

use rapidhash::v3::rapidhash_v3_seeded;

use super::Endpoint;
use super::Entry;
use super::SECRETS;
use super::speeds::TypicalSlowness;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::ids::PoolName;
use crate::ids::SoftwareVersion;
use crate::serving::homes::Homes;
use crate::time::Time;

/// The bound on the load of an endpoint that holds a prefix, relative to the
/// mean.
///
/// Bounded-load hashing: at a quarter above the mean a hot key spills to its
/// next endpoint, while keys of usual load stay together.
const BOUND_RATIO: f32 = 1.25;

/// The calls above the mean at which spilling begins.
///
/// A handful of running calls costs less than reading a shared prefix again.
const BOUND_SLACK: f32 = 6.0;

/// The ratio to the slowness of its peers above which an endpoint loses its
/// prefixes.
const SLOW_RATIO: f32 = 2.5;

/// The cost of another failure domain, in calls.
///
/// At half a call an idle local endpoint is preferred to an idle remote one,
/// but a busy local one is not.
const REMOTE_COST: f32 = 0.5;

/// The fraction of its slots up to which an endpoint gets new streams while its
/// service has several versions and others have room.
///
/// New streams can start at any version; those that continue have only the
/// endpoints of their own.
const NEW_STREAMS_FRACTION: f32 = 0.75;

/// The software versions at which a call may run.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum VersionRule {
    /// Any version.
    #[default]
    Any,
    /// Any version, since the call starts a stream that may continue elsewhere.
    NewStream {
        /// The versions at which no stream may begin yet.
        closed: BTreeSet<SoftwareVersion>,
    },
    /// The version at which the stream began.
    At(SoftwareVersion),
}

/// The requirements of a call on its endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointCriteria<'a> {
    /// The service.
    pub service: &'a PoolName,
    /// Endpoints to avoid unless there is no other.
    pub avoid: &'a [EndpointId],
    /// The preferred failure domain, if any.
    pub domain: Option<&'a FailureDomain>,
    /// Whether other failure domains are used only if the preferred one has no
    /// usable endpoint.
    pub strict: bool,
    /// The hash of the prompt's shared prefix; `None` if reuse is not
    /// worthwhile.
    pub prefix: Option<u64>,
    /// The regions in which the call may run.
    pub homes: &'a Homes,
    /// Whether cold endpoints are left out.
    pub warm_only: bool,
    /// Whether endpoints that name a rate are left out.
    pub unlimited_only: bool,
    /// The versions at which the call may run.
    pub versions: &'a VersionRule,
}

/// Why the endpoints of a service get no calls, although some are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailable {
    /// None is in a region where the request may be served.
    OutsideHomes,
    /// All are in evacuated failure domains.
    Evacuated,
    /// All that are left have asked this node for a rest.
    Resting,
    /// All are cold.
    Cold,
}

/// The reason why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum Reason {
    /// It has the least load.
    #[display("least-load")]
    LeastLoad,
    /// It ranks first for the prompt's prefix.
    #[display("prefix")]
    Prefix,
    /// The endpoint that ranks first for the prefix is full, slow or
    /// unavailable.
    #[display("prefix-spill")]
    Spill,
    /// The node that books the service's requests chose it.
    #[display("booked")]
    Booked,
    /// All endpoints are paused; this one has the least load.
    #[display("last-resort")]
    LastResort,
}

/// An endpoint chosen for a call.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Its registration.
    pub entry: Entry,
    /// The reason for the choice.
    pub reason: Reason,
    /// Its estimated number of calls.
    pub calls: f32,
    /// The age of its last load report.
    pub report_age: Duration,
    /// Whether it is cold.
    pub cold: bool,
    /// Whether it names a rate.
    pub limited: bool,
}

/// Leaves out endpoints that a new stream may not get: those of closed versions and,
/// while there are others, of several versions those that are nearly full.
pub(in crate::serving) fn prefer_for_new(
    pool: &mut Vec<&Endpoint>,
    versions: &VersionRule,
    calls: impl Fn(&Endpoint) -> f32,
) {
    let VersionRule::NewStream { closed } = versions else {
        return;
    };
    let first = pool.first().map(|e| &e.entry.version);
    let is_mixed = pool.iter().any(|e| Some(&e.entry.version) != first);
    pool.retain(|e| !closed.contains(&e.entry.version));
    if !is_mixed {
        return;
    }
    let has_room = |e: &&Endpoint| calls(e) < e.entry.slots as f32 * NEW_STREAMS_FRACTION;
    if pool.iter().any(has_room) {
        pool.retain(has_room);
    }
}

pub(super) fn choice(now: Time, endpoint: &Endpoint, reason: Reason) -> Choice {
    Choice {
        entry: endpoint.entry.clone(),
        reason,
        calls: endpoint.calls(now),
        report_age: endpoint.report_age(now),
        cold: endpoint.is_cold(now),
        limited: endpoint.rate_limit().is_some(),
    }
}

pub(super) fn least_loaded<'a>(
    now: Time,
    pool: &[&'a Endpoint],
    criteria: EndpointCriteria<'_>,
) -> Option<&'a Endpoint> {
    let weighted_load = |e: &Endpoint| {
        let is_remote = criteria.domain.is_some_and(|d| e.entry.domain != *d);
        let slots = e.entry.slots.max(1) as f32;
        e.weighted_load(now) + if is_remote { REMOTE_COST / slots } else { 0.0 }
    };
    let ordered = |a: &&&Endpoint, b: &&&Endpoint| weighted_load(a).total_cmp(&weighted_load(b));
    pool.iter().min_by(ordered).copied()
}

/// Returns the best-ranked endpoint of a prefix that is not full, slow or
/// failing.
pub(super) fn choose_bounded<'a>(now: Time, pool: &[&'a Endpoint], prefix: u64) -> &'a Endpoint {
    let mut ranked: Vec<&Endpoint> = pool.to_vec();
    ranked.sort_by_key(|e| std::cmp::Reverse(rank(prefix, &e.entry.id)));
    let count = ranked.len().max(1) as f32;
    let calls: f32 = ranked.iter().map(|e| e.calls(now)).sum();
    let bound = BOUND_RATIO * calls / count + BOUND_SLACK;
    let typical = TypicalSlowness::of(now, &ranked);
    let failures = median(ranked.iter().map(|e| e.health.failure_rate(now)).collect());
    let fits = |e: &&&Endpoint| {
        let slow = typical
            .is_slow(now, e)
            .unwrap_or_else(|| e.health.slowness(now) > SLOW_RATIO * typical.all);
        let failing = e.health.failure_rate(now) > failures + 0.3;
        e.calls(now) < bound && !slow && !failing
    };
    let first = ranked.iter().find(fits).or_else(|| ranked.first());
    let Some(endpoint) = first else {
        unreachable!("the caller has at least one endpoint");
    };
    endpoint
}

pub(in crate::serving) fn median(mut values: Vec<f32>) -> f32 {
    values.sort_by(f32::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(1.0)
}

pub(in crate::serving) fn rank(prefix: u64, id: &EndpointId) -> u64 {
    let mut text = prefix.to_le_bytes().to_vec();
    text.extend_from_slice(id.as_str().as_bytes());
    rapidhash_v3_seeded(&text, &SECRETS)
}
