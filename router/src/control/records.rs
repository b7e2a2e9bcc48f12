//! The journal of this router's requests, and the means to stop them.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use snipeyoke_lib::chain::Decision;
use snipeyoke_lib::chain::RequestSpec;
use snipeyoke_lib::ids::AttemptId;
use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::journal::Accepted;
use snipeyoke_lib::journal::Journal;
use snipeyoke_lib::journal::Request;
use snipeyoke_lib::outcome::AttemptEnd;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Bytes;
use snipeyoke_runtime::flag::Flag;

/// The memory budget of the journal: an eighth of a node's 256 MB.
const JOURNAL_BYTES: Bytes = Bytes(32 << 20);

/// The number of requests copied per lock acquisition.
const PAGE_SIZE: usize = 64;

/// Records requests for operators.
#[derive(Debug)]
pub(crate) struct Records {
    journal: Mutex<Journal>,
    running: Mutex<BTreeMap<RequestId, Running>>,
}

#[derive(Debug)]
struct Running {
    account: ClientAccount,
    stop: Flag,
}

impl Default for Records {
    fn default() -> Self {
        Self {
            journal: Mutex::new(Journal::new(JOURNAL_BYTES)),
            running: Mutex::default(),
        }
    }
}

impl Records {
    /// Records a request that is about to be driven; `stop` ends it.
    pub(crate) fn begin(&self, now: Time, spec: &RequestSpec, stop: Flag) {
        let accepted = Accepted::from_spec(now, spec, None);
        self.journal().on_accept(now, accepted);
        let running = Running {
            account: spec.account.clone(),
            stop,
        };
        self.running().insert(spec.request, running);
    }

    /// Records a decision of a request's chain.
    pub(crate) fn on_decision(&self, now: Time, spec: &RequestSpec, decision: &Decision) {
        self.journal().on_chain_decision(now, spec, decision);
    }

    /// Records the end of an attempt.
    pub(crate) fn on_attempt_end(
        &self,
        now: Time,
        id: RequestId,
        attempt: AttemptId,
        end: &AttemptEnd,
    ) {
        let mut journal = self.journal();
        journal.on_attempt_end(now, id, attempt, end);
        let found = journal
            .get(id)
            .and_then(|r| attempt_measures(r, attempt, now));
        drop(journal);
        if let Some((stage, pipeline, elapsed_s)) = found {
            let label = end_label(end);
            metrics::counter!("snipeyoke_attempts_total", "pipeline" => pipeline.clone(), "stage" => stage.clone(), "end" => label).increment(1);
            metrics::histogram!("snipeyoke_attempt_seconds", "pipeline" => pipeline, "stage" => stage).record(elapsed_s);
        }
    }

    /// Records the outcome of a request.
    pub(crate) fn finish(
        &self,
        now: Time,
        id: RequestId,
        outcome: Outcome,
        reason: Option<Reason>,
    ) {
        self.running().remove(&id);
        let mut journal = self.journal();
        journal.on_finish(now, id, outcome, reason);
        metrics::gauge!("snipeyoke_journal_bytes").set(journal.used().0 as f64);
        metrics::counter!("snipeyoke_journal_forgotten_total").absolute(journal.evicted());
        metrics::counter!("snipeyoke_journal_skipped_total").absolute(journal.skipped());
        let Some(request) = journal.get(id) else {
            return;
        };
        let pipeline = request.accepted.pipeline.to_string();
        let elapsed_s = request.elapsed(now).as_secs_f64();
        let is_late = request.is_late(now);
        drop(journal);
        if is_late {
            metrics::counter!("snipeyoke_requests_late_total", "pipeline" => pipeline.clone())
                .increment(1);
        }
        metrics::histogram!("snipeyoke_request_seconds", "pipeline" => pipeline, "outcome" => outcome.to_string()).record(elapsed_s);
    }

    /// Stops a request; returns whether it runs on this router.
    pub(crate) fn stop(&self, id: RequestId) -> bool {
        let running = self.running();
        let found = running.get(&id);
        if let Some(found) = found {
            found.stop.set();
        }
        found.is_some()
    }

    /// Returns the record of a request.
    pub(crate) fn get(&self, id: RequestId) -> Option<Request> {
        self.journal().get(id).cloned()
    }

    /// Returns the number of requests in flight of an account.
    pub(crate) fn active(&self, account: &ClientAccount) -> u32 {
        let running = self.running();
        let count = running.values().filter(|r| r.account == *account).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Visits every recorded request, newest first.
    ///
    /// The lock is held for one page at a time. Held for the whole journal, it
    /// would block all running requests while a query is evaluated.
    pub(crate) fn for_each(&self, visit: &mut dyn FnMut(&Request)) {
        let mut before = None;
        loop {
            let page = self.journal().page(before, PAGE_SIZE);
            let Some(last) = page.last() else {
                return;
            };
            before = Some(last.accepted.id);
            page.iter().for_each(&mut *visit);
        }
    }

    fn journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn running(&self) -> MutexGuard<'_, BTreeMap<RequestId, Running>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the stage, the pipeline and the duration in seconds of an attempt.
fn attempt_measures(
    request: &Request,
    attempt: AttemptId,
    now: Time,
) -> Option<(String, String, f64)> {
    let found = request.attempts.iter().rev();
    let mut found = found.filter(|a| a.decision.attempt == attempt);
    let found = found.next()?;
    let stage = found.decision.stage.to_string();
    let pipeline = request.accepted.pipeline.to_string();
    Some((stage, pipeline, found.elapsed(now).as_secs_f64()))
}

const fn end_label(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Completed => "completed",
        AttemptEnd::NotRun { .. } => "not-run",
        AttemptEnd::Unknown { .. } => "unknown",
    }
}
