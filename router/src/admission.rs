//! Admission of requests: first by account limits, then by deadline.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::admission;
use snipeyoke_lib::admission::Refusal;
use snipeyoke_lib::chain::RequestSpec;
use snipeyoke_lib::chain::Shared;
use snipeyoke_lib::config::Config;
use snipeyoke_lib::ids::NodeId;
use snipeyoke_lib::limits::AccountDemand;
use snipeyoke_lib::limits::Limiter;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Tokens;
use snipeyoke_runtime::clock::Clock;
use snipeyoke_wire::AccountUsage;
use snipeyoke_wire::Usage;
use snipeyoke_wire::frame::Body;

use crate::node::Node;

/// The interval at which shares are recomputed and usage is sent to other routers.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// Admits requests, or rejects them before anything runs.
#[derive(Debug)]
pub(crate) struct Admission {
    limiter: Mutex<Limiter>,
}

impl Admission {
    /// Creates the admission of one router out of `routers`.
    pub(crate) const fn new(now: Time, routers: usize) -> Self {
        Self {
            limiter: Mutex::new(Limiter::new(now, routers)),
        }
    }

    /// Applies the accounts of the configuration in force.
    pub(crate) fn set_accounts(&self, now: Time, config: &Config) {
        self.limiter().set_accounts(now, &config.accounts);
    }

    /// Admits a request, or returns why not and when to retry.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] if the account is over a limit or the deadline can't be met.
    pub(crate) fn admit(
        &self,
        now: Time,
        spec: &RequestSpec,
        shared: &mut Shared,
    ) -> Result<(), Refusal> {
        let expected = expected(spec);
        let mut limiter = self.limiter();
        limiter
            .admit(now, &spec.account, expected)
            .map_err(|error| Refusal {
                reason: Reason::Limit,
                retry_after: error.retry_after(),
            })?;
        admission::admit(now, spec, shared)
            .map(drop)
            .inspect_err(|_refusal| limiter.done(now, &spec.account, expected, Tokens(0)))
    }

    /// Records the usage that another router reports.
    pub(crate) fn on_usage(&self, now: Time, peer: &NodeId, usage: &Usage) {
        let uses = usage.accounts.iter().filter_map(from_wire).collect();
        self.limiter().on_report(now, peer, usage.seq, uses);
    }

    /// Records the end of an admitted request.
    pub(crate) fn done(&self, now: Time, spec: &RequestSpec, used: Tokens) {
        self.limiter()
            .done(now, &spec.account, expected(spec), used);
    }

    pub(crate) fn limiter(&self) -> MutexGuard<'_, Limiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn expected(spec: &RequestSpec) -> Tokens {
    spec.prompt.tokens + spec.prompt.max_output
}

/// Updates the shares until the router stops.
pub(crate) async fn run(node: Arc<Node>) {
    while !node.board.stop.is_set() {
        let pause = async {
            Timer::after(SHARE_INTERVAL).await;
        };
        pause.or(node.board.stop.wait()).await;
        let now = node.clock.now();
        let uses = node.admission.limiter().tick(now);
        let usage = Usage {
            seq: Clock::wall().as_millis(),
            accounts: uses.iter().map(to_wire).collect(),
        };
        node.members.send_to_routers(&Body::Usage(usage));
    }
}

fn to_wire(own: &AccountDemand) -> AccountUsage {
    AccountUsage {
        account: own.account.to_string(),
        requests: own.requests,
        tokens: own.tokens,
        active: own.active,
    }
}

// A faulty peer, or one of another release, may report invalid names or numbers.
// One of them in the sum would invalidate the shares of all routers.
fn from_wire(theirs: &AccountUsage) -> Option<AccountDemand> {
    let is_valid_rate = |rate: f64| rate.is_finite() && rate >= 0.0;
    let account = theirs.account.parse().ok()?;
    (is_valid_rate(theirs.requests) && is_valid_rate(theirs.tokens)).then_some(AccountDemand {
        account,
        requests: theirs.requests,
        tokens: theirs.tokens,
        active: theirs.active,
    })
}
