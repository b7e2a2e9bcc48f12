//! Detection of endpoints that ended while they had requests.

use std::time::Duration;

use snipeyoke_lib::serving::crashes::Casualty;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::endpoint_loss::EndpointLoss;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::serving::endpoint_loss::LossAction;
use snipeyoke_lib::time::Time;

fn request(number: u128) -> Casualty {
    Casualty {
        request: Fingerprint(number),
        parts: Vec::new().into(),
        sent: Time::ZERO,
        answered: Duration::ZERO,
    }
}

fn incarnation(started_at: u64) -> Incarnation {
    Incarnation {
        endpoint: "i-1".parse().expect("a name"),
        started_at: Some(started_at),
    }
}

#[test]
fn one_probe_decides_for_all_requests_of_an_endpoint() {
    let mut loss = EndpointLoss::default();
    let now = Time::from_millis(5_000);
    assert_eq!(
        loss.on_connection_lost(now, &incarnation(1), request(1)),
        LossAction::Probe
    );
    assert_eq!(
        loss.on_connection_lost(now, &incarnation(1), request(2)),
        LossAction::AwaitProbe
    );
    let ended = loss.on_probe_result(now, &incarnation(1), true);
    assert_eq!(ended, [(now, request(1)), (now, request(2))]);
    assert_eq!(
        loss.on_connection_lost(now, &incarnation(1), request(3)),
        LossAction::Ended
    );
    assert_eq!(
        loss.on_connection_lost(now, &incarnation(2), request(3)),
        LossAction::Probe
    );
}

/// Guards against requests that are blamed for connections that were reset
/// while their endpoint is alive.
#[test]
fn no_request_is_blamed_for_an_endpoint_that_is_alive() {
    let mut loss = EndpointLoss::default();
    let now = Time::from_millis(5_000);
    loss.on_connection_lost(now, &incarnation(1), request(1));
    assert!(loss.on_probe_result(now, &incarnation(1), false).is_empty());
    assert_eq!(
        loss.on_connection_lost(now, &incarnation(1), request(2)),
        LossAction::Alive
    );
    let later = now + Duration::from_secs(1);
    assert_eq!(
        loss.on_connection_lost(later, &incarnation(1), request(2)),
        LossAction::Probe
    );
}

/// Guards against a request that crashes endpoints undetected because its
/// callers have disconnected before.
#[test]
fn a_request_abandoned_right_before_the_end_is_blamed() {
    let mut loss = EndpointLoss::default();
    let now = Time::from_millis(5_000);
    loss.on_request_abandoned(now, &incarnation(1), request(1));
    loss.on_request_abandoned(now, &incarnation(2), request(2));
    let soon = now + Duration::from_millis(300);
    assert!(
        loss.on_connection_refused(soon, &incarnation(1)),
        "a probe is needed"
    );
    assert!(!loss.on_connection_refused(soon, &incarnation(1)), "once");
    let later = now + Duration::from_millis(400);
    assert_eq!(
        loss.on_probe_result(later, &incarnation(1), true),
        [(soon, request(1))],
        "the other one was elsewhere"
    );
    assert!(
        !loss.on_connection_refused(later, &incarnation(1)),
        "it is known"
    );
}

/// Guards against requests that are blamed for ends long after they were
/// abandoned.
#[test]
fn a_request_abandoned_long_before_the_end_is_not_blamed() {
    let mut loss = EndpointLoss::default();
    let now = Time::from_millis(5_000);
    loss.on_request_abandoned(now, &incarnation(1), request(1));
    let later = now + Duration::from_secs(1);
    assert!(
        !loss.on_connection_refused(later, &incarnation(1)),
        "no probe is needed"
    );
    loss.on_connection_lost(later, &incarnation(1), request(2));
    let ended = loss.on_probe_result(later, &incarnation(1), true);
    assert_eq!(ended, [(later, request(2))]);
}
