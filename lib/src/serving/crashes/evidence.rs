//! Answers that clear suspects.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::ends::CRASH_DELAY_MAX;
use super::suspect::Fingerprint;
use super::suspect::PartId;
use super::suspect::Suspect;
use super::suspect::suspects;
use crate::time::Time;

/// The maximum number of requests, and of parts, whose answers are remembered.
const ANSWERED_MAX: usize = 4_096;

/// How long a node looks for answers that clear a suspect.
const INQUIRY_LIFETIME: Duration = Duration::from_secs(30);

/// The maximum number of suspects that a node looks for.
const INQUIRIES_MAX: usize = 1_024;

/// A question for answers that clear a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Inquiry {
    /// The suspect.
    pub suspect: Suspect,
    /// When the first endpoint ended under it.
    pub first_end: Time,
}

/// The finding that a suspect did not crash an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clearance {
    /// The suspect.
    pub suspect: Suspect,
    /// Until when it is known not to have crashed endpoints.
    pub at: Time,
}

/// The number of a run of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunNumber(pub u64);

/// A run whose answer has begun.
#[derive(Debug, Clone)]
struct Run {
    parts: Arc<[PartId]>,
    began: Time,
}

/// When suspects were last cleared; the oldest entry yields.
#[derive(Debug, Clone, Default)]
struct ClearTimes {
    times: BTreeMap<Suspect, Time>,
    order: BTreeSet<(Time, Suspect)>,
}

impl ClearTimes {
    fn record(&mut self, at: Time, suspect: Suspect) {
        let held = self.times.entry(suspect).or_insert(at);
        if *held < at {
            self.order.remove(&(*held, suspect));
            *held = at;
        }
        self.order.insert((*held, suspect));
        if self.order.len() > ANSWERED_MAX
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.times.remove(&oldest);
        }
    }

    fn get(&self, suspect: Suspect) -> Option<Time> {
        self.times.get(&suspect).copied()
    }
}

/// The answers of one node that clear suspects.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence {
    // Requests differ from each other, so they would push out the parts.
    requests: ClearTimes,
    parts: ClearTimes,
    runs: BTreeMap<RunNumber, Run>,
    /// The suspects that are looked for, and when the questions came.
    inquiries: BTreeMap<Suspect, Time>,
}

impl Evidence {
    /// Records that a suspect is cleared until `at`.
    pub(super) fn record(&mut self, at: Time, suspect: Suspect) {
        match suspect {
            Suspect::Request(_) => self.requests.record(at, suspect),
            Suspect::Part(_) => self.parts.record(at, suspect),
        }
    }

    /// Returns until when a suspect is known not to have crashed endpoints.
    pub(super) fn cleared_until(&self, suspect: Suspect) -> Option<Time> {
        match suspect {
            Suspect::Request(_) => self.requests.get(suspect),
            Suspect::Part(_) => self.parts.get(suspect),
        }
    }

    /// Records a whole answer; returns what it clears that is looked for.
    pub(super) fn on_answered(
        &mut self,
        now: Time,
        request: Fingerprint,
        parts: &[PartId],
    ) -> Vec<Clearance> {
        let mut found = Vec::new();
        for suspect in suspects(request, parts) {
            self.record(now, suspect);
            if self.inquiries.remove(&suspect).is_some() {
                found.push(Clearance { suspect, at: now });
            }
        }
        found
    }

    pub(super) fn on_answer_began(&mut self, now: Time, run: RunNumber, parts: Arc<[PartId]>) {
        if !parts.is_empty() {
            self.runs.insert(run, Run { parts, began: now });
        }
    }

    pub(super) fn on_run_ended(&mut self, run: RunNumber) {
        self.runs.remove(&run);
    }

    /// Answers a question, or keeps it until there is an answer.
    pub(super) fn inquire(&mut self, now: Time, inquiry: Inquiry) -> Option<Clearance> {
        let Inquiry { suspect, first_end } = inquiry;
        let cleared = self.cleared_until(suspect).filter(|&at| at > first_end);
        let cleared = cleared.or_else(|| self.has_long_run(now, suspect).then_some(now));
        if let Some(at) = cleared {
            return Some(Clearance { suspect, at });
        }
        if self.inquiries.len() < INQUIRIES_MAX || self.inquiries.contains_key(&suspect) {
            self.inquiries.insert(suspect, now);
        }
        None
    }

    /// Returns what runs have cleared since that is looked for.
    pub(super) fn take_clearances(&mut self, now: Time) -> Vec<Clearance> {
        if self.inquiries.is_empty() {
            return Vec::new();
        }
        self.inquiries
            .retain(|_, asked| now.since(*asked) < INQUIRY_LIFETIME);
        let wanted = self.inquiries.keys().copied();
        let found = wanted.filter(|&suspect| self.has_long_run(now, suspect));
        let found = found.map(|suspect| Clearance { suspect, at: now });
        let found: Vec<Clearance> = found.collect();
        for clearance in &found {
            self.inquiries.remove(&clearance.suspect);
            self.record(now, clearance.suspect);
        }
        found
    }

    /// Returns whether an answer to a prompt with the part has gone on for longer than the part
    /// would need to crash the endpoint.
    fn has_long_run(&self, now: Time, suspect: Suspect) -> bool {
        let Suspect::Part(part) = suspect else {
            return false;
        };
        let is_long = |run: &Run| now.since(run.began) > CRASH_DELAY_MAX;
        self.runs
            .values()
            .any(|run| is_long(run) && run.parts.contains(&part))
    }
}
