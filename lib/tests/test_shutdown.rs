//! Tests of which requests a node accepts during its shutdown.

use std::time::Duration;

use snipeyoke_lib::serving::shutdown::PendingRequest;
use snipeyoke_lib::serving::shutdown::Shutdown;
use snipeyoke_lib::time::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// The schedule of a node that shuts down within eight seconds of time zero.
const fn shutdown() -> Shutdown {
    Shutdown {
        out_of_rotation: Time::from_millis(2_300),
        cancel_at: Time::from_millis(6_880),
        cut_at: Time::from_millis(7_440),
    }
}

fn stream(arrived_at: u64, deadline: u64, remaining: u64) -> PendingRequest {
    PendingRequest {
        stream: true,
        arrived_at: at(arrived_at),
        deadline: at(deadline),
        remaining: Some(Duration::from_millis(remaining)),
    }
}

#[test]
fn stream_is_accepted_if_it_ends_before_the_cut() {
    let request = stream(1_000, 60_000, 3_000);
    assert!(!shutdown().should_refuse(at(4_400), &request));
    assert!(shutdown().should_refuse(at(4_500), &request));
    assert_eq!(shutdown().latest_send(&request), at(4_440));
}

#[test]
fn late_stream_is_refused_however_short() {
    assert!(!shutdown().should_refuse(at(2_400), &stream(2_299, 60_000, 10)));
    assert!(shutdown().should_refuse(at(2_400), &stream(2_300, 60_000, 10)));
}

/// Guards against accepting a plain request, since the node still runs, that is cancelled at once.
#[test]
fn plain_request_is_refused_if_it_would_be_cancelled() {
    let request = PendingRequest {
        stream: false,
        ..stream(5_000, 60_000, 100)
    };
    assert!(!shutdown().should_refuse(at(6_700), &request));
    assert!(shutdown().should_refuse(at(6_800), &request));
    let unknown = PendingRequest {
        remaining: None,
        ..request
    };
    assert!(!shutdown().should_refuse(at(6_800), &unknown));
    assert!(shutdown().should_refuse(at(6_900), &unknown));
}

/// Guards against refusing a request early although its deadline ends it before the shutdown.
#[test]
fn request_with_an_earlier_deadline_is_not_refused() {
    let request = stream(0, 6_000, 7_000);
    assert_eq!(shutdown().latest_send(&request), Time::NEVER);
    assert!(!shutdown().should_refuse(at(1_440), &request));
}
