//! Replicas, retry budgets, health, event streams and answer durations of the
//! serving modules.

use std::sync::Arc;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::budget::BudgetLimits;
use snipeyoke_lib::serving::budget::SharedBudget;
use snipeyoke_lib::serving::durations::Durations;
use snipeyoke_lib::serving::durations::Remaining;
use snipeyoke_lib::serving::durations::RequestTiming;
use snipeyoke_lib::serving::events::EventAssembler;
use snipeyoke_lib::serving::events::EventError;
use snipeyoke_lib::serving::health::Health;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::replica::Reading;
use snipeyoke_lib::serving::replica::Record;
use snipeyoke_lib::serving::replica::Replica;
use snipeyoke_lib::serving::retry_after::other_node_retry_after;
use snipeyoke_lib::serving::retry_after::retry_after;
use snipeyoke_lib::time::Time;

fn record(key: &str, value: Option<&[u8]>, offset: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: value.map(Arc::from),
        position: Position::new(0, offset),
    }
}

#[test]
fn an_older_record_changes_nothing_from_any_source() {
    // A partitioned peer sends an old record of a key that was revoked since.
    let mut replica = Replica::default();
    replica.extend(vec![record("k", None, 7)], Position::new(0, 8));
    let changes = replica.extend(vec![record("k", Some(b"old"), 3)], Position::new(0, 4));
    assert!(changes.is_empty());
    assert_eq!(replica.get("k").and_then(|r| r.value.clone()), None);
    assert_eq!(replica.next(), Position::new(0, 8));
}

#[test]
fn a_list_drops_missing_keys_but_not_newer_ones() {
    // The history is gone, and with it the record that dropped a key, which the
    // list of all keys lacks. A key that was written after the list stays.
    let mut replica = Replica::default();
    let held = vec![
        record("gone", Some(b"1"), 2),
        record("newer", Some(b"2"), 9),
    ];
    replica.extend(held, Position::new(0, 10));
    let listed = vec![record("kept", Some(b"3"), 4)];
    let changes = replica.replace(listed, Position::new(0, 6));
    let keys: Vec<&str> = changes.iter().map(|r| r.key.as_str()).collect();
    assert_eq!(keys, ["gone", "kept"]);
    assert!(replica.get("newer").is_some_and(|r| r.value.is_some()));
    assert_eq!(
        replica
            .changes_since(Position::new(0, 5))
            .map(|changes| changes.len()),
        Some(2),
        "the drop is sent to peers"
    );
}

#[test]
fn repeated_records_are_not_sent_to_peers() {
    // Hundreds of endpoints write their record every second with almost no
    // change. Sent on to hundreds of nodes, these records would fill the links.
    let mut replica = Replica::default();
    let first = vec![record("a", Some(b"1"), 1), record("b", Some(b"1"), 2)];
    replica.extend(first, Position::new(0, 3));
    let repeated = vec![record("a", Some(b"1 again"), 3), record("b", None, 4)];
    let mut reading = Reading {
        rank: &|_| None,
        is_change: &mut |r| r.value.is_none(),
    };
    let changes = replica.extend_with(repeated, Position::new(0, 5), &mut reading);
    assert_eq!(changes.len(), 1);
    let sent = replica
        .changes_since(Position::new(0, 3))
        .expect("nothing is forgotten");
    assert_eq!(sent, [record("b", None, 4)]);
    // A reader without any records gets the newest value, and no dropped key.
    let all = replica
        .changes_since(Position::new(0, 0))
        .expect("nothing is forgotten");
    assert_eq!(all, [record("a", Some(b"1 again"), 1)]);
}

#[test]
fn a_reader_behind_forgotten_keys_reads_the_list() {
    // Hosts are replaced for weeks. The keys of removed hosts must not
    // accumulate, and a reader that missed their removal must not be treated as
    // complete.
    let mut replica = Replica::default();
    for n in 0..5_000 {
        let key = format!("host-{n}");
        let records = vec![
            record(&key, Some(b"1"), 2 * n),
            record(&key, None, 2 * n + 1),
        ];
        replica.extend(records, Position::new(0, 2 * n + 2));
    }
    assert_eq!(replica.changes_since(Position::new(0, 10)), None);
    let recent = replica
        .changes_since(Position::new(0, 9_900))
        .expect("these are kept");
    assert_eq!(recent.len(), 50);
    assert_eq!(replica.changes_since(Position::new(0, 0)), Some(Vec::new()));
}

#[test]
fn the_sum_over_all_nodes_keeps_the_bound() {
    // Six nodes get ten requests each in a window and would retry all of them.
    // Together they may retry a fifth of the requests and 58 more.
    let limits = BudgetLimits {
        ratio: 0.2,
        window: Duration::from_secs(10),
        extra: 58.0,
    };
    let service: PoolName = "desk".parse().expect("a name");
    let mut spent = 0;
    for _ in 0..6 {
        let mut budget = SharedBudget::new(limits);
        budget.set_nodes(6);
        for n in 0..10 {
            let now = Time::from_millis(1_000 + n);
            budget.record_request(now, &service);
            spent += (0..5).filter(|_| budget.try_spend(now, &service)).count();
        }
    }
    assert!(spent <= 12 + 58, "{spent} repeats");
    assert!(spent > 30, "most of it can be spent: {spent}");
}

#[test]
fn broken_connections_pause_an_endpoint_for_growing_times() {
    let mut health = Health::default();
    health.record_connection_failure(Time::from_millis(1_000));
    assert!(health.is_paused(Time::from_millis(1_300)));
    assert!(!health.is_paused(Time::from_millis(1_500)));
    health.record_connection_failure(Time::from_millis(1_500));
    assert!(health.is_paused(Time::from_millis(2_200)));
    health.record_response(Time::from_millis(2_300), 1.0);
    assert!(!health.is_paused(Time::from_millis(2_300)));
}

#[test]
fn slowness_decays_without_new_answers() {
    // An endpoint that is avoided gets no answers that could reset its
    // slowness.
    let mut health = Health::default();
    for n in 0..10 {
        health.record_response(Time::from_millis(n), 6.0);
    }
    assert!(health.slowness(Time::from_millis(10)) > 4.0);
    assert!(health.slowness(Time::from_millis(20_000)) < 1.3);
}

#[test]
fn events_pass_whole_once_and_in_order_at_any_chunk_sizes() {
    // The bytes of an endpoint arrive in chunks of any size, and a second run
    // starts again before the last event. The caller must get each event once
    // and whole.
    let stream = |from: u64| -> Vec<u8> {
        let events = (from..=20).map(|n| format!("id: {n}\ndata: piece {n}\n\n"));
        events.collect::<String>().into_bytes()
    };
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let cuts = (vec(1..40_usize, 1..30), 1..20_u64, any::<usize>());
    let outcome = TestRunner::new_with_rng(config, rng).run(&cuts, |(cuts, repeated, stop)| {
        let first = stream(1);
        let first = &first[..stop % (first.len() + 1)];
        let mut events = EventAssembler::resume_after(None);
        let mut out = Vec::new();
        for bytes in [first.to_vec(), stream(repeated)] {
            // The second run resumes at or before the last event that was
            // passed on.
            if bytes != first && events.last_id().is_none_or(|last| repeated > last + 1) {
                return Ok(());
            }
            events.discard_partial();
            let mut rest = bytes.as_slice();
            let mut sizes = cuts.iter().cycle();
            while !rest.is_empty() {
                let size = sizes.next().copied().unwrap_or(1).min(rest.len());
                out.extend(events.push(&rest[..size]).expect("short events"));
                rest = &rest[size..];
            }
        }
        assert_eq!(out, stream(1));
        assert_eq!(events.count(), 20);
        Ok(())
    });
    outcome.expect("each event passes once");
}

#[test]
fn a_refused_caller_retries_when_the_backlog_is_done() {
    // Three seconds of work are queued before a caller with twelve seconds
    // remaining. A retry at once would be refused like the first attempt; a
    // retry after all of its time would leave none for the answer.
    let [none, second] = [0, 1].map(Duration::from_secs);
    let remaining = 12 * second;
    assert!(retry_after(3 * second, remaining, 0.0) >= 3 * second);
    assert!(retry_after(3 * second, remaining, 0.9) > retry_after(3 * second, remaining, 0.1));
    assert!(retry_after(60 * second, remaining, 0.5) <= remaining / 3);
    let soon = retry_after(none, none, 0.5);
    assert!(soon > none && soon < second);
}

/// Returns an answer that started as soon as its request was sent.
fn answer(millis: u64) -> RequestTiming {
    RequestTiming {
        wait: Duration::ZERO,
        answer: Duration::from_millis(millis),
        tokens: None,
    }
}

fn usual_bound(durations: &Durations, route: &str) -> Option<Duration> {
    durations.bound(route, None, Remaining::All)
}

#[test]
fn nearly_all_answers_of_a_route_end_within_its_bound() {
    // Chats last from one to six seconds. A node with three seconds remaining
    // must not start one, and may still accept a lookup of some milliseconds.
    let mut durations = Durations::default();
    assert_eq!(
        usual_bound(&durations, "chat"),
        None,
        "nothing is known yet"
    );
    for n in 0..200_u64 {
        durations.observe("chat", answer(1_000 + n * 1_733 % 5_000));
        durations.observe("lookup", answer(60 + n * 37 % 40));
    }
    let bound = |route| usual_bound(&durations, route).expect("answers were seen");
    assert!(bound("chat") > Duration::from_secs(5));
    assert!(bound("lookup") < Duration::from_millis(300));
}

#[test]
fn the_bound_follows_a_route_that_became_slower() {
    let mut durations = Durations::default();
    for _ in 0..50 {
        durations.observe("draft", answer(500));
    }
    for _ in 0..12 {
        durations.observe("draft", answer(4_000));
    }
    let bound = usual_bound(&durations, "draft");
    assert!(bound.expect("answers were seen") >= Duration::from_secs(4));
}

#[test]
fn an_answer_is_judged_by_the_length_that_its_caller_expects() {
    // Chats differ in length thirtyfold, and the most recent ones were short.
    let mut durations = Durations::default();
    for n in 0..40_u32 {
        let observed = RequestTiming {
            wait: Duration::from_millis(10),
            answer: Duration::from_millis(u64::from(6 * (20 + n % 5) + 200)),
            tokens: Some(20 + n % 5),
        };
        durations.observe("chat", observed);
    }
    let bound = |tokens| {
        let bound = durations.bound("chat", Some(tokens), Remaining::Answer);
        bound.expect("answers were seen")
    };
    assert!(bound(20) < Duration::from_secs(1));
    assert!(bound(600) > Duration::from_millis(3_600));
    let without_length = durations.bound("chat", None, Remaining::Answer);
    assert_eq!(without_length, None, "none without a length was seen");
}

#[test]
fn few_answers_exceed_the_bound_of_their_expected_length() {
    // Lengths vary by a factor of two around the expected length, and the time
    // per token by a factor of one and a half.
    let mut durations = Durations::default();
    let mut exceeded = 0;
    let mut seed = 7_u64;
    let mut sample = || {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (seed >> 33) as f64 / f64::from(1_u32 << 31)
    };
    for n in 0..4_000 {
        let tokens = 20 + (sample() * 500.0) as u32;
        // Sums of three samples are around 1.5.
        let mut spread = |factor: f64| factor.powf((0..3).map(|_| sample()).sum::<f64>() - 1.5);
        let length = f64::from(tokens) * spread(2.0) + 40.0;
        let observed = RequestTiming {
            wait: Duration::ZERO,
            answer: Duration::from_secs_f64(length * 0.006 * spread(1.5)),
            tokens: Some(tokens),
        };
        let bound = durations.bound("chat", Some(tokens), Remaining::Answer);
        if n >= 20 && bound.expect("answers were seen") < observed.answer {
            exceeded += 1;
        }
        durations.observe("chat", observed);
    }
    assert!(exceeded <= 80, "one in fifty: {exceeded}");
}

#[test]
fn a_request_that_has_waited_is_judged_by_its_answer_alone() {
    let mut durations = Durations::default();
    for _ in 0..50 {
        let observed = RequestTiming {
            wait: Duration::from_secs(2),
            answer: Duration::from_millis(500),
            tokens: None,
        };
        durations.observe("draft", observed);
    }
    let bound = |ahead| {
        let bound = durations.bound("draft", None, ahead);
        bound.expect("answers were seen")
    };
    assert!(bound(Remaining::All) >= Duration::from_millis(2_500));
    assert!(bound(Remaining::Answer) < Duration::from_secs(1));
}

#[test]
fn callers_referred_to_other_nodes_do_not_arrive_together() {
    let waits = [0.0, 0.5, 1.0].map(other_node_retry_after);
    assert!(waits[0] < waits[1] && waits[1] < waits[2]);
    assert!(waits[2] < Duration::from_millis(100));
}

#[test]
fn events_that_were_forwarded_may_not_come_again_without_end() {
    // Guards against a stream that brings nothing new until its deadline.
    let mut events = EventAssembler::resume_after(Some(7));
    let repeated = "id: 3\ndata: a\n\n".repeat(1_000);
    assert_eq!(events.push(repeated.as_bytes()), Ok(Vec::new()));
    let mut pushed = (0..100).map(|_| events.push(repeated.as_bytes()));
    let ended = pushed.find_map(Result::err);
    assert_eq!(ended, Some(EventError::Repeating));
    // Whoever goes on begins anew.
    events.discard_partial();
    assert_eq!(events.push(b"id: 8\n\n"), Ok(b"id: 8\n\n".to_vec()));
}

#[test]
fn an_event_without_end_is_refused_at_any_chunk_size() {
    for size in [1, 7, 4_096] {
        let mut events = EventAssembler::resume_after(None);
        let chunk = vec![b'a'; size];
        let mut pushed = 0;
        while events.push(&chunk).is_ok() {
            pushed += size;
        }
        assert!(pushed <= 256 << 10, "{pushed} bytes");
    }
}
