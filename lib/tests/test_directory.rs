//! The choice of an endpoint.

use std::time::Duration;

use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::serving::directory::Directory;
use snipeyoke_lib::serving::directory::EndpointCriteria;
use snipeyoke_lib::serving::directory::Entry;
use snipeyoke_lib::serving::directory::VersionRule;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::serving::homes::Homes;
use snipeyoke_lib::time::Time;

const NOW: Time = Time::from_millis(1_000);

fn entry(name: &str, domain: &str) -> Entry {
    Entry {
        id: name.parse().expect("a name"),
        started_at: Some(1),
        service: "llm".parse().expect("a name"),
        version: "v1".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: domain.parse().expect("a name"),
        slots: 64,
        draining: false,
        cold_left: Duration::ZERO,
    }
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    for n in 0..9 {
        directory.set(entry(&format!("m{n}"), &format!("d{}", n % 3)));
    }
    directory
}

fn choose(directory: &Directory, prefix: Option<u64>) -> EndpointId {
    let service = "llm".parse().expect("a name");
    let domain = "d1".parse().expect("a name");
    let criteria = EndpointCriteria {
        service: &service,
        avoid: &[],
        domain: Some(&domain),
        strict: false,
        prefix,
        homes: &Homes::default(),
        warm_only: false,
        unlimited_only: false,
        versions: &VersionRule::Any,
    };
    directory
        .choose(NOW, criteria)
        .expect("nine are there")
        .entry
        .id
}

#[test]
fn a_prefix_keeps_to_its_endpoint_while_nothing_is_wrong() {
    // Every node ranks alike, so a shared prefix is read once and not nine
    // times.
    let mut directory = directory();
    let first = choose(&directory, Some(7));
    for _ in 0..3 {
        directory.call_started(&first);
        assert_eq!(choose(&directory, Some(7)), first);
    }
}

#[test]
fn a_hot_prefix_spills_to_its_next_endpoint_only() {
    // One key gets much of the traffic. The overflow of its endpoint goes to
    // the next one by rank, not to all: each would read the prefix again.
    let mut directory = directory();
    let mut used = Vec::new();
    for _ in 0..16 {
        let id = choose(&directory, Some(7));
        directory.call_started(&id);
        if !used.contains(&id) {
            used.push(id);
        }
    }
    assert_eq!(used.len(), 2);
}

#[test]
fn calls_without_a_prefix_spread_by_load_and_stay_local() {
    let mut directory = directory();
    let first = choose(&directory, None);
    assert_eq!(
        directory.get(&first).map(|e| e.entry().domain.as_str()),
        Some("d1")
    );
    for _ in 0..2 {
        directory.call_started(&first);
    }
    assert_ne!(choose(&directory, None), first);
}

#[test]
fn a_restarted_endpoint_is_a_new_one() {
    // The endpoint crashed under load and restarted under its name: neither its
    // earlier calls nor its earlier failures count.
    let mut directory = directory();
    let id: EndpointId = "m0".parse().expect("a name");
    directory.call_started(&id);
    if let Some(health) = directory.health_mut(&id) {
        health.record_connection_failure(NOW);
    }
    let mut restarted = entry("m0", "d0");
    assert!(!directory.set(restarted.clone()), "the same run");
    restarted.started_at = Some(2);
    assert!(directory.set(restarted));
    let endpoint = directory.get(&id).expect("it is there");
    assert!(!endpoint.health().is_paused(NOW));
    assert!(endpoint.calls(NOW) < 0.5);
}

#[test]
fn failing_and_paused_endpoints_are_avoided_while_others_are_healthy() {
    let mut directory = directory();
    let first = choose(&directory, Some(7));
    if let Some(health) = directory.health_mut(&first) {
        health.record_connection_failure(NOW);
    }
    assert_ne!(choose(&directory, Some(7)), first);
    for n in 0..9 {
        let id = format!("m{n}").parse().expect("a name");
        if let Some(health) = directory.health_mut(&id) {
            health.record_connection_failure(NOW);
        }
    }
    choose(&directory, Some(7));
}

/// Guards against requests that are sent to an endpoint until its registration runs out, although
/// its host has refused a connection.
#[test]
fn an_ended_endpoint_gets_no_calls_while_others_serve() {
    let mut directory = directory();
    let first = choose(&directory, Some(7));
    let run = Incarnation {
        endpoint: first.clone(),
        started_at: Some(1),
    };
    directory.mark_ended(NOW, &run);
    assert_ne!(choose(&directory, Some(7)), first);
    directory.set(Entry {
        started_at: Some(2),
        ..entry(first.as_str(), "d0")
    });
    assert_eq!(choose(&directory, Some(7)), first, "it has started again");
}
