//! The ends of endpoints, and which suspect explains them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::suspect::Casualty;
use super::suspect::Fingerprint;
use super::suspect::Suspect;
use crate::serving::endpoint_loss::Incarnation;
use crate::time::Time;

/// The number of lost endpoints after which a suspect may be quarantined.
///
/// A failing host or rack takes down one or two endpoints of a request.
pub const END_THRESHOLD: usize = 3;

/// The number of lost endpoints after which one of several parts that had the same endpoints is
/// chosen, if all requests with it had the other part as well.
pub const AMBIGUOUS_ENDS: usize = 5;

/// The same for parts that different requests had.
///
/// Only one of them crashes endpoints, so that further ends tell them apart.
const SEPARABLE_ENDS: usize = 8;

/// The ends that are needed if a part has at least so many percent of the ends of its time, the
/// greatest share first.
///
/// The more ends have another cause, the likelier a part was only present at its ends.
const NEEDED_BY_PERCENT: [(usize, usize); 3] = [(80, 4), (50, 5), (33, 6)];

/// How long a request with enough ends waits for a part that has the same ends and may need more.
const REQUEST_WAIT: Duration = Duration::from_secs(1);

/// The time within which the reports of all nodes on an end arrive.
///
/// A probe of the endpoint takes up to 0.1 s.
pub const SETTLE_TIME: Duration = Duration::from_millis(250);

/// The time after the begin of an answer within which a part crashes the endpoint.
///
/// An answer that goes on for longer shows that none of the parts does so.
pub const CRASH_DELAY_MAX: Duration = Duration::from_secs(1);

/// How long an end counts.
///
/// This is long compared to the retry interval of callers.
pub(super) const RETENTION: Duration = Duration::from_mins(10);

/// The time within which two ends of an endpoint without a start time are one.
const SAME_END_TIME: Duration = Duration::from_millis(1_500);

/// The maximum number of ends that are remembered.
const ENDS_MAX: usize = 1_024;

/// The maximum number of suspects of all ends that are remembered.
const SUSPECTS_MAX: usize = 32_768;

/// The end of an endpoint, with requests that the endpoint had.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndReport {
    /// When it ended.
    pub at: Time,
    /// The endpoint.
    pub incarnation: Incarnation,
    /// The requests that it had from the node that reports the end.
    pub casualties: Vec<Casualty>,
}

#[derive(Debug, Clone)]
struct End {
    at: Time,
    incarnation: Incarnation,
    casualties: Vec<Casualty>,
    /// The quarantined suspect that the endpoint had.
    explained: Option<Suspect>,
}

/// The ends that a node counts.
#[derive(Debug, Clone, Default)]
pub(super) struct EndLog {
    /// By number, oldest first.
    ends: BTreeMap<u64, End>,
    /// The ends of each suspect that no answer has cleared.
    by_suspect: BTreeMap<Suspect, BTreeSet<u64>>,
    next: u64,
    /// The number of suspects of all ends.
    suspects: usize,
}

impl EndLog {
    /// Adds a reported end, without the suspects that are cleared.
    pub(super) fn record(&mut self, report: &EndReport, is_cleared: impl Fn(Suspect) -> bool) {
        let number = self.number_of(report);
        let end = self.ends.entry(number).or_insert_with(|| End {
            at: report.at,
            incarnation: report.incarnation.clone(),
            casualties: Vec::new(),
            explained: None,
        });
        for casualty in &report.casualties {
            if end.casualties.iter().any(|c| c.request == casualty.request) {
                continue;
            }
            self.suspects += 1 + casualty.parts.len();
            for suspect in casualty.suspects().filter(|&s| !is_cleared(s)) {
                self.by_suspect.entry(suspect).or_default().insert(number);
            }
            end.casualties.push(casualty.clone());
        }
        while self.ends.len() > ENDS_MAX || self.suspects > SUSPECTS_MAX && self.ends.len() > 1 {
            self.remove_oldest();
        }
    }

    fn number_of(&mut self, report: &EndReport) -> u64 {
        let is_same = |end: &End| {
            let apart = report.at.since(end.at).max(end.at.since(report.at));
            let known_start = report.incarnation.started_at.is_some();
            end.incarnation == report.incarnation && (known_start || apart < SAME_END_TIME)
        };
        let known = self.ends.iter().rev().find(|(_, end)| is_same(end));
        known.map_or_else(
            || {
                self.next += 1;
                self.next
            },
            |(&number, _)| number,
        )
    }

    fn remove_oldest(&mut self) {
        if let Some((number, end)) = self.ends.pop_first() {
            for casualty in &end.casualties {
                self.suspects -= 1 + casualty.parts.len();
                for suspect in casualty.suspects() {
                    self.remove_from(suspect, number);
                }
            }
        }
    }

    fn remove_from(&mut self, suspect: Suspect, number: u64) {
        if let Some(ends) = self.by_suspect.get_mut(&suspect) {
            ends.remove(&number);
            if ends.is_empty() {
                self.by_suspect.remove(&suspect);
            }
        }
    }

    /// Removes ends that happened too long ago.
    pub(super) fn sweep(&mut self, now: Time) {
        let is_old = |end: &End| now.since(end.at) >= RETENTION;
        while self.ends.first_key_value().is_some_and(|(_, e)| is_old(e)) {
            self.remove_oldest();
        }
    }

    /// Removes a suspect from the ends until `at`.
    pub(super) fn clear(&mut self, suspect: Suspect, at: Time) {
        let ends = self.by_suspect.get(&suspect).cloned().unwrap_or_default();
        for number in ends {
            if self.ends.get(&number).is_none_or(|end| end.at <= at) {
                self.remove_from(suspect, number);
            }
        }
    }

    /// Marks the ends of a suspect as explained by it.
    pub(super) fn explain(&mut self, suspect: Suspect) {
        let open: Vec<u64> = self.open_ends(suspect).map(|(number, _)| number).collect();
        for number in open {
            if let Some(end) = self.ends.get_mut(&number) {
                end.explained = Some(suspect);
            }
        }
    }

    /// Returns the number of suspects that have ends.
    pub(super) fn suspect_count(&self) -> usize {
        self.by_suspect.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the endpoints that ended under a suspect, oldest first.
    pub(super) fn endpoints(&self, suspect: Suspect) -> impl Iterator<Item = &Incarnation> {
        let ends = self.by_suspect.get(&suspect).into_iter().flatten();
        ends.filter_map(|number| Some(&self.ends.get(number)?.incarnation))
    }

    /// Returns the first end that counts for a suspect.
    pub(super) fn first_end(&self, suspect: Suspect) -> Option<Time> {
        self.open_ends(suspect).map(|(_, end)| end.at).min()
    }

    /// Returns the suspects with at least `count` ends that count for them, of those that
    /// `is_open`.
    pub(super) fn with_ends(
        &self,
        count: usize,
        is_open: impl Fn(Suspect) -> bool,
    ) -> Vec<(usize, Suspect)> {
        let candidates = self.by_suspect.iter();
        let candidates = candidates.filter(|(s, e)| e.len() >= count && is_open(**s));
        let counted = candidates.map(|(&s, _)| (self.count(s, Time::NEVER), s));
        counted.filter(|(n, _)| *n >= count).collect()
    }

    /// Returns the suspect that explains its ends better than all others, of those that
    /// `is_eligible`, by the ends before `settled`.
    pub(super) fn culprit(
        &self,
        settled: Time,
        is_eligible: impl Fn(Suspect) -> bool,
    ) -> Option<Suspect> {
        let many = self.by_suspect.iter();
        let many = many.filter(|(_, ends)| ends.len() >= END_THRESHOLD);
        let many = many.map(|(&s, _)| s).filter(|&s| is_eligible(s));
        let rivals: BTreeMap<Suspect, BTreeSet<u64>> =
            many.map(|s| (s, self.open_numbers(s))).collect();
        let has_enough = |s: &Suspect| {
            let ends = self.settled_ends(*s, settled).len();
            self.count(*s, settled) >= END_THRESHOLD && ends >= self.needed(*s, settled)
        };
        let candidates: BTreeSet<Suspect> = rivals.keys().copied().filter(has_enough).collect();
        let is_beaten = |s: &Suspect| {
            let waits = self.waits_for_parts(*s, settled);
            let counts = |rival: &Suspect| rival != s && (waits || candidates.contains(rival));
            let rivals = rivals.iter().filter(|(rival, _)| counts(rival));
            self.is_explained_by(*s, rivals)
        };
        candidates.iter().copied().find(|s| !is_beaten(s))
    }

    /// Returns whether other suspects explain all ends of a suspect better.
    ///
    /// Few suspects with many ends each are likelier than many with few.
    fn is_explained_by<'a>(
        &self,
        suspect: Suspect,
        rivals: impl Iterator<Item = (&'a Suspect, &'a BTreeSet<u64>)>,
    ) -> bool {
        let own = self.open_numbers(suspect);
        let mut unexplained = own.clone();
        for (&rival, ends) in rivals {
            if *ends == own {
                if self.is_narrower(rival, suspect) {
                    return true;
                }
            } else if ends.len() >= own.len() {
                unexplained.retain(|number| !ends.contains(number));
            }
        }
        unexplained.is_empty()
    }

    /// Returns whether a part that needs more ends may still turn out to be the cause instead of a
    /// suspect.
    fn waits_for_parts(&self, suspect: Suspect, settled: Time) -> bool {
        let mut ends: Vec<Time> = self.open_ends(suspect).map(|(_, end)| end.at).collect();
        ends.sort_unstable();
        let third = ends.get(END_THRESHOLD - 1).copied().unwrap_or(Time::NEVER);
        matches!(suspect, Suspect::Part(_)) || settled < third + REQUEST_WAIT
    }

    /// Returns whether a suspect is more specific than another one with the same ends, or they can't
    /// be told apart yet.
    fn is_narrower(&self, suspect: Suspect, other: Suspect) -> bool {
        let ends = self.open_numbers(suspect).len();
        if self.is_part_of(other, suspect) {
            return true;
        }
        if self.is_part_of(suspect, other) {
            return false;
        }
        let (requests, others) = (self.requests(suspect), self.requests(other));
        let needed = if requests.is_subset(&others) || others.is_subset(&requests) {
            AMBIGUOUS_ENDS
        } else {
            SEPARABLE_ENDS
        };
        let rank = |s, requests: usize| (requests, Reverse(self.place(s)), s);
        // Until then, both wait for an end that only one of them has.
        ends < needed || rank(suspect, requests.len()) < rank(other, others.len())
    }

    /// Returns whether a part is in the prompt of a request.
    fn is_part_of(&self, part: Suspect, request: Suspect) -> bool {
        let is_request = matches!(request, Suspect::Request(_));
        let last = self.open_ends(request).last();
        let casualty = last.and_then(|(_, end)| eligible(end, request).next());
        is_request && casualty.is_some_and(|c| c.involves(part))
    }

    /// Returns the requests with a suspect that its endpoints had.
    fn requests(&self, suspect: Suspect) -> BTreeSet<Fingerprint> {
        let casualties = self
            .open_ends(suspect)
            .flat_map(|(_, end)| eligible(end, suspect));
        casualties.map(|c| c.request).collect()
    }

    /// Returns the place of a part in the prompt of the last request with it.
    ///
    /// Later parts are more specific.
    fn place(&self, suspect: Suspect) -> usize {
        let Suspect::Part(part) = suspect else {
            return 0;
        };
        let last = self.open_ends(suspect).last();
        let casualty = last.and_then(|(_, end)| eligible(end, suspect).next());
        casualty.map_or(0, |c| c.parts.iter().position(|&p| p == part).unwrap_or(0))
    }

    /// Returns how many ends a suspect needs for a verdict.
    ///
    /// A request comes again by itself, so its ends are no coincidence.
    fn needed(&self, suspect: Suspect, settled: Time) -> usize {
        if matches!(suspect, Suspect::Request(_)) {
            return END_THRESHOLD;
        }
        let own: Vec<Time> = self.open_ends(suspect).map(|(_, end)| end.at).collect();
        let span = own.iter().min().zip(own.iter().max());
        let Some((&first, &last)) = span else {
            return usize::MAX;
        };
        let last = last.min(settled);
        let is_rival = |end: &&End| {
            let explained = end.explained.is_some_and(|by| by != suspect);
            let has_parts = end.casualties.iter().any(|c| !c.parts.is_empty());
            end.at >= first && end.at <= last && !explained && has_parts
        };
        let all = self.ends.values().filter(is_rival).count().max(1);
        let percent = 100 * own.iter().filter(|&&at| at <= last).count() / all;
        let step = NEEDED_BY_PERCENT
            .iter()
            .find(|(least, _)| percent >= *least);
        step.map_or(usize::MAX, |(_, needed)| *needed)
    }

    fn settled_ends(&self, suspect: Suspect, settled: Time) -> Vec<&End> {
        let ends = self.open_ends(suspect).map(|(_, end)| end);
        ends.filter(|end| end.at <= settled).collect()
    }

    fn open_numbers(&self, suspect: Suspect) -> BTreeSet<u64> {
        self.open_ends(suspect).map(|(number, _)| number).collect()
    }

    /// Returns the ends that count for a suspect, oldest first.
    fn open_ends(&self, suspect: Suspect) -> impl Iterator<Item = (u64, &End)> {
        let numbers = self.by_suspect.get(&suspect).into_iter().flatten();
        let ends = numbers.filter_map(|&number| Some((number, self.ends.get(&number)?)));
        ends.filter(move |(_, end)| match end.explained {
            Some(by @ Suspect::Part(_)) if by != suspect => self.covers(suspect, by),
            _ => eligible(end, suspect).next().is_some(),
        })
    }

    /// Returns whether a suspect has all ends of another one that explains them, and one that
    /// nothing explains.
    fn covers(&self, suspect: Suspect, explaining: Suspect) -> bool {
        let ends = |s: Suspect| self.by_suspect.get(&s);
        let Some((own, explained)) = ends(suspect).zip(ends(explaining)) else {
            return false;
        };
        let is_open = |number: &&u64| self.ends.get(number).is_some_and(|e| e.explained.is_none());
        own.is_superset(explained) && own.difference(explained).any(|number| is_open(&number))
    }

    /// Returns how many ends until `settled` count for a suspect.
    ///
    /// The ends of a part count only as far as they had different requests: a request that is sent
    /// again may crash each endpoint by itself.
    pub(super) fn count(&self, suspect: Suspect, settled: Time) -> usize {
        let ends = self.settled_ends(suspect, settled);
        if matches!(suspect, Suspect::Request(_)) {
            return ends.len();
        }
        if !is_sequence(&ends, suspect) {
            return ends.len().min(END_THRESHOLD - 1);
        }
        pair_up(&ends, suspect)
    }
}

/// Returns the requests of an end that count for a suspect.
///
/// If one request explains the end, the others were only present.
fn eligible(end: &End, suspect: Suspect) -> impl Iterator<Item = &Casualty> {
    let explained = end.explained;
    end.casualties.iter().filter(move |c| {
        let is_cause = match explained {
            Some(Suspect::Request(request)) => c.request == request,
            Some(Suspect::Part(_)) | None => true,
        };
        is_cause && c.involves(suspect)
    })
}

/// Returns whether a request was sent after the first of the ends.
///
/// Endpoints that end together, such as those of a rack, lose requests that were sent before.
fn is_sequence(ends: &[&End], suspect: Suspect) -> bool {
    let Some(first) = ends.iter().map(|end| end.at).min() else {
        return false;
    };
    let mut casualties = ends.iter().flat_map(|end| eligible(end, suspect));
    casualties.any(|c| c.sent > first)
}

/// Returns the greatest number of ends that can be paired with different requests each.
fn pair_up(ends: &[&End], suspect: Suspect) -> usize {
    let requests = |end: &&End| eligible(end, suspect).map(|c| c.request).collect();
    let by_end: Vec<Vec<Fingerprint>> = ends.iter().map(requests).collect();
    let mut paired: BTreeMap<Fingerprint, usize> = BTreeMap::new();
    let mut count = 0;
    for end in 0..by_end.len() {
        let mut tried = BTreeSet::new();
        count += usize::from(try_pair(&by_end, end, &mut paired, &mut tried));
        // More do not change a verdict.
        if count >= SEPARABLE_ENDS {
            break;
        }
    }
    count
}

/// Pairs an end with a request, and moves the pairs of others if that helps.
fn try_pair(
    by_end: &[Vec<Fingerprint>],
    end: usize,
    paired: &mut BTreeMap<Fingerprint, usize>,
    tried: &mut BTreeSet<Fingerprint>,
) -> bool {
    for &request in &by_end[end] {
        if !tried.insert(request) {
            continue;
        }
        let free = match paired.get(&request).copied() {
            None => true,
            Some(other) => try_pair(by_end, other, paired, tried),
        };
        if free {
            paired.insert(request, end);
            return true;
        }
    }
    false
}
