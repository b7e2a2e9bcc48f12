//! Tests of the words for outcomes and reasons.

use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::outcome::Reason;

#[test]
fn reasons_and_outcomes_round_trip() {
    // The operator sees "endpoint-failure" for every cause that has two words.
    // An agent writes its reason into the reply, and the router that can't read
    // it back takes the general one. So all words must come back as they were.
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
