//! Which node owns the pieces of a service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use snipeyoke_lib::ids::PoolName;
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
        owners.learn(Time::ZERO, node(n));
    }
    owners
}

#[test]
fn all_nodes_name_the_same_owner() {
    // Pieces of one service fill calls only if they meet at one node.
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
fn a_silent_owner_is_passed_over_and_comes_back() {
    // The owner was killed. Its callers' jobs go to the next node at once, and
    // back to it once it answers again; other services stay where they are.
    let mut owners = owners(1, 6);
    let first = (0..20)
        .map(service)
        .find(|s| owners.owner(Time::ZERO, s) == node(3));
    let first = first.expect("six nodes share twenty services");
    let other = (0..20)
        .map(service)
        .find(|s| owners.owner(Time::ZERO, s) == node(4));
    let other = other.expect("six nodes share twenty services");
    owners.silent(Time::from_millis(10), node(3));
    let next = owners.owner(Time::from_millis(11), &first);
    assert_ne!(next, node(3));
    assert_eq!(owners.owner(Time::from_millis(11), &other), node(4));
    owners.heard(Time::from_millis(900), node(3));
    assert_eq!(owners.owner(Time::from_millis(901), &first), node(3));
}

#[test]
fn a_leaving_node_owns_nothing() {
    // A node that was told to stop hands its jobs to others while it still
    // serves: what it owned at its end would be lost with it.
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

#[test]
fn strong_hosts_own_services_while_one_of_them_lives() {
    // Most hosts have a fifth of the others' power. One of them that owned a
    // service would be late with every call of it; all nodes, weak ones too,
    // name a strong one, and a weak one only when no strong one is left.
    let power = |n: u16| MilliCores(if n <= 2 { 500 } else { 90 });
    let mut all: Vec<Owners> = (1..=6).map(|n| Owners::new(node(n), power(n))).collect();
    for owners in &mut all {
        for n in 1..=6 {
            owners.learn(Time::ZERO, node(n));
            owners.has_power(node(n), power(n));
        }
    }
    for n in 0..20 {
        let named = all.iter().map(|o| o.owner(Time::ZERO, &service(n)));
        let named: Vec<SocketAddr> = named.collect();
        assert!(named[0] == node(1) || named[0] == node(2));
        assert!(named.iter().all(|&a| a == named[0]));
    }
    let weak = &mut all[5];
    weak.silent(Time::from_millis(10), node(1));
    weak.silent(Time::from_millis(10), node(2));
    let named = weak.owner(Time::from_millis(11), &service(0));
    assert!(named != node(1) && named != node(2));
}

/// Returns how many of the nodes that live are reached by news from one of them.
fn reached(count: u16, away: impl Fn(u16) -> bool) -> (usize, usize) {
    let now = Time::from_millis(1_000);
    let looks: BTreeMap<SocketAddr, Vec<SocketAddr>> = (1..=count)
        .filter(|&n| !away(n))
        .map(|n| {
            let mut owners = owners(n, count);
            for peer in (1..=count).filter(|&peer| away(peer)) {
                owners.silent(now, node(peer));
            }
            (node(n), owners.neighbours(now))
        })
        .collect();
    let first = *looks.keys().next().expect("some live");
    let mut found = BTreeSet::from([first]);
    let mut next = vec![first];
    while let Some(from) = next.pop() {
        // A look tells both sides.
        let asked = looks[&from].iter().copied();
        let asking = looks.iter().filter(|(_, at)| at.contains(&from));
        for peer in asked.chain(asking.map(|(&a, _)| a)) {
            if found.insert(peer) {
                next.push(peer);
            }
        }
    }
    (found.len(), looks.len())
}

#[test]
fn news_reaches_all_through_few_neighbours() {
    // Hundreds of nodes with a link to every other one would take memory and
    // descriptors by their number. With a few links each, news must still reach
    // all, also while a third of the nodes is away.
    for count in [2, 9, 24, 103, 340] {
        let (found, live) = reached(count, |_| false);
        assert_eq!(found, live, "{count} nodes");
        let (found, live) = reached(count, |n| n.is_multiple_of(3));
        assert_eq!(found, live, "{count} nodes, a third away");
    }
    assert!(owners(1, 340).neighbours(Time::from_millis(1_000)).len() <= 8);
}

#[test]
fn a_node_that_nobody_looks_at_is_not_forgotten() {
    // Most nodes are no neighbours of this one, and it hears nothing of them for
    // hours. Another node that does not answer must not make it forget them.
    let mut owners = owners(1, 24);
    let later = Time::from_millis(3_600_000);
    owners.silent(later, node(2));
    assert_eq!(owners.count(), 24);
    // The one that does not answer is forgotten, once it has been away for long.
    let last = later + Duration::from_mins(5);
    owners.silent(last, node(2));
    owners.silent(last, node(3));
    assert_eq!(owners.count(), 23);
}

#[test]
fn the_successor_is_who_owns_next() {
    // An owner leaves with all its work. Who takes over must be the node that the
    // others have looked at before.
    for own in [1, 9] {
        let mut owners = owners(own, 24);
        let now = Time::from_millis(1_000);
        for n in 0..20 {
            let service = service(n);
            let first = owners.owner(now, &service);
            let successor = owners.successor(now, service.as_str());
            if first == node(own) {
                continue;
            }
            owners.silent(now, first);
            let next = owners.owner(now, &service);
            assert!(successor == Some(next) || next == node(own));
            owners.heard(now, first);
        }
    }
}
