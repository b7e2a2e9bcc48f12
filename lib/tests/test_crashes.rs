//! Requests under which endpoints end: what is counted, and for how long.

use std::time::Duration;

use snipeyoke_lib::serving::crashes::CrashTracker;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::crashes::Verdict;
use snipeyoke_lib::serving::crashes::VerdictOutcome;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::time::Time;

const REQUEST: Fingerprint = Fingerprint(0x5c1e);

fn run(n: u64) -> Incarnation {
    Incarnation {
        endpoint: format!("i-{n}").parse().expect("a name"),
        started_at: Some(n),
    }
}

fn at(secs: u64) -> Time {
    Time::from_millis(1_000_000 + secs * 1_000)
}

/// Returns a node that has just counted the third end, and its verdict.
fn quarantined() -> (CrashTracker, Verdict) {
    let mut crashes = CrashTracker::default();
    assert_eq!(crashes.on_end(at(0), REQUEST, &run(1)), None);
    assert_eq!(crashes.on_end(at(1), REQUEST, &run(2)), None);
    let verdict = crashes.on_end(at(2), REQUEST, &run(3));
    (crashes, verdict.expect("three have ended"))
}

#[test]
fn the_third_end_quarantines_a_request() {
    let (crashes, verdict) = quarantined();
    assert_eq!(verdict.first_end_age, Duration::from_secs(2));
    assert_eq!(
        crashes.quarantine_remaining(at(2), REQUEST),
        Some(verdict.remaining)
    );
    assert_eq!(crashes.quarantine_remaining(at(2), Fingerprint(1)), None);
    assert_eq!(
        crashes.quarantine_remaining(at(700), REQUEST),
        None,
        "forgotten"
    );
}

/// Guards against one end that counts three times because several nodes, or one
/// of them several times, tell it.
#[test]
fn an_end_counts_once_whoever_tells_it() {
    let mut crashes = CrashTracker::default();
    for secs in 0..9 {
        let run = run(secs % 2);
        assert_eq!(crashes.on_end(at(secs), REQUEST, &run), None);
    }
    let again = Incarnation {
        started_at: Some(77),
        ..run(1)
    };
    assert!(crashes.on_end(at(9), REQUEST, &again).is_some());
}

#[test]
fn old_ends_do_not_count() {
    let mut crashes = CrashTracker::default();
    for n in 0..20 {
        assert_eq!(crashes.on_end(at(n * 400), REQUEST, &run(n)), None);
    }
}

/// Guards against a request that is often asked and answered, and is refused
/// because it was beside one that ends endpoints.
#[test]
fn an_answer_clears_the_ends_before_it() {
    let mut crashes = CrashTracker::default();
    for n in 0..20 {
        assert_eq!(crashes.on_end(at(n), REQUEST, &run(n)), None);
        if n % 2 == 1 {
            assert_eq!(crashes.on_answered(at(n), REQUEST), None);
        }
    }
}

#[test]
fn a_node_that_had_an_answer_objects_and_all_lift_the_quarantine() {
    let (mut counter, verdict) = quarantined();
    let mut witness = CrashTracker::default();
    witness.on_answered(at(1), REQUEST);
    let VerdictOutcome::Overruled(lifted) = witness.apply_verdict(at(2), verdict) else {
        panic!("it had an answer after the first end");
    };
    assert_eq!(witness.quarantine_remaining(at(2), REQUEST), None);
    assert_eq!(counter.apply_verdict(at(2), lifted), VerdictOutcome::New);
    assert_eq!(counter.quarantine_remaining(at(2), REQUEST), None);
    // A third node hears of both, the newer one first.
    let mut late = CrashTracker::default();
    late.apply_verdict(at(3), lifted);
    assert_eq!(late.apply_verdict(at(3), verdict), VerdictOutcome::Known);
    assert_eq!(late.quarantine_remaining(at(3), REQUEST), None);
}

#[test]
fn an_answer_before_the_first_end_is_no_objection() {
    let (_, verdict) = quarantined();
    let mut node = CrashTracker::default();
    node.on_answered(at(0), REQUEST);
    assert_eq!(node.apply_verdict(at(3), verdict), VerdictOutcome::New);
    assert!(node.quarantine_remaining(at(3), REQUEST).is_some());
}

/// Guards against a request that is refused for minutes after its endpoints,
/// which ended for another reason, are well again.
#[test]
fn a_request_is_tried_once_after_its_quarantine() {
    let (mut crashes, verdict) = quarantined();
    assert_eq!(verdict.remaining, Duration::from_mins(1));
    assert!(!crashes.try_start_trial(at(61), REQUEST));
    assert!(crashes.try_start_trial(at(62), REQUEST));
    assert!(!crashes.try_start_trial(at(63), REQUEST), "one at a time");
    assert!(crashes.may_continue(at(63), REQUEST), "it goes on");
    assert!(
        crashes.quarantine_remaining(at(63), REQUEST).is_some(),
        "others wait"
    );
    assert!(
        crashes.on_answered(at(64), REQUEST).is_some(),
        "all are told"
    );
    assert_eq!(crashes.quarantine_remaining(at(64), REQUEST), None);
}

/// Guards against a fourth endpoint that a request ends in trials, however far
/// apart they are.
#[test]
fn a_trial_that_ends_an_endpoint_puts_the_quarantine_back_for_longer() {
    let (mut crashes, _) = quarantined();
    let mut now = at(2);
    let mut lasted = Vec::new();
    for n in 0..4 {
        now = now
            + crashes
                .quarantine_remaining(now, REQUEST)
                .expect("it is refused");
        assert_eq!(crashes.try_start_trial(now, REQUEST), n < 3, "trial {n}");
        let verdict = crashes.on_end(now, REQUEST, &run(9 + n));
        lasted.push(verdict.expect("all are told").remaining.as_secs());
        assert!(!crashes.may_continue(now, REQUEST));
    }
    assert_eq!(lasted, [186, 744, 2_976, 3_600]);
}

/// Guards against a node that starts while a request is tried elsewhere, and
/// sends it as if it were any other.
#[test]
fn a_quarantine_that_may_go_on_is_told_to_nodes_that_start() {
    let (crashes, _) = quarantined();
    let now = at(100);
    let mut node = CrashTracker::default();
    for verdict in crashes.changes_since(now, 0, 64).0 {
        assert_eq!(node.apply_verdict(now, verdict), VerdictOutcome::New);
    }
    assert!(node.quarantine_remaining(at(101), REQUEST).is_some());
}

/// Guards against two nodes that tell each other the same verdict for ever, a
/// little longer each time.
#[test]
fn a_verdict_that_comes_back_is_no_news() {
    let (mut first, _) = quarantined();
    let mut second = CrashTracker::default();
    let (mut told, mut heard) = (0, 0);
    let mut frames = 0;
    for n in 0..400 {
        let now = at(3) + Duration::from_millis(n * 250);
        let (verdicts, last) = first.changes_since(now, told, 64);
        told = last;
        frames += verdicts.len();
        for verdict in verdicts {
            second.apply_verdict(now + Duration::from_millis(50), verdict);
        }
        let (verdicts, last) = second.changes_since(now, heard, 64);
        heard = last;
        frames += verdicts.len();
        for verdict in verdicts {
            first.apply_verdict(now + Duration::from_millis(50), verdict);
        }
    }
    assert_eq!(frames, 2);
}

#[test]
fn news_come_in_parts_and_each_once() {
    let mut crashes = CrashTracker::default();
    for n in 0..50_u64 {
        for end in 0..3 {
            crashes.on_end(at(n), Fingerprint(u128::from(n)), &run(3 * n + end));
        }
    }
    let mut told = 0;
    let mut all = Vec::new();
    for _ in 0..5 {
        let (verdicts, last) = crashes.changes_since(at(60), told, 20);
        told = last;
        all.extend(verdicts.iter().map(|v| v.request));
    }
    assert_eq!(all.len(), 50);
    assert_eq!(crashes.latest(at(60), 16).len(), 16);
}

/// Guards against tables that grow with the requests of a long outage.
#[test]
fn the_tables_are_bounded_and_the_oldest_yields() {
    let mut crashes = CrashTracker::default();
    for n in 0..10_000_u64 {
        let request = Fingerprint(u128::from(n));
        crashes.on_end(at(0), request, &run(n));
        crashes.on_answered(at(0), Fingerprint(u128::from(n) << 64));
    }
    let (_, suspects) = crashes.counts(at(0));
    assert_eq!(suspects, 2_048);
    for n in 0..5_000_u64 {
        for end in 0..3 {
            let request = Fingerprint(u128::from(n) << 32);
            let now = at(1) + Duration::from_millis(n);
            crashes.on_end(now, request, &run(3 * n + end));
        }
    }
    let (quarantined, _) = crashes.counts(at(7));
    assert_eq!(quarantined, 1_024);
    let newest = Fingerprint(4_999 << 32);
    assert!(crashes.quarantine_remaining(at(7), newest).is_some());
}

#[test]
fn a_fingerprint_reads_as_it_is_written() {
    let text = REQUEST.to_string();
    assert_eq!(text.len(), 32);
    assert_eq!(text.parse(), Ok(REQUEST));
}

/// Guards against a request that is refused for ends before its answer, because
/// they are told again after it.
#[test]
fn ends_told_again_after_an_answer_do_not_count() {
    let mut crashes = CrashTracker::default();
    crashes.on_answered(at(3), REQUEST);
    for n in 0..3 {
        assert_eq!(
            crashes.on_reported_end(at(4), at(n), REQUEST, &run(n)),
            None
        );
    }
    assert_eq!(crashes.quarantine_remaining(at(4), REQUEST), None);
}

/// Guards against a node that takes an answer for older than the ends, because
/// these are counted when they are told.
#[test]
fn a_node_objects_to_ends_that_were_told_late() {
    let mut counter = CrashTracker::default();
    counter.on_reported_end(at(5), at(0), REQUEST, &run(0));
    counter.on_end(at(6), REQUEST, &run(1));
    let verdict = counter.on_end(at(7), REQUEST, &run(2));
    let verdict = verdict.expect("three have ended");
    assert_eq!(verdict.first_end_age, Duration::from_secs(7));
    let mut witness = CrashTracker::default();
    witness.on_answered(at(3), REQUEST);
    let learned = witness.apply_verdict(at(7), verdict);
    assert!(
        matches!(learned, VerdictOutcome::Overruled(_)),
        "{learned:?}"
    );
}

/// Guards against a quarantine that is put back after it was lifted elsewhere, by
/// ends from before.
#[test]
fn ends_told_again_after_a_lifted_quarantine_do_not_count() {
    let (mut crashes, verdict) = quarantined();
    let lifted = Verdict {
        version: verdict.version + 1,
        remaining: Duration::ZERO,
        ..verdict
    };
    crashes.apply_verdict(at(4), lifted);
    for n in 1..4 {
        assert_eq!(
            crashes.on_reported_end(at(5), at(n - 1), REQUEST, &run(n)),
            None
        );
    }
    assert_eq!(crashes.quarantine_remaining(at(5), REQUEST), None);
}

/// Guards against a trial that is taken for failed, and repeated, because an end
/// from before the quarantine is told again.
#[test]
fn an_end_told_again_after_the_quarantine_is_no_failed_trial() {
    let (mut crashes, _) = quarantined();
    assert!(crashes.try_start_trial(at(62), REQUEST));
    assert_eq!(
        crashes.on_reported_end(at(63), at(1), REQUEST, &run(2)),
        None
    );
    assert_eq!(
        crashes.quarantine_remaining(at(63), REQUEST),
        Some(Duration::from_secs(10)),
        "it is still over but for trials"
    );
    assert!(!crashes.try_start_trial(at(64), REQUEST), "one at a time");
}

/// Guards against a request that goes on ending endpoints, because its trials
/// have no verdict: their callers leave, or the endpoints refuse them.
#[test]
fn trials_without_a_verdict_are_three_at_most() {
    let (mut crashes, _) = quarantined();
    let tried = (62..1_000).filter(|&secs| crashes.try_start_trial(at(secs), REQUEST));
    let tried: Vec<u64> = tried.collect();
    assert_eq!(tried, [62, 72, 112]);
    assert_eq!(
        crashes.quarantine_remaining(at(120), REQUEST),
        Some(Duration::from_secs(542)),
        "it is refused until it is forgotten"
    );
}

/// Guards against trials that begin anew at each node that ranks first.
#[test]
fn a_trial_that_failed_elsewhere_counts() {
    let (_, mut verdict) = quarantined();
    let mut crashes = CrashTracker::default();
    let mut now = at(2);
    for version in 1..=4 {
        verdict.version = version;
        assert_eq!(crashes.apply_verdict(now, verdict), VerdictOutcome::New);
        now = now + verdict.remaining;
    }
    assert!(!crashes.try_start_trial(now, REQUEST));
}

/// Guards against a node that takes an answer for older than the first end, because
/// the verdict has been on its way.
#[test]
fn an_answer_right_after_the_first_end_is_an_objection() {
    let (_, verdict) = quarantined();
    let mut witness = CrashTracker::default();
    witness.on_answered(at(0) + Duration::from_millis(20), REQUEST);
    let learned = witness.apply_verdict(at(2) + Duration::from_millis(50), verdict);
    assert!(
        matches!(learned, VerdictOutcome::Overruled(_)),
        "{learned:?}"
    );
}
