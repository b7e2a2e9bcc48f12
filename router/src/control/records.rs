//! The journal of this router's requests, and how to stop them.

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

/// The memory of the journal: an eighth of a node's 256 MB.
const MEMORY: Bytes = Bytes(32 << 20);

/// The requests copied under one lock.
const PAGE: usize = 64;

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
            journal: Mutex::new(Journal::new(MEMORY)),
            running: Mutex::default(),
        }
    }
}

impl Records {
    /// Notes a request that is about to be driven; `stop` ends it.
    pub(crate) fn begin(&self, now: Time, spec: &RequestSpec, stop: Flag) {
        let accepted = Accepted::from_spec(now, spec, None);
        self.journal().on_accept(now, accepted);
        let running = Running {
            account: spec.account.clone(),
            stop,
        };
        self.running().insert(spec.request, running);
    }

    /// Notes a decision of a request's chain.
    pub(crate) fn route(&self, now: Time, spec: &RequestSpec, decision: &Decision) {
        self.journal().on_chain_decision(now, spec, decision);
    }

    /// Notes the end of an attempt.
    pub(crate) fn ended(&self, now: Time, id: RequestId, attempt: AttemptId, end: &AttemptEnd) {
        let mut journal = self.journal();
        journal.on_attempt_end(now, id, attempt, end);
        let found = journal.get(id).and_then(|r| measure_of(r, attempt, now));
        drop(journal);
        if let Some((stage, pipeline, took)) = found {
            let how = ending(end);
            metrics::counter!("snipeyoke_attempts_total", "pipeline" => pipeline.clone(), "stage" => stage.clone(), "end" => how).increment(1);
            metrics::histogram!("snipeyoke_attempt_seconds", "pipeline" => pipeline, "stage" => stage).record(took);
        }
    }

    /// Notes the one outcome of a request.
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
        let took = request.elapsed(now).as_secs_f64();
        let late = request.is_late(now);
        drop(journal);
        if late {
            metrics::counter!("snipeyoke_requests_late_total", "pipeline" => pipeline.clone())
                .increment(1);
        }
        metrics::histogram!("snipeyoke_request_seconds", "pipeline" => pipeline, "outcome" => outcome.to_string()).record(took);
    }

    /// Stops a request; returns whether it runs here.
    pub(crate) fn stop(&self, id: RequestId) -> bool {
        let running = self.running();
        let found = running.get(&id);
        if let Some(found) = found {
            found.stop.set();
        }
        found.is_some()
    }

    /// Returns what is recorded of a request.
    pub(crate) fn get(&self, id: RequestId) -> Option<Request> {
        self.journal().get(id).cloned()
    }

    /// Returns the requests in flight of an account.
    pub(crate) fn active(&self, account: &ClientAccount) -> u32 {
        let running = self.running();
        let count = running.values().filter(|r| r.account == *account).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Shows every recorded request, the newest first.
    ///
    /// A lock held over the whole journal would make every request at work wait
    /// while an operator's question is evaluated; so it is held for a page.
    pub(crate) fn each(&self, visit: &mut dyn FnMut(&Request)) {
        let mut before = None;
        loop {
            let page = self.journal().page(before, PAGE);
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

/// Returns the stage, pipeline and seconds of an attempt.
fn measure_of(request: &Request, attempt: AttemptId, now: Time) -> Option<(String, String, f64)> {
    let found = request.attempts.iter().rev();
    let mut found = found.filter(|a| a.decision.attempt == attempt);
    let found = found.next()?;
    let stage = found.decision.stage.to_string();
    let pipeline = request.accepted.pipeline.to_string();
    Some((stage, pipeline, found.elapsed(now).as_secs_f64()))
}

const fn ending(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Completed => "completed",
        AttemptEnd::NotRun { .. } => "not-run",
        AttemptEnd::Unknown { .. } => "unknown",
    }
}
