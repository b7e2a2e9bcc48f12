//! Tests of the text forms of outcomes and reasons.

use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::outcome::Reason;

#[test]
fn reasons_and_outcomes_round_trip() {
    // An agent sends its reason as text, and a router that can't parse it falls back to
    // "endpoint-failure". That happened to all reasons of two words.
    let reasons = [
        Reason::Deadline,
        Reason::NoEndpoint,
        Reason::RetryBudget,
        Reason::EndpointFailure,
        Reason::CallerGone,
        Reason::KeyUnknown,
        Reason::KeyConflict,
        Reason::NoLease,
        Reason::Draining,
    ];
    for reason in reasons {
        assert_eq!(reason.to_string().parse().ok(), Some(reason));
    }
    assert_eq!("not-run".parse().ok(), Some(Outcome::NotRun));
}
