//! What a node that leaves still begins.

use std::time::Duration;

use snipeyoke_lib::serving::shutdown::PendingRequest;
use snipeyoke_lib::serving::shutdown::Shutdown;
use snipeyoke_lib::time::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// A node that has eight seconds from the start of time.
const fn stop() -> Shutdown {
    Shutdown {
        out_of_rotation: Time::from_millis(2_300),
        cancel_at: Time::from_millis(6_880),
        cut_at: Time::from_millis(7_440),
    }
}

fn stream(began: u64, due: u64, ahead: u64) -> PendingRequest {
    PendingRequest {
        stream: true,
        arrived_at: at(began),
        deadline: at(due),
        remaining: Some(Duration::from_millis(ahead)),
    }
}

#[test]
fn a_stream_is_begun_if_it_ends_before_the_cut() {
    let request = stream(1_000, 60_000, 3_000);
    assert!(!stop().should_refuse(at(4_400), &request));
    assert!(stop().should_refuse(at(4_500), &request));
    assert_eq!(stop().latest_send(&request), at(4_440));
}

#[test]
fn a_stream_that_comes_late_is_not_begun_however_short() {
    assert!(!stop().should_refuse(at(2_400), &stream(2_299, 60_000, 10)));
    assert!(stop().should_refuse(at(2_400), &stream(2_300, 60_000, 10)));
}

/// Guards against a plain request that passes since the node is not yet gone, and
/// is given up at once.
#[test]
fn a_plain_request_is_judged_by_the_moment_at_which_it_would_be_given_up() {
    let request = PendingRequest {
        stream: false,
        ..stream(5_000, 60_000, 100)
    };
    assert!(!stop().should_refuse(at(6_700), &request));
    assert!(stop().should_refuse(at(6_800), &request));
    let unknown = PendingRequest {
        remaining: None,
        ..request
    };
    assert!(!stop().should_refuse(at(6_800), &unknown));
    assert!(stop().should_refuse(at(6_900), &unknown));
}

/// Guards against a request that is given up early although its deadline, not the
/// node, ends it.
#[test]
fn a_request_that_is_due_before_the_node_leaves_is_not_given_up_for_it() {
    let request = stream(0, 6_000, 7_000);
    assert_eq!(stop().latest_send(&request), Time::NEVER);
    assert!(!stop().should_refuse(at(1_440), &request));
}
