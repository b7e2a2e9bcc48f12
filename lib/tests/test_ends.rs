//! Which endpoints ended while they had requests.

use std::time::Duration;

use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::ends::Broke;
use snipeyoke_lib::serving::ends::Ends;
use snipeyoke_lib::serving::ends::Incarnation;
use snipeyoke_lib::time::Time;

fn run(born: u64) -> Incarnation {
    Incarnation {
        endpoint: "i-1".parse().expect("a name"),
        born: Some(born),
    }
}

#[test]
fn one_look_tells_for_all_requests_of_an_endpoint() {
    let mut ends = Ends::default();
    let now = Time::from_millis(5_000);
    assert_eq!(ends.broke(now, &run(1), Fingerprint(1)), Broke::Look);
    assert_eq!(ends.broke(now, &run(1), Fingerprint(2)), Broke::Waits);
    let ended = ends.looked(now, &run(1), true);
    assert_eq!(ended, [(now, Fingerprint(1)), (now, Fingerprint(2))]);
    assert_eq!(ends.broke(now, &run(1), Fingerprint(3)), Broke::Ended);
    assert_eq!(ends.broke(now, &run(2), Fingerprint(3)), Broke::Look);
}

/// Guards against requests that are blamed for connections that were reset
/// while their endpoint lives.
#[test]
fn no_request_is_blamed_for_an_endpoint_that_lives() {
    let mut ends = Ends::default();
    let now = Time::from_millis(5_000);
    ends.broke(now, &run(1), Fingerprint(1));
    assert!(ends.looked(now, &run(1), false).is_empty());
    assert_eq!(ends.broke(now, &run(1), Fingerprint(2)), Broke::Lives);
    let later = now + Duration::from_secs(1);
    assert_eq!(ends.broke(later, &run(1), Fingerprint(2)), Broke::Look);
}

/// Guards against a request that ends endpoints unseen, because its callers have
/// gone before.
#[test]
fn a_request_that_was_given_up_right_before_the_end_is_told() {
    let mut ends = Ends::default();
    let now = Time::from_millis(5_000);
    ends.given_up(now, &run(1), Fingerprint(1));
    ends.given_up(now, &run(2), Fingerprint(2));
    let soon = now + Duration::from_millis(300);
    assert!(ends.refused(soon, &run(1)), "somebody has to look");
    assert!(!ends.refused(soon, &run(1)), "once");
    let later = now + Duration::from_millis(400);
    assert_eq!(
        ends.looked(later, &run(1), true),
        [(soon, Fingerprint(1))],
        "the other one was elsewhere"
    );
    assert!(!ends.refused(later, &run(1)), "it is known");
}

/// Guards against requests that are blamed for ends long after they were given up.
#[test]
fn a_request_that_was_given_up_long_before_the_end_is_not_told() {
    let mut ends = Ends::default();
    let now = Time::from_millis(5_000);
    ends.given_up(now, &run(1), Fingerprint(1));
    let later = now + Duration::from_secs(1);
    assert!(!ends.refused(later, &run(1)), "nothing to look for");
    ends.broke(later, &run(1), Fingerprint(2));
    let ended = ends.looked(later, &run(1), true);
    assert_eq!(ended, [(later, Fingerprint(2))]);
}
