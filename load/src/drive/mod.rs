//! Sends the requests of a plan on time, whatever became of earlier ones.

mod caller;
mod faults;

pub use caller::Caller;
pub use faults::FaultPlan;
pub use faults::Hand;
pub use faults::HandError;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use snipeyoke_runtime::scope::Scope;

use crate::plan::Plan;
use crate::sample::Sample;

/// The time after the last request in which answers are still taken.
const TAIL: Duration = Duration::from_secs(20);

/// What one run sends.
#[derive(Debug)]
pub struct Run {
    /// The requests.
    pub plan: Plan,
    /// How long requests are sent.
    pub length: Duration,
    /// Faults set on the way.
    pub faults: Vec<FaultPlan>,
}

/// Sends all requests of a run and returns what became of each.
///
/// The load is open: a request is sent at its time although earlier ones still
/// wait, and its latency counts from that time. A closed loop would send less
/// while the system is slow, and so hide just that.
pub async fn run(run: Run, caller: &Caller, scope: &Scope) -> Vec<Sample> {
    let start = Instant::now();
    let (results, samples) = async_channel::unbounded();
    let hand = Arc::new(Hand::new(caller.client().clone()));
    for fault in run.faults {
        let hand = Arc::clone(&hand);
        scope.spawn(async move { fault.carry_out(start, &hand).await });
    }
    let mut sent = 0usize;
    let due = run.plan.take_while(|planned| planned.at < run.length);
    for planned in due {
        Timer::at(start + planned.at).await;
        let caller = caller.clone();
        let results = results.clone();
        sent += 1;
        scope.spawn(async move {
            let sample = caller.ask(&planned, start).await;
            // The receiver is kept below until every sender is gone.
            let _kept = results.try_send(sample);
        });
    }
    drop(results);
    collect(&samples, sent).await
}

async fn collect(samples: &async_channel::Receiver<Sample>, sent: usize) -> Vec<Sample> {
    let mut taken = Vec::with_capacity(sent);
    let last = Instant::now() + TAIL;
    loop {
        let next = async { samples.recv().await.ok() };
        let late = async {
            Timer::at(last).await;
            None
        };
        match futures_lite::FutureExt::or(next, late).await {
            Some(sample) => taken.push(sample),
            None => break,
        }
    }
    taken.sort_by_key(|s| s.serial);
    taken
}
