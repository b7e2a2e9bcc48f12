//! A bounded record of the requests at a router, for its operators.
//!
//! The driver of the request chains reports each acceptance, decision, end of
//! an attempt and outcome. The journal stays within a limit in bytes and evicts
//! the requests that finished first.

mod entry;
mod route;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Bound;

pub use entry::ATTEMPTS_MAX;
pub use entry::Accepted;
pub use entry::Attempt;
pub use entry::Choice;
pub use entry::Decision;
pub use entry::Finish;
pub use entry::Request;

use crate::ids::AttemptId;
use crate::ids::RequestId;
use crate::outcome::AttemptEnd;
use crate::outcome::Outcome;
use crate::outcome::Reason;
use crate::time::Time;
use crate::units::Bytes;

/// The maximum number of alternatives kept with a decision.
const ALTERNATIVES_MAX: usize = 2;

/// The maximum length of a decision's reason, in bytes.
const WHY_BYTES_MAX: usize = 64;

/// The bytes of an entry in the tree and the queue, apart from its heap data.
///
/// At least 5 of the 11 slots of a tree node are occupied, so a slot costs at
/// most 2.2 times its content; the queue doubles its capacity when it grows.
const ENTRY_OVERHEAD: usize = 2 * size_of::<Request>() + 4 * size_of::<RequestId>();

/// The overhead of a heap allocation, in bytes.
const ALLOCATION_OVERHEAD: usize = 16;

/// A bounded record of requests.
#[derive(Debug, Clone)]
pub struct Journal {
    limit: usize,
    used: usize,
    requests: BTreeMap<RequestId, Request>,
    // Finished requests, in the order in which they finished.
    finished: VecDeque<RequestId>,
    evicted: u64,
    skipped: u64,
}

impl Journal {
    /// Creates an empty journal bounded by `limit`.
    #[must_use]
    pub fn new(limit: Bytes) -> Self {
        Self {
            limit: usize::try_from(limit.0).unwrap_or(usize::MAX),
            used: 0,
            requests: BTreeMap::new(),
            finished: VecDeque::new(),
            evicted: 0,
            skipped: 0,
        }
    }

    /// Records an accepted request.
    ///
    /// Later records with the same id are ignored.
    pub fn on_accept(&mut self, now: Time, accepted: Accepted) {
        let id = accepted.id;
        if self.requests.contains_key(&id) {
            return;
        }
        let size = base_size(&accepted);
        if !self.make_room(size) {
            self.skipped += 1;
            return;
        }
        let request = Request {
            accepted,
            at: now,
            attempts: Vec::new(),
            unrecorded: 0,
            finish: None,
        };
        self.used += size;
        self.requests.insert(id, request);
    }

    /// Records the routing decision of an attempt.
    pub fn on_decision(&mut self, now: Time, id: RequestId, mut decision: Decision) {
        decision.others.truncate(ALTERNATIVES_MAX);
        decision.others.shrink_to_fit();
        truncate_why(&mut decision.why);
        let size = decision_size(&decision);
        let has_room = self.make_room(size);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !has_room || request.attempts.len() >= ATTEMPTS_MAX {
            request.unrecorded += 1;
            return;
        }
        request.attempts.push(Attempt {
            decision,
            sent: now,
            end: None,
        });
        self.used += size;
    }

    /// Records the end of an attempt; only the first one counts.
    pub fn on_attempt_end(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptId,
        end: &AttemptEnd,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let found = request
            .attempts
            .iter_mut()
            .find(|a| a.decision.attempt == attempt && a.end.is_none());
        if let Some(found) = found {
            found.end = Some((now, end.clone()));
        }
    }

    /// Records the outcome of a request; only the first one counts.
    pub fn on_finish(
        &mut self,
        now: Time,
        id: RequestId,
        outcome: Outcome,
        reason: Option<Reason>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.finish.is_some() {
            return;
        }
        request.finish = Some(Finish {
            at: now,
            outcome,
            reason,
        });
        self.finished.push_back(id);
    }

    /// Records a request that was refused at the ingress.
    pub fn on_refuse(&mut self, now: Time, accepted: Accepted, reason: Reason) {
        let id = accepted.id;
        self.on_accept(now, accepted);
        self.on_finish(now, id, Outcome::NotRun, Some(reason));
    }

    /// Returns the record of a request.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    /// Iterates over the recorded requests, the newest id first.
    pub fn requests(&self) -> impl Iterator<Item = &Request> {
        self.requests.values().rev()
    }

    /// Copies at most `limit` requests older than `before`, the newest first.
    ///
    /// A reader locks the journal for one page at a time, so that requests in
    /// flight wait for one page at most.
    #[must_use]
    pub fn page(&self, before: Option<RequestId>, limit: usize) -> Vec<Request> {
        let end = before.map_or(Bound::Unbounded, Bound::Excluded);
        let range = self.requests.range((Bound::Unbounded, end));
        range.rev().take(limit).map(|(_, r)| r.clone()).collect()
    }

    /// Returns an upper estimate of the memory in use.
    #[must_use]
    pub const fn used(&self) -> Bytes {
        Bytes(self.used as u64)
    }

    /// Returns the number of finished requests evicted to make room.
    #[must_use]
    pub const fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Returns the number of requests not recorded for lack of room.
    #[must_use]
    pub const fn skipped(&self) -> u64 {
        self.skipped
    }

    // Bounds memory, since an out-of-memory kill loses all requests in flight.
    // Evicts finished requests only, so that `explain` of a running one stays
    // complete; with only running ones left, new requests are just counted.
    fn make_room(&mut self, size: usize) -> bool {
        while self.used + size > self.limit {
            let Some(oldest) = self.finished.pop_front() else {
                return false;
            };
            let request = self.requests.remove(&oldest);
            self.used -= request.as_ref().map_or(0, request_size);
            self.evicted += 1;
        }
        true
    }
}

fn truncate_why(text: &mut String) {
    if text.len() > WHY_BYTES_MAX {
        let cut = text.floor_char_boundary(WHY_BYTES_MAX);
        text.truncate(cut);
    }
    text.shrink_to_fit();
}

fn text_size(len: usize) -> usize {
    len + ALLOCATION_OVERHEAD
}

fn base_size(accepted: &Accepted) -> usize {
    let texts = [
        accepted.account.as_str(),
        accepted.kind.as_str(),
        accepted.pipeline.as_str(),
    ];
    ENTRY_OVERHEAD + texts.iter().map(|t| text_size(t.len())).sum::<usize>()
}

fn decision_size(decision: &Decision) -> usize {
    let others: usize = decision
        .others
        .iter()
        .map(|c| size_of::<Choice>() + text_size(c.endpoint.as_str().len()))
        .sum();
    // The list of attempts doubles its capacity when it grows.
    2 * size_of::<Attempt>()
        + text_size(decision.stage.as_str().len())
        + text_size(decision.chosen.endpoint.as_str().len())
        + text_size(decision.why.len())
        + others
        + ALLOCATION_OVERHEAD
}

fn request_size(request: &Request) -> usize {
    let attempts = request.attempts.iter().map(|a| decision_size(&a.decision));
    base_size(&request.accepted) + attempts.sum::<usize>()
}
