//! Tests of the words for outcomes and reasons.

use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::outcome::Reason;

#[test]
fn reads_every_reason_that_it_writes() {
    // The caller repeats a key with another body and is told of a failed endpoint.
    // The agent writes "key-conflict" into its reply; a router that can't read
    // the word takes the default reason, and resolves what needs no resolving.
    let reasons = [
        Reason::Deadline,
        Reason::Limit,
        Reason::NoEndpoint,
        Reason::Overload,
        Reason::Draining,
        Reason::RetryBudget,
        Reason::Connection,
        Reason::EndpointFailure,
        Reason::Timeout,
        Reason::CallerGone,
        Reason::Stopped,
        Reason::KeyUnknown,
        Reason::KeyConflict,
        Reason::NoLease,
    ];
    for reason in reasons {
        assert_eq!(reason.to_string().parse(), Ok(reason));
    }
    for outcome in [Outcome::Completed, Outcome::NotRun, Outcome::Unknown] {
        assert_eq!(outcome.to_string().parse(), Ok(outcome));
    }
}
