//! The outcomes of recent requests, for status queries of callers.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::outcome::Reason;

/// The number of requests kept: many times one router's share of a minute at the
/// peak of 2,000 requests a second over 340 routers.
const CAPACITY: usize = 16_384;

/// The status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestStatus {
    Running,
    Ended(Outcome, Option<Reason>),
}

/// Keeps the status of the latest requests.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    known: BTreeMap<RequestId, RequestStatus>,
    order: VecDeque<RequestId>,
}

impl Outcomes {
    pub(crate) fn begin(&self, id: RequestId) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.known.insert(id, RequestStatus::Running);
        inner.order.push_back(id);
        while inner.order.len() > CAPACITY {
            if let Some(oldest) = inner.order.pop_front() {
                inner.known.remove(&oldest);
            }
        }
    }

    pub(crate) fn finish(&self, id: RequestId, outcome: Outcome, reason: Option<Reason>) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(status) = inner.known.get_mut(&id) {
            *status = RequestStatus::Ended(outcome, reason);
        }
    }

    pub(crate) fn get(&self, id: &RequestId) -> Option<RequestStatus> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.known.get(id).copied()
    }
}
