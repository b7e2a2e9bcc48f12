//! Tests of what is drawn.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use snipeyoke_load::plan::Burst;
use snipeyoke_load::plan::Expected;
use snipeyoke_load::plan::Plan;
use snipeyoke_load::plan::Planned;
use snipeyoke_load::scene::Deployment;

const RATE: f64 = 200.0;
const SECONDS: u64 = 20;

fn plan(seed: u64, bursts: Vec<Burst>) -> Vec<Planned> {
    let text = include_str!("../../examples/vestlandsprint.jsonc");
    let deployment = Deployment::parse(text).expect("the example is well-formed");
    let mixture = deployment.mixture().clone();
    let plan = Plan::new(mixture, RATE, bursts, seed);
    plan.take_while(|p| p.at < Duration::from_secs(SECONDS))
        .collect()
}

#[test]
fn draws_the_same_from_the_same_seed() {
    let (one, again, other) = (plan(7, vec![]), plan(7, vec![]), plan(8, vec![]));
    assert!(one == again && one != other);
}

#[test]
fn keeps_to_its_rate_weights_and_bursts() {
    let planned = plan(1, vec![]);
    let count = planned.len() as f64;
    let due = RATE * SECONDS as f64;
    assert!((count - due).abs() < 4.0 * due.sqrt(), "{count} of {due}");
    let headlines = planned.iter().filter(|p| p.kind == "headline").count() as f64;
    assert!(
        (headlines / count - 0.45).abs() < 0.04,
        "{headlines} of {count}"
    );
    let burst = Burst {
        from: 5.0,
        until: 6.0,
        factor: 5.0,
    };
    let burst = plan(1, vec![burst]);
    let within = burst.iter().filter(|p| p.at.as_secs() == 5).count() as f64;
    assert!(
        (within - 5.0 * RATE).abs() < 4.0 * (5.0 * RATE).sqrt(),
        "{within}"
    );
}

#[test]
fn expects_something_else_for_each_request_and_shares_prefixes() {
    let planned = plan(1, vec![]);
    let mut expected = BTreeSet::new();
    let mut prefixes: BTreeMap<String, u32> = BTreeMap::new();
    for request in &planned {
        let (Expected::Text(text) | Expected::Receipt(text)) = &request.expected;
        assert!(expected.insert(text.clone()), "{text:?} is expected twice");
        let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
        if let Some(prefix) = body["messages"][0]["content"].as_str() {
            *prefixes.entry(prefix.to_owned()).or_default() += 1;
        }
    }
    // Five accounts with two prefixes for each of two kinds.
    assert_eq!(prefixes.len(), 20);
    assert!(prefixes.values().all(|&n| n > 10));
}
