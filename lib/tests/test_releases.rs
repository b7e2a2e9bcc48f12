//! What the next owner of a service is told of results given back before.

use std::net::SocketAddr;

use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::releases::HeldResults;
use snipeyoke_lib::serving::releases::RecentReleases;
use snipeyoke_lib::time::Time;

fn node(n: u16) -> SocketAddr {
    ([10, 0, 0, 1], n).into()
}

fn service(name: &str) -> PoolName {
    name.parse().expect("a name")
}

fn result(n: u64) -> HeldResults {
    let endpoint: EndpointId = "i-1".parse().expect("a name");
    vec![(endpoint, format!("h{n}"))]
}

/// Gives one result back every ten milliseconds, for three seconds.
fn busy(owner: SocketAddr) -> RecentReleases {
    let mut returned = RecentReleases::default();
    for n in 0..300 {
        returned.record(
            Time::from_millis(n * 10),
            owner,
            &service("tiles"),
            &result(n),
        );
    }
    returned
}

#[test]
fn the_next_owner_is_told_what_the_last_one_missed() {
    // The owner is killed at 2.0 s and found silent at 3.0 s. All that was
    // given back in between went nowhere: at a hundred results a second its
    // endpoints would be full of them, for seconds, under the next owner.
    let mut returned = busy(node(1));
    let now = Time::from_millis(3_000);
    let missed = returned.take_missed(now, node(1), Time::from_millis(2_000));
    let told = &missed[&service("tiles")];
    let handles: Vec<&str> = told.iter().map(|(_, h)| h.as_str()).collect();
    assert_eq!(handles.first(), Some(&"h150"), "half a second is unsure");
    assert_eq!(handles.last(), Some(&"h299"));
    let again = returned.take_missed(now, node(1), Time::from_millis(2_000));
    assert!(again.is_empty(), "each is told once");
}

#[test]
fn what_other_owners_were_told_stays_with_them() {
    let mut returned = busy(node(1));
    let now = Time::from_millis(3_000);
    returned.record(now, node(2), &service("boards"), &result(1_000));
    let missed = returned.take_missed(now, node(2), Time::ZERO);
    assert_eq!(missed.len(), 1);
    assert_eq!(missed[&service("boards")], result(1_000));
}

#[test]
fn what_has_lapsed_is_not_told() {
    // An owner that nobody could reach for a while has nothing left to free.
    let mut returned = busy(node(1));
    let missed = returned.take_missed(Time::from_millis(20_000), node(1), Time::ZERO);
    assert!(missed.is_empty());
}
