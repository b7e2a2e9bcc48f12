//! Work that waits at a service, by when it should be done.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::time::Time;

/// The length of the intervals by which due times are grouped.
const BUCKET: Duration = Duration::from_millis(500);

/// The number of intervals; work due later counts as due in the last one.
///
/// Callers wait for 15 s at most on known deployments.
const BUCKETS: usize = 32;

/// The number of priorities that are told apart; less urgent ones count as the last.
pub const PRIORITIES: usize = 4;

/// How long the report of another node is used.
///
/// A report comes at least once a second; this tolerates half of that in delays.
pub const REPORT_AGE_MAX: Duration = Duration::from_millis(1_500);

/// The fraction of a service's capacity that reserved places may take from new requests.
///
/// Not all callers return: without the bound, places of those that left would stay empty.
const RESERVED_FRACTION_MAX: f64 = 0.5;

/// The most groups of waiting work in a report: all intervals and priorities.
pub const GROUPS_MAX: usize = (BUCKETS + 1) * PRIORITIES;

/// Items, or prompt tokens of a model, by due interval and priority.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Work(BTreeMap<(u64, u8), f64>);

impl Work {
    /// Adds work that is due at a time.
    pub fn add(&mut self, due: Time, priority: u8, amount: f64) {
        *self.0.entry(group(due, priority)).or_default() += amount;
    }

    /// Removes work that was added.
    pub fn remove(&mut self, due: Time, priority: u8, amount: f64) {
        let group = group(due, priority);
        if let Some(left) = self.0.get_mut(&group) {
            *left -= amount;
            if *left < 1e-6 {
                self.0.remove(&group);
            }
        }
    }

    /// Returns the groups: the end of the interval, the priority and the amount.
    pub fn groups(&self) -> impl Iterator<Item = (Time, u8, f64)> + '_ {
        let end = |bucket: u64| Time::from_micros((bucket + 1) * BUCKET.as_micros() as u64 - 1);
        self.0.iter().map(move |(&(b, p), &n)| (end(b), p, n))
    }

    /// Returns whether there is no work.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds the work at least as urgent as `priority` to sums by due interval.
    fn sum_into(&self, first: u64, priority: u8, sums: &mut [f64; BUCKETS]) {
        for (&(bucket, of), &amount) in &self.0 {
            if of <= priority {
                let index = bucket.saturating_sub(first).min(BUCKETS as u64 - 1);
                sums[index as usize] += amount;
            }
        }
    }
}

/// What waits at a service, as its owner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// When the owner made it, on the clock of the receiver.
    pub at: Time,
    /// The items or tokens per second that the service can do.
    pub rate: f64,
    /// The work that waits.
    pub work: Work,
}

/// Work of a request at one service.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand {
    pub(super) amount: f64,
    pub(super) due: Time,
    pub(super) priority: u8,
    /// The part of the rate that is left by work that goes first and is yet to come.
    pub(super) rate_fraction: f64,
    /// Whether reserved places go first.
    pub(super) after_reserved: bool,
}

/// The known load of a service.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceLoad {
    pub(super) report: Option<LoadReport>,
    /// Work accepted here that is not in the report.
    pub(super) recent: Work,
    /// Work of reserved places.
    pub(super) reserved: Work,
}

impl ServiceLoad {
    /// Returns whether work can be done by its due time and leaves other work in time.
    ///
    /// With an unknown load it can.
    pub(super) fn fits(&self, now: Time, demand: Demand) -> bool {
        let Some(report) = self.usable_report(now) else {
            return true;
        };
        let first = bucket_of(now);
        let (waiting, reserved) = self.sums(now, report, demand);
        let ahead: f64 = waiting.iter().chain(&reserved).sum();
        // An idle service serves any request, however slow it seems.
        if ahead <= 0.0 {
            return true;
        }
        let own = bucket_of(demand.due)
            .saturating_sub(first)
            .min(BUCKETS as u64 - 1) as usize;
        let (mut waiting_due, mut reserved_due) = (0.0, 0.0);
        for index in 0..BUCKETS {
            waiting_due += waiting[index];
            reserved_due += reserved[index];
            if index < own {
                continue;
            }
            let (end, fraction) = if index == own {
                (demand.due, demand.rate_fraction)
            } else {
                let next = (first + index as u64 + 1) * BUCKET.as_micros() as u64;
                (Time::from_micros(next), 1.0)
            };
            let capacity = report.rate * fraction * end.since(now).as_secs_f64();
            let before = waiting_due + reserved_due.min(RESERVED_FRACTION_MAX * capacity);
            // What is overdue already does not count against others.
            let is_lost = index > own && before > capacity;
            if !is_lost && before + demand.amount > capacity {
                return false;
            }
        }
        true
    }

    /// Returns the time until the work ahead is done: what waits, and reserved places.
    pub(super) fn drain_time(&self, now: Time, demand: Demand) -> (Duration, Duration) {
        let Some(report) = self.usable_report(now) else {
            return (Duration::ZERO, Duration::ZERO);
        };
        let (waiting, reserved) = self.sums(now, report, demand);
        let rate = (report.rate * demand.rate_fraction).max(1e-3);
        let time = |sums: [f64; BUCKETS]| {
            let seconds = sums.iter().sum::<f64>() / rate;
            Duration::from_secs_f64(seconds.clamp(0.0, 3_600.0))
        };
        (time(waiting), time(reserved))
    }

    /// Returns the waiting and the reserved work that goes first, by due interval.
    fn sums(
        &self,
        now: Time,
        report: &LoadReport,
        demand: Demand,
    ) -> ([f64; BUCKETS], [f64; BUCKETS]) {
        let first = bucket_of(now);
        let mut waiting = [0.0; BUCKETS];
        report.work.sum_into(first, demand.priority, &mut waiting);
        let mut done = report.rate * now.since(report.at).as_secs_f64();
        for sum in &mut waiting {
            let part = sum.min(done);
            *sum -= part;
            done -= part;
        }
        self.recent.sum_into(first, demand.priority, &mut waiting);
        let mut reserved = [0.0; BUCKETS];
        if demand.after_reserved {
            self.reserved
                .sum_into(first, demand.priority, &mut reserved);
        }
        (waiting, reserved)
    }

    fn usable_report(&self, now: Time) -> Option<&LoadReport> {
        let report = self.report.as_ref()?;
        let is_recent = now.since(report.at) <= REPORT_AGE_MAX;
        (is_recent && report.rate.is_finite() && report.rate > 0.0).then_some(report)
    }
}

fn group(due: Time, priority: u8) -> (u64, u8) {
    (bucket_of(due), priority.min(PRIORITIES as u8 - 1))
}

const fn bucket_of(at: Time) -> u64 {
    at.as_micros() / BUCKET.as_micros() as u64
}
