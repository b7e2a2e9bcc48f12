//! Releases of results that the next owner of a service has to receive.

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

/// Releases one result every ten milliseconds, for three seconds.
fn releases_over_3_s(owner: SocketAddr) -> RecentReleases {
    let mut releases = RecentReleases::default();
    for n in 0..300 {
        releases.record(
            Time::from_millis(n * 10),
            owner,
            &service("tiles"),
            &result(n),
        );
    }
    releases
}

#[test]
fn the_next_owner_gets_the_releases_that_the_last_one_missed() {
    // The owner is killed at 2.0 s and detected as silent at 3.0 s. At a
    // hundred results a second, the releases lost in between would fill the
    // endpoints for seconds under the next owner.
    let mut releases = releases_over_3_s(node(1));
    let now = Time::from_millis(3_000);
    let missed = releases.take_missed(now, node(1), Time::from_millis(2_000));
    let reported = &missed[&service("tiles")];
    let handles: Vec<&str> = reported.iter().map(|(_, h)| h.as_str()).collect();
    assert_eq!(handles.first(), Some(&"h150"), "half a second is uncertain");
    assert_eq!(handles.last(), Some(&"h299"));
    let repeated = releases.take_missed(now, node(1), Time::from_millis(2_000));
    assert!(repeated.is_empty(), "each is reported once");
}

#[test]
fn releases_reported_to_other_owners_are_kept() {
    let mut releases = releases_over_3_s(node(1));
    let now = Time::from_millis(3_000);
    releases.record(now, node(2), &service("boards"), &result(1_000));
    let missed = releases.take_missed(now, node(2), Time::ZERO);
    assert_eq!(missed.len(), 1);
    assert_eq!(missed[&service("boards")], result(1_000));
}

#[test]
fn expired_releases_are_not_reported() {
    // An owner that was unreachable for a while has no results left to release.
    let mut releases = releases_over_3_s(node(1));
    let missed = releases.take_missed(Time::from_millis(20_000), node(1), Time::ZERO);
    assert!(missed.is_empty());
}
