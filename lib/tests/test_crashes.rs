//! Requests under which endpoints end: what is counted, and for how long.

use std::time::Duration;

use snipeyoke_lib::serving::crashes::Casualty;
use snipeyoke_lib::serving::crashes::CrashTracker;
use snipeyoke_lib::serving::crashes::EndReport;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::crashes::PartId;
use snipeyoke_lib::serving::crashes::SETTLE_TIME;
use snipeyoke_lib::serving::crashes::Suspect;
use snipeyoke_lib::serving::crashes::Verdict;
use snipeyoke_lib::serving::crashes::VerdictOutcome;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::time::Time;

const FINGERPRINT: Fingerprint = Fingerprint(0x5c1e);

const REQUEST: Suspect = Suspect::Request(FINGERPRINT);

fn incarnation(n: u64) -> Incarnation {
    Incarnation {
        endpoint: format!("i-{n}").parse().expect("a name"),
        started_at: Some(n),
    }
}

fn at(secs: u64) -> Time {
    Time::from_millis(1_000_000 + secs * 1_000)
}

fn request(number: u128) -> Suspect {
    Suspect::Request(Fingerprint(number))
}

/// Reports an end at `ended` under a request, and what follows once all reports are in.
fn end_at(
    crashes: &mut CrashTracker,
    now: Time,
    ended: Time,
    suspect: Suspect,
    incarnation: &Incarnation,
) -> Option<Verdict> {
    let Suspect::Request(request) = suspect else {
        panic!("a part ends nothing by itself");
    };
    let casualty = Casualty {
        request,
        parts: [PartId(request.0 ^ 0xa0)].into(),
        sent: ended,
        answered: Duration::ZERO,
    };
    let report = EndReport {
        at: ended,
        incarnation: incarnation.clone(),
        casualties: vec![casualty],
    };
    let failed_trials = crashes.on_end(now, &report);
    let mut verdicts = failed_trials;
    for wait in [Duration::ZERO, SETTLE_TIME] {
        verdicts.extend(crashes.poll(now + wait, Some(0)).verdicts);
    }
    assert!(verdicts.len() <= 1, "{verdicts:?}");
    verdicts.pop()
}

/// Reports an end that happens right now.
fn end(
    crashes: &mut CrashTracker,
    now: Time,
    suspect: Suspect,
    incarnation: &Incarnation,
) -> Option<Verdict> {
    end_at(crashes, now, now, suspect, incarnation)
}

/// Records an answer to a request; returns the verdict that follows.
fn answer(crashes: &mut CrashTracker, now: Time, suspect: Suspect) -> Option<Verdict> {
    let Suspect::Request(request) = suspect else {
        panic!("a part is not answered by itself");
    };
    crashes.on_answered(now, request, &[]).0.pop()
}

/// Returns a node that has just counted the third end, and its verdict.
fn quarantined() -> (CrashTracker, Verdict) {
    let mut crashes = CrashTracker::default();
    assert_eq!(end(&mut crashes, at(0), REQUEST, &incarnation(1)), None);
    assert_eq!(end(&mut crashes, at(1), REQUEST, &incarnation(2)), None);
    // The verdict falls at second 2.
    let verdict = end(&mut crashes, at(2) - SETTLE_TIME, REQUEST, &incarnation(3));
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
    assert_eq!(crashes.quarantine_remaining(at(2), request(1)), None);
    assert_eq!(
        crashes.quarantine_remaining(at(700), REQUEST),
        None,
        "forgotten"
    );
}

/// Guards against one end that counts three times because several nodes report
/// it, or one of them repeatedly.
#[test]
fn an_end_counts_once_however_often_it_is_reported() {
    let mut crashes = CrashTracker::default();
    for secs in 0..9 {
        let incarnation = incarnation(secs % 2);
        assert_eq!(end(&mut crashes, at(secs), REQUEST, &incarnation), None);
    }
    let restarted = Incarnation {
        started_at: Some(77),
        ..incarnation(1)
    };
    assert!(end(&mut crashes, at(9), REQUEST, &restarted).is_some());
}

#[test]
fn old_ends_do_not_count() {
    let mut crashes = CrashTracker::default();
    for n in 0..20 {
        assert_eq!(
            end(&mut crashes, at(n * 400), REQUEST, &incarnation(n)),
            None
        );
    }
}

/// Guards against a frequent request that is answered but refused because it
/// shared endpoints with one that crashes them.
#[test]
fn an_answer_clears_the_ends_before_it() {
    let mut crashes = CrashTracker::default();
    for n in 0..20 {
        assert_eq!(end(&mut crashes, at(n), REQUEST, &incarnation(n)), None);
        if n % 2 == 1 {
            assert_eq!(answer(&mut crashes, at(n), REQUEST), None);
        }
    }
}

#[test]
fn a_node_with_an_answer_lifts_the_quarantine_everywhere() {
    let (mut counter, verdict) = quarantined();
    let mut witness = CrashTracker::default();
    answer(&mut witness, at(1), REQUEST);
    let VerdictOutcome::Overruled(lifted) = witness.apply_verdict(at(2), verdict) else {
        panic!("it had an answer after the first end");
    };
    assert_eq!(witness.quarantine_remaining(at(2), REQUEST), None);
    assert_eq!(counter.apply_verdict(at(2), lifted), VerdictOutcome::New);
    assert_eq!(counter.quarantine_remaining(at(2), REQUEST), None);
    // A third node receives both, the newer one first.
    let mut late = CrashTracker::default();
    late.apply_verdict(at(3), lifted);
    assert_eq!(late.apply_verdict(at(3), verdict), VerdictOutcome::Known);
    assert_eq!(late.quarantine_remaining(at(3), REQUEST), None);
}

#[test]
fn an_answer_before_the_first_end_is_no_objection() {
    let (_, verdict) = quarantined();
    let mut node = CrashTracker::default();
    answer(&mut node, at(0), REQUEST);
    assert_eq!(node.apply_verdict(at(3), verdict), VerdictOutcome::New);
    assert!(node.quarantine_remaining(at(3), REQUEST).is_some());
}

/// Guards against a request that is refused for minutes after its endpoints,
/// which ended for another reason, have recovered.
#[test]
fn a_request_gets_one_trial_after_its_quarantine() {
    let (mut crashes, verdict) = quarantined();
    assert_eq!(verdict.remaining, Duration::from_mins(1));
    assert_eq!(crashes.try_start_trial(at(61), REQUEST), None);
    assert!(crashes.try_start_trial(at(62), REQUEST).is_some());
    assert_eq!(
        crashes.try_start_trial(at(63), REQUEST),
        None,
        "one at a time"
    );
    assert!(crashes.may_continue(at(63), REQUEST), "the trial continues");
    assert!(
        crashes.quarantine_remaining(at(63), REQUEST).is_some(),
        "other requests are refused"
    );
    assert!(
        answer(&mut crashes, at(64), REQUEST).is_some(),
        "all nodes are notified"
    );
    assert_eq!(crashes.quarantine_remaining(at(64), REQUEST), None);
}

/// Guards against more endpoints lost to trials of a request, however far apart
/// these are.
#[test]
fn a_trial_that_ends_an_endpoint_extends_the_quarantine() {
    let (mut crashes, _) = quarantined();
    let mut now = at(2);
    let mut durations = Vec::new();
    for n in 0..4 {
        now = now
            + crashes
                .quarantine_remaining(now, REQUEST)
                .expect("it is refused");
        let trial = crashes.try_start_trial(now, REQUEST);
        assert_eq!(
            trial.map(|v| v.trials),
            (n < 3).then_some(n + 1),
            "trial {n}"
        );
        let verdict = end(&mut crashes, now, REQUEST, &incarnation(9 + u64::from(n)));
        durations.push(verdict.expect("all nodes are notified").remaining.as_secs());
        assert!(!crashes.may_continue(now, REQUEST));
    }
    assert_eq!(durations, [186, 744, 2_976, 3_600]);
}

/// Guards against a node that starts during a trial elsewhere and sends the
/// request like any other.
#[test]
fn an_expired_quarantine_is_sent_to_starting_nodes() {
    let (crashes, _) = quarantined();
    let now = at(100);
    let mut node = CrashTracker::default();
    for verdict in crashes.changes_since(now, 0, 64).0 {
        assert_eq!(node.apply_verdict(now, verdict), VerdictOutcome::New);
    }
    assert!(node.quarantine_remaining(at(101), REQUEST).is_some());
}

/// Guards against two nodes that send each other the same verdict forever,
/// slightly extended each time.
#[test]
fn a_verdict_that_returns_is_not_a_change() {
    let (mut first, _) = quarantined();
    let mut second = CrashTracker::default();
    let (mut sent_to_second, mut sent_to_first) = (0, 0);
    let mut frames = 0;
    for n in 0..400 {
        let now = at(3) + Duration::from_millis(n * 250);
        let (verdicts, last) = first.changes_since(now, sent_to_second, 64);
        sent_to_second = last;
        frames += verdicts.len();
        for verdict in verdicts {
            second.apply_verdict(now + Duration::from_millis(50), verdict);
        }
        let (verdicts, last) = second.changes_since(now, sent_to_first, 64);
        sent_to_first = last;
        frames += verdicts.len();
        for verdict in verdicts {
            first.apply_verdict(now + Duration::from_millis(50), verdict);
        }
    }
    assert_eq!(frames, 2);
}

#[test]
fn changes_come_in_batches_and_each_once() {
    let mut crashes = CrashTracker::default();
    for n in 0..50_u64 {
        for lost in 0..3 {
            let now = at(n) + Duration::from_millis(300 * lost);
            end(
                &mut crashes,
                now,
                request(u128::from(n)),
                &incarnation(3 * n + lost),
            );
        }
    }
    let mut sent = 0;
    let mut all = Vec::new();
    for _ in 0..5 {
        let (verdicts, last) = crashes.changes_since(at(60), sent, 20);
        sent = last;
        all.extend(verdicts.iter().map(|v| v.suspect));
    }
    assert_eq!(all.len(), 50);
    assert_eq!(crashes.latest(at(60), 16).len(), 16);
}

/// Guards against tables that grow with the requests of a long outage.
#[test]
fn the_tables_are_bounded_and_evict_the_oldest() {
    let mut crashes = CrashTracker::default();
    for n in 0..10_000_u64 {
        let casualty = Casualty {
            request: Fingerprint(u128::from(n)),
            parts: (0..64).map(|p| PartId(u128::from(64 * n + p))).collect(),
            sent: at(0),
            answered: Duration::ZERO,
        };
        let report = EndReport {
            at: at(0),
            incarnation: incarnation(n),
            casualties: vec![casualty],
        };
        crashes.on_end(at(0), &report);
        answer(&mut crashes, at(0), request(u128::from(n) << 64));
    }
    let (_, suspects) = crashes.counts(at(0));
    assert!(suspects <= 32_768, "{suspects} suspects");
    assert_eq!(crashes.lost_endpoints(request(9_999)).count(), 1);
    let (_, verdict) = quarantined();
    for n in 0..5_000_u128 {
        let suspect = request(n << 32);
        let verdict = Verdict { suspect, ..verdict };
        crashes.apply_verdict(at(1), verdict);
    }
    let (quarantined, _) = crashes.counts(at(7));
    assert_eq!(quarantined, 1_024);
    let newest = request(4_999 << 32);
    assert!(crashes.quarantine_remaining(at(7), newest).is_some());
}

#[test]
fn suspects_round_trip_as_text() {
    assert_eq!(FINGERPRINT.to_string().len(), 32);
    assert_eq!(FINGERPRINT.to_string().parse(), Ok(FINGERPRINT));
    for suspect in [REQUEST, Suspect::Part(PartId(0xbad0_c0de))] {
        assert_eq!(suspect.to_string().parse(), Ok(suspect));
    }
}

/// Guards against errors that do not say what to write instead.
#[test]
fn texts_that_name_no_suspect_are_explained() {
    let errors = ["5c1e", "stage:5c1e", "part:", "part:xyz", "part:+5"];
    let errors = errors.map(|text| {
        let error = text.parse::<Suspect>().expect_err("it names none");
        error.to_string()
    });
    assert_eq!(
        errors,
        [
            "\"5c1e\" names no suspect: write part:ID or request:FINGERPRINT",
            "\"stage:5c1e\" names no suspect: write part:ID or request:FINGERPRINT",
            "\"\" is no id: write 1 to 32 hexadecimal digits",
            "\"xyz\" is no id: write 1 to 32 hexadecimal digits",
            "\"+5\" is no id: write 1 to 32 hexadecimal digits",
        ]
    );
}

/// Guards against a request that is refused for ends before its answer, because
/// they are reported again after it.
#[test]
fn ends_reported_again_after_an_answer_do_not_count() {
    let mut crashes = CrashTracker::default();
    answer(&mut crashes, at(3), REQUEST);
    for n in 0..3 {
        assert_eq!(
            end_at(&mut crashes, at(4), at(n), REQUEST, &incarnation(n)),
            None
        );
    }
    assert_eq!(crashes.quarantine_remaining(at(4), REQUEST), None);
}

/// Guards against a node that considers an answer older than the ends, because
/// these are counted when they are reported.
#[test]
fn a_node_objects_to_ends_that_were_reported_late() {
    let mut counter = CrashTracker::default();
    end_at(&mut counter, at(5), at(0), REQUEST, &incarnation(0));
    end(&mut counter, at(6), REQUEST, &incarnation(1));
    let verdict = end(&mut counter, at(7) - SETTLE_TIME, REQUEST, &incarnation(2));
    let verdict = verdict.expect("three have ended");
    assert_eq!(verdict.first_end_age, Duration::from_secs(7));
    let mut witness = CrashTracker::default();
    answer(&mut witness, at(3), REQUEST);
    let outcome = witness.apply_verdict(at(7), verdict);
    assert!(
        matches!(outcome, VerdictOutcome::Overruled(_)),
        "{outcome:?}"
    );
}

/// Guards against a quarantine that is restored by earlier ends after it was
/// lifted elsewhere.
#[test]
fn ends_reported_again_after_a_lifted_quarantine_do_not_count() {
    let (mut crashes, verdict) = quarantined();
    let lifted = Verdict {
        version: verdict.version + 1,
        remaining: Duration::ZERO,
        ..verdict
    };
    crashes.apply_verdict(at(4), lifted);
    for n in 1..4 {
        assert_eq!(
            end_at(&mut crashes, at(5), at(n - 1), REQUEST, &incarnation(n)),
            None
        );
    }
    assert_eq!(crashes.quarantine_remaining(at(5), REQUEST), None);
}

/// Guards against a trial that counts as failed and is repeated, because an end
/// from before the quarantine is reported again.
#[test]
fn an_end_reported_again_after_the_quarantine_is_no_failed_trial() {
    let (mut crashes, _) = quarantined();
    assert!(crashes.try_start_trial(at(62), REQUEST).is_some());
    assert_eq!(
        end_at(&mut crashes, at(63), at(1), REQUEST, &incarnation(2)),
        None
    );
    assert_eq!(
        crashes.quarantine_remaining(at(63), REQUEST),
        Some(Duration::from_secs(10)),
        "it is still refused except for trials"
    );
    assert_eq!(
        crashes.try_start_trial(at(64), REQUEST),
        None,
        "one at a time"
    );
}

/// Guards against a request that continues to crash endpoints because its
/// trials have no verdict: their callers leave, or the endpoints refuse them.
#[test]
fn trials_without_a_verdict_are_three_at_most() {
    let (mut crashes, _) = quarantined();
    let trials = (62..1_000).filter(|&secs| crashes.try_start_trial(at(secs), REQUEST).is_some());
    let trials: Vec<u64> = trials.collect();
    assert_eq!(trials, [62, 72, 112]);
    assert_eq!(
        crashes.quarantine_remaining(at(120), REQUEST),
        Some(Duration::from_secs(542)),
        "it is refused until it is forgotten"
    );
}

/// Guards against a trial count that restarts at each node that ranks first.
#[test]
fn a_trial_that_failed_elsewhere_counts() {
    let (_, mut verdict) = quarantined();
    let mut crashes = CrashTracker::default();
    let mut now = at(2);
    for version in 1..=4 {
        verdict.version = version;
        verdict.trials = version - 1;
        assert_eq!(crashes.apply_verdict(now, verdict), VerdictOutcome::New);
        now = now + verdict.remaining;
    }
    assert_eq!(crashes.try_start_trial(now, REQUEST), None);
}

/// Guards against a node that considers an answer older than the first end
/// because of the transit time of the verdict.
#[test]
fn an_answer_right_after_the_first_end_is_an_objection() {
    let (_, verdict) = quarantined();
    let mut witness = CrashTracker::default();
    answer(&mut witness, at(0) + Duration::from_millis(20), REQUEST);
    let outcome = witness.apply_verdict(at(2) + Duration::from_millis(50), verdict);
    assert!(
        matches!(outcome, VerdictOutcome::Overruled(_)),
        "{outcome:?}"
    );
}
