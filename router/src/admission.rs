//! Whether the router takes a request on: limits first, then the deadline.

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
use snipeyoke_lib::limits::AccountUse;
use snipeyoke_lib::limits::Limiter;
use snipeyoke_lib::outcome::Reason;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Tokens;
use snipeyoke_runtime::clock::Clock;
use snipeyoke_wire::AccountUsage;
use snipeyoke_wire::Usage;
use snipeyoke_wire::frame::Body;

use crate::node::Node;

/// How often the shares are recomputed and told to the other routers.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// Takes requests on, or refuses them before anything runs.
#[derive(Debug)]
pub(crate) struct Admission {
    limiter: Mutex<Limiter>,
}

impl Admission {
    /// Begins at a router among `routers` in all.
    pub(crate) const fn new(now: Time, routers: usize) -> Self {
        Self {
            limiter: Mutex::new(Limiter::begin(now, routers)),
        }
    }

    /// Takes over the accounts of the configuration in force.
    pub(crate) fn set_accounts(&self, now: Time, config: &Config) {
        self.limiter().set(now, &config.accounts);
    }

    /// Takes a request on, or says why not and when to come back.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal`] over a limit or past all hope for the deadline.
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

    /// Takes in what another router is asked for.
    pub(crate) fn on_usage(&self, now: Time, peer: &NodeId, usage: &Usage) {
        let uses = usage.accounts.iter().filter_map(from_wire).collect();
        self.limiter().on_peer(now, peer, usage.seq, uses);
    }

    /// Notes the end of a request that was taken on.
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

/// Keeps the shares up to date until the router stops.
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

fn to_wire(own: &AccountUse) -> AccountUsage {
    AccountUsage {
        account: own.account.to_string(),
        requests: own.requests,
        tokens: own.tokens,
        active: own.active,
    }
}

// A peer of another release, or a broken one, may tell of names or numbers that
// no router can have; one of these in the sum would void the share of all.
fn from_wire(theirs: &AccountUsage) -> Option<AccountUse> {
    let is_valid_rate = |rate: f64| rate.is_finite() && rate >= 0.0;
    let account = theirs.account.parse().ok()?;
    (is_valid_rate(theirs.requests) && is_valid_rate(theirs.tokens)).then_some(AccountUse {
        account,
        requests: theirs.requests,
        tokens: theirs.tokens,
        active: theirs.active,
    })
}
