//! Limits of client accounts across several routers.

use std::collections::BTreeMap;
use std::time::Duration;

use assert_matches::assert_matches;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_pcg::Pcg32;
use snipeyoke_lib::config::Account;
use snipeyoke_lib::config::Limits;
use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::ids::NodeId;
use snipeyoke_lib::limits::AccountDemand;
use snipeyoke_lib::limits::LimitError;
use snipeyoke_lib::limits::Limiter;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::RequestRate;
use snipeyoke_lib::units::TokenRate;
use snipeyoke_lib::units::Tokens;

const STEP: Duration = Duration::from_millis(10);
const GOSSIP_STEPS: u64 = 50;
const REQUEST_LIMIT: f64 = 100.0;

/// Routers that exchange reports, each with its own demand from one account.
struct RouterGroup {
    routers: Vec<Limiter>,
    partition: Vec<usize>,
    now: Time,
    steps: u64,
    admitted: Vec<u64>,
    credit: Vec<f64>,
}

fn account() -> ClientAccount {
    "acme".parse().expect("a name")
}

fn limits(concurrency: u32) -> BTreeMap<ClientAccount, Account> {
    BTreeMap::from([(account(), account_with(concurrency))])
}

fn account_with(concurrency: u32) -> Account {
    let limits = Limits {
        requests: RequestRate(REQUEST_LIMIT),
        tokens: TokenRate(1e6),
        concurrency,
    };
    Account {
        keys: Vec::new(),
        limits,
        share: 1.0,
    }
}

fn exchange_reports(routers: &mut [Limiter], now: Time, seq: u64) -> Vec<Vec<AccountDemand>> {
    let reports: Vec<_> = routers.iter_mut().map(|r| r.tick(now)).collect();
    for (from, demands) in reports.iter().enumerate() {
        let name: NodeId = format!("router-{from}").parse().expect("a name");
        for (to, router) in routers.iter_mut().enumerate() {
            if to != from {
                router.on_report(now, &name, seq, demands.clone());
            }
        }
    }
    reports
}

impl RouterGroup {
    fn new(count: usize) -> Self {
        let mut router = Limiter::new(Time::ZERO, count);
        router.set_accounts(Time::ZERO, &limits(1_000_000));
        Self {
            routers: vec![router; count],
            partition: vec![0; count],
            now: Time::ZERO,
            steps: 0,
            admitted: vec![0; count],
            credit: vec![0.0; count],
        }
    }

    fn run(&mut self, duration: Duration, demand: &[f64]) -> u64 {
        let before: u64 = self.admitted.iter().sum();
        for _ in 0..duration.as_millis() / STEP.as_millis() {
            self.now = self.now + STEP;
            self.steps += 1;
            if self.steps.is_multiple_of(GOSSIP_STEPS) {
                self.gossip();
            }
            for (index, &rate) in demand.iter().enumerate() {
                self.send_requests(index, rate);
            }
        }
        self.admitted.iter().sum::<u64>() - before
    }

    fn send_requests(&mut self, index: usize, rate: f64) {
        self.credit[index] += rate * STEP.as_secs_f64();
        while self.credit[index] >= 1.0 {
            self.credit[index] -= 1.0;
            let router = &mut self.routers[index];
            if router.admit(self.now, &account(), Tokens(10)).is_ok() {
                self.admitted[index] += 1;
                router.done(self.now, &account(), Tokens(10), Tokens(10));
            }
        }
    }

    fn gossip(&mut self) {
        for from in 0..self.routers.len() {
            let demands = self.routers[from].tick(self.now);
            let name: NodeId = format!("router-{from}").parse().expect("a name");
            for to in 0..self.routers.len() {
                if to != from && self.partition[to] == self.partition[from] {
                    self.routers[to].on_report(self.now, &name, self.steps, demands.clone());
                }
            }
        }
    }
}

#[test]
fn one_busy_router_gets_nearly_the_whole_limit() {
    let mut group = RouterGroup::new(4);
    let demand = [300.0, 1.0, 1.0, 1.0];
    group.run(Duration::from_secs(5), &demand);
    let admitted = group.run(Duration::from_secs(10), &demand);
    assert!((900..=1_030).contains(&admitted), "{admitted} of 1,000");
}

#[test]
fn a_partition_admits_a_limit_on_each_side_and_no_more_afterwards() {
    // Routers on two sides of a partition lose each other for a minute and take over
    // each other's share. Each side may admit up to one limit for its callers; after
    // the partition heals, both together admit one.
    let mut group = RouterGroup::new(4);
    let demand = [100.0; 4];
    let joined = group.run(Duration::from_secs(10), &demand);
    assert!(joined <= 1_150, "{joined} of 1,000 and the bursts");
    group.partition = vec![0, 0, 1, 1];
    let partitioned = group.run(Duration::from_mins(1), &demand);
    assert!(
        (10_500..=12_100).contains(&partitioned),
        "{partitioned} of 12,000"
    );
    group.partition = vec![0; 4];
    let after = group.run(Duration::from_secs(1), &demand);
    assert!(
        after <= 400,
        "{after}: two limits for a gossip interval, and bursts"
    );
    let settled = group.run(Duration::from_secs(10), &demand);
    assert!(settled <= 1_050, "{settled} of 1,000");
}

#[test]
fn shares_hold_for_more_accounts_than_routers_may_report() {
    // Guards against an account that exceeds its limit over all routers. 1,200 accounts
    // use 20 routers, each of which may report 1,000. If a router used a share by demand
    // that it does not report, the shares would add up to more than one.
    let names: Vec<ClientAccount> = (0..1_200)
        .map(|n| format!("account-{n:04}").parse().expect("a name"))
        .collect();
    let accounts = names
        .iter()
        .map(|n| (n.clone(), account_with(100)))
        .collect();
    let mut router = Limiter::new(Time::ZERO, 20);
    router.set_accounts(Time::ZERO, &accounts);
    let mut routers = vec![router; 20];
    let mut rng = Pcg32::new(7, 20);
    let now = Time::from_millis(500);
    for router in &mut routers {
        for name in &names {
            for _ in 0..=rng.next_u32() % 4 {
                drop(router.admit(now, name, Tokens(1)));
            }
        }
    }
    for _ in 0..20 {
        drop(routers[3].admit(now, &names[1_199], Tokens(1)));
    }
    let reports = exchange_reports(&mut routers, now, 1);
    assert!(reports.iter().all(|demands| demands.len() == 1_000));
    let busiest = reports[3].last().map(|d| &d.account);
    assert_eq!(
        busiest,
        names.last(),
        "the busiest is reported before others"
    );
    exchange_reports(&mut routers, now, 2);
    for name in &names {
        let sum: f64 = routers.iter().filter_map(|r| r.share(name)).sum();
        assert!((0.1..=1.000_1).contains(&sum), "{name}: {sum}");
    }
}

#[test]
fn concurrency_counts_what_is_in_flight() {
    let mut router = Limiter::default();
    router.set_accounts(Time::ZERO, &limits(2));
    let admit = |router: &mut Limiter| router.admit(Time::ZERO, &account(), Tokens(1));
    assert_matches!(admit(&mut router), Ok(()));
    assert_matches!(admit(&mut router), Ok(()));
    assert_matches!(
        admit(&mut router),
        Err(LimitError::Concurrency { active: 2 })
    );
    router.done(Time::ZERO, &account(), Tokens(1), Tokens(1));
    assert_matches!(admit(&mut router), Ok(()));
}

#[test]
fn tokens_beyond_the_expected_are_paid_for_afterwards() {
    let mut router = Limiter::default();
    router.set_accounts(Time::ZERO, &limits(100));
    router
        .admit(Time::ZERO, &account(), Tokens(10))
        .expect("room");
    router.done(Time::ZERO, &account(), Tokens(10), Tokens(3_000_000));
    let refused = router.admit(Time::ZERO, &account(), Tokens(10));
    let error = refused.expect_err("the account is two seconds in debt");
    assert!(error.retry_after() >= Duration::from_secs(2));
    let later = Time::from_millis(2_100);
    router.admit(later, &account(), Tokens(10)).expect("paid");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(0x11a17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Callers of one account split their demand over the routers in any way and change
    // the split. All routers together must stay within the limit plus bursts.
    #[test]
    fn keeps_the_limit_for_any_split(
        splits in prop::collection::vec(prop::collection::vec(0.0_f64..200.0, 3), 1..4),
    ) {
        let mut group = RouterGroup::new(3);
        let mut allowed = REQUEST_LIMIT;
        let mut admitted = 0;
        for split in &splits {
            admitted += group.run(Duration::from_secs(10), split);
            // Each change of demand may spend another burst before it is reported.
            allowed += REQUEST_LIMIT * 10.0 + 2.0 * REQUEST_LIMIT;
        }
        prop_assert!(admitted as f64 <= allowed, "{admitted} of {allowed}");
    }
}
