//! Selection of the owner of a service.

use std::net::SocketAddr;

use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::crashes::Suspect;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::MilliCores;

fn node(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

fn service(n: u16) -> PoolName {
    format!("s{n}").parse().expect("a name")
}

fn owners(own: u16, nodes: u16) -> Owners {
    let mut owners = Owners::new(node(own), MilliCores(190));
    for n in 1..=nodes {
        owners.discover(Time::ZERO, node(n));
    }
    owners
}

#[test]
fn all_nodes_name_the_same_owner() {
    // The batch items of one service fill batches only if they meet at one
    // node.
    let all: Vec<Owners> = (1..=6).map(|n| owners(n, 6)).collect();
    for n in 0..20 {
        let named: Vec<SocketAddr> = all
            .iter()
            .map(|o| o.owner(Time::ZERO, &service(n)))
            .collect();
        assert!(named.iter().all(|&a| a == named[0]));
    }
}

#[test]
fn a_silent_owner_is_skipped_until_it_responds() {
    // The owner is killed. Jobs go to the next node at once, and back to the
    // owner when it responds again; other services keep their owners.
    let mut owners = owners(1, 6);
    let first = (0..20)
        .map(service)
        .find(|s| owners.owner(Time::ZERO, s) == node(3));
    let first = first.expect("six nodes share twenty services");
    let other = (0..20)
        .map(service)
        .find(|s| owners.owner(Time::ZERO, s) == node(4));
    let other = other.expect("six nodes share twenty services");
    owners.mark_silent(Time::from_millis(10), node(3));
    let next = owners.owner(Time::from_millis(11), &first);
    assert_ne!(next, node(3));
    assert_eq!(owners.owner(Time::from_millis(11), &other), node(4));
    owners.mark_heard(Time::from_millis(900), node(3));
    assert_eq!(owners.owner(Time::from_millis(901), &first), node(3));
}

#[test]
fn a_leaving_node_owns_nothing() {
    // A node that shuts down hands its jobs to others while it still serves:
    // anything it owned at its end would be lost.
    let mut owners = owners(3, 6);
    let own = (0..20)
        .map(service)
        .find(|s| owners.owner(Time::ZERO, s) == node(3));
    let own = own.expect("six nodes share twenty services");
    owners.leave();
    assert_ne!(owners.owner(Time::ZERO, &own), node(3));
    let mut alone = Owners::new(node(3), MilliCores(190));
    alone.leave();
    assert_eq!(alone.owner(Time::ZERO, &own), node(3), "nobody else can");
}

/// Guards against leaving nodes that each count the ends of endpoints under a
/// request on their own.
#[test]
fn nodes_that_all_leave_agree_on_the_crash_counters() {
    let mut all: Vec<Owners> = (1..=6).map(|n| owners(n, 6)).collect();
    for owners in &mut all {
        owners.leave();
        for n in 1..=6 {
            owners.set_peer_leaving(node(n), true);
        }
    }
    let named = all.iter().map(|o| o.crash_counters(Time::ZERO));
    let named: Vec<Vec<SocketAddr>> = named.collect();
    assert_eq!(named[0].len(), 2);
    assert!(named.iter().all(|n| *n == named[0]), "{named:?}");
    for request in 0..20 {
        let suspect = Suspect::Request(Fingerprint(request));
        let named = all.iter().map(|o| o.trial_node(Time::ZERO, suspect));
        let named: Vec<Option<SocketAddr>> = named.collect();
        assert!(named[0].is_some());
        assert!(named.iter().all(|n| *n == named[0]), "{named:?}");
    }
}

#[test]
fn strong_hosts_own_services_while_one_of_them_is_alive() {
    // Most hosts have a fifth of the others' power, and a weak owner would be
    // late with every call of its service. All nodes, weak ones included,
    // select a strong owner, and a weak one only when no strong one remains.
    let power = |n: u16| MilliCores(if n <= 2 { 500 } else { 90 });
    let mut all: Vec<Owners> = (1..=6).map(|n| Owners::new(node(n), power(n))).collect();
    for owners in &mut all {
        for n in 1..=6 {
            owners.discover(Time::ZERO, node(n));
            owners.set_power(node(n), power(n));
        }
    }
    for n in 0..20 {
        let named = all.iter().map(|o| o.owner(Time::ZERO, &service(n)));
        let named: Vec<SocketAddr> = named.collect();
        assert!(named[0] == node(1) || named[0] == node(2));
        assert!(named.iter().all(|&a| a == named[0]));
    }
    let weak = &mut all[5];
    weak.mark_silent(Time::from_millis(10), node(1));
    weak.mark_silent(Time::from_millis(10), node(2));
    let named = weak.owner(Time::from_millis(11), &service(0));
    assert!(named != node(1) && named != node(2));
}
