//! The queue of stage pieces under load and faults.

use std::time::Duration;

use snipeyoke_lib::serving::batching::BatchCall;
use snipeyoke_lib::serving::batching::BatchQueue;
use snipeyoke_lib::serving::batching::CallResult;
use snipeyoke_lib::serving::batching::ItemOutcome;
use snipeyoke_lib::serving::batching::Job;
use snipeyoke_lib::serving::batching::JobId;
use snipeyoke_lib::serving::batching::JobOutcome;
use snipeyoke_lib::serving::batching::StageInput;
use snipeyoke_lib::serving::catalog::BatchLimits;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::directory::Entry;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Bytes;

const CALL: Duration = Duration::from_millis(150);
const ITEM: Duration = Duration::from_millis(16);

fn at(ms: u64) -> Time {
    Time::from_millis(1_000 + ms)
}

fn limits() -> BatchLimits {
    BatchLimits {
        slots: 1,
        queue: 2,
        max_items: 8,
        call_overhead: CALL,
        item_time: ITEM,
        result_memory: Bytes(36_000_000),
        result_ttl: Duration::from_secs(4),
    }
}

fn entry(name: &str, domain: &str) -> Entry {
    Entry {
        id: name.parse().expect("a name"),
        started_at: None,
        service: "prep".parse().expect("a name"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: domain.parse().expect("a name"),
        slots: 1,
        draining: false,
    }
}

fn queue(names: &[(&str, &str)]) -> BatchQueue {
    queue_with(limits(), names)
}

fn queue_with(limits: BatchLimits, names: &[(&str, &str)]) -> BatchQueue {
    let mut queue = BatchQueue::new(limits);
    let entries: Vec<Entry> = names.iter().map(|(n, d)| entry(n, d)).collect();
    queue.set_endpoints(entries.iter());
    queue
}

fn job(request: &str, pieces: u32, goal: u64, due: u64) -> Job {
    Job {
        request: request.to_owned(),
        fingerprint: None,
        stage: 0,
        items: (0..pieces).collect(),
        input: StageInput::Key,
        key: request.to_owned(),
        result_bytes: Bytes(8_000),
        target: at(goal),
        deadline: at(due),
        priority: 0,
        result_domain: None,
        input_source: None,
    }
}

fn made(send: &BatchCall) -> CallResult {
    let handle = |i: &snipeyoke_lib::serving::batching::BatchItem| {
        ItemOutcome::Produced(format!(
            "{}/{}.{}.{}",
            send.entry.id, i.request, i.stage, i.item
        ))
    };
    CallResult::Answered(send.items.iter().map(handle).collect())
}

fn requests(send: &BatchCall) -> Vec<&str> {
    send.items.iter().map(|i| i.request.as_str()).collect()
}

fn failure(ends: &[JobOutcome], id: JobId) -> Option<&ItemOutcome> {
    let end = ends.iter().find(|e| e.job == id).expect("the job ended");
    end.failure.as_ref()
}

#[test]
fn one_piece_leaves_at_once() {
    // A lone caller waits for nobody: its piece goes out in the same turn.
    let mut queue = queue(&[("p1", "a")]);
    queue.submit(job("r1", 1, 500, 3_000));
    let sends = queue.poll(at(0));
    assert_eq!(sends.len(), 1);
    assert_eq!(sends[0].items.len(), 1);
}

#[test]
fn what_waits_leaves_in_full_calls() {
    // In a burst all endpoints are at work. A call costs as much as nine pieces
    // in it, so pieces that leave one by one would be done at a fifth of the
    // rate and callers would be late. What waited leaves together.
    let mut queue = queue(&[("p1", "a")]);
    queue.submit(job("r0", 1, 500, 3_000));
    let first = queue.poll(at(0));
    for n in 1..=4 {
        queue.submit(job(&format!("r{n}"), 2, 900, 3_000));
    }
    assert!(queue.poll(at(1)).is_empty());
    queue.on_call_ended(at(166), first[0].id, made(&first[0]));
    let next = queue.poll(at(166));
    assert_eq!(next[0].items.len(), 8);
}

#[test]
fn crowded_calls_take_parts_of_jobs() {
    // Jobs of five pieces leave three places of a batch of eight empty. While a
    // batch for every endpoint waits these places are a third of the service.
    let mut queue = queue(&[("p1", "a")]);
    for n in 0..4 {
        queue.submit(job(&format!("r{n}"), 5, 2_000, 5_000));
    }
    let sends = queue.poll(at(0));
    assert_eq!(sends[0].items.len(), 8);
}

#[test]
fn idle_endpoints_share_what_waits() {
    // Two jobs and two idle endpoints: in one call the second caller would wait
    // for the first one's pieces while an endpoint stands idle.
    let mut queue = queue(&[("p1", "a"), ("p2", "b")]);
    queue.submit(job("r1", 2, 900, 3_000));
    queue.submit(job("r2", 2, 900, 3_000));
    let sends = queue.poll(at(0));
    assert_eq!(sends.len(), 2);
}

#[test]
fn urgent_pieces_go_first_and_late_ones_last() {
    // Three callers wait for one endpoint: one is late already, one has a
    // less urgent kind, one is urgent. The late one gains nothing by going
    // first, the other two are served by urgency.
    let narrow = BatchLimits {
        max_items: 1,
        ..limits()
    };
    let mut queue = queue_with(narrow, &[("p1", "a")]);
    queue.submit(job("late", 1, 50, 9_000));
    let mut second = job("second", 1, 900, 9_000);
    second.priority = 2;
    queue.submit(second);
    queue.submit(job("first", 1, 1_000, 9_000));
    let mut order = Vec::new();
    let mut now = 0;
    for _ in 0..3 {
        let sends = queue.poll(at(now));
        order.extend(requests(&sends[0]).iter().map(ToString::to_string));
        now += 166;
        queue.on_call_ended(at(now), sends[0].id, made(&sends[0]));
    }
    assert_eq!(order, ["first", "second", "late"]);
}

#[test]
fn no_hope_is_told_at_once() {
    // The queue holds ten seconds of work and the caller waits two more. Held
    // to its deadline it would learn nothing and could not come back in time.
    let mut queue = queue(&[("p1", "a")]);
    for n in 0..36 {
        queue.submit(job(&format!("r{n}"), 8, 20_000, 60_000));
    }
    let id = queue.submit(job("late", 1, 100, 2_000));
    queue.poll(at(0));
    let ends = queue.take_results();
    assert_eq!(failure(&ends, id), Some(&ItemOutcome::Late));
    let backlog = ends[0].backlog;
    assert!(backlog > Duration::from_secs(9), "{backlog:?}");
    assert!(backlog < Duration::from_secs(11), "{backlog:?}");
}

#[test]
fn late_work_with_time_left_is_kept() {
    // One call is ahead of a caller that is late already but has seconds left:
    // an answer that is late is still worth something to it.
    let mut queue = queue(&[("p1", "a")]);
    queue.submit(job("r1", 8, 900, 3_000));
    queue.poll(at(0));
    queue.submit(job("late", 1, 50, 3_000));
    queue.poll(at(10));
    assert!(queue.take_results().is_empty());
}

#[test]
fn a_full_endpoint_gets_no_more_than_fits() {
    // Results of 3 MB fill 36 MB with a dozen. A call beyond that does its work
    // for nothing: the endpoint answers that there is no room. Begun in part, a
    // job's first results would take room for as long as the rest waits for
    // some, so it waits whole, and a job that fits goes first.
    let mut queue = queue(&[("p1", "a")]);
    for (n, pieces) in [(0, 8), (1, 8), (2, 2)] {
        let mut large = job(&format!("r{n}"), pieces, 900 + n, 3_000);
        large.result_bytes = Bytes(3_000_000);
        queue.submit(large);
    }
    let first = queue.poll(at(0));
    assert_eq!(first[0].items.len(), 8);
    queue.on_call_ended(at(278), first[0].id, made(&first[0]));
    let second = queue.poll(at(278));
    assert_eq!(
        requests(&second[0]),
        ["r2", "r2"],
        "nine tenths of 36 MB hold ten results"
    );
    queue.on_call_ended(at(460), second[0].id, made(&second[0]));
    assert!(queue.poll(at(460)).is_empty());
}

#[test]
fn results_take_room_until_the_endpoint_was_told() {
    // The word that drops results and the next call go out together, on two
    // connections. If the call overtakes the word it finds no room.
    let mut queue = queue(&[("p1", "a")]);
    let mut large = job("r0", 8, 900, 3_000);
    large.result_bytes = Bytes(4_000_000);
    queue.submit(large.clone());
    let first = queue.poll(at(0));
    queue.on_call_ended(at(278), first[0].id, made(&first[0]));
    let ends = queue.take_results();
    for (_, handle, endpoint) in ends[0].produced.clone() {
        queue.release(at(280), &endpoint, handle);
    }
    let told = queue.take_releases(at(280));
    assert_eq!(told[0].1.len(), 8);
    large.request = "r1".to_owned();
    queue.submit(large);
    assert!(
        queue.poll(at(281)).is_empty(),
        "32 of 36 MB are still taken"
    );
    queue.on_released(&told[0].0.id, &told[0].1);
    assert_eq!(queue.poll(at(285))[0].items.len(), 8);
}

#[test]
fn few_results_are_given_back_together() {
    // A call for each result would cost more than the memory is worth; left to
    // lapse they would fill the endpoint for its next owner.
    let mut queue = queue(&[("p1", "a")]);
    queue.submit(job("r0", 2, 900, 3_000));
    let first = queue.poll(at(0));
    queue.on_call_ended(at(180), first[0].id, made(&first[0]));
    let ends = queue.take_results();
    for (_, handle, endpoint) in ends[0].produced.clone() {
        queue.release(at(200), &endpoint, handle);
    }
    assert!(queue.take_releases(at(300)).is_empty());
    assert!(queue.wake(at(300)) <= at(450));
    assert_eq!(queue.take_releases(at(450))[0].1.len(), 2);
}

#[test]
fn a_silent_endpoint_loses_its_pieces_to_another() {
    // An endpoint is stopped: its connection stays open and no answer comes.
    // The caller would be late by seconds; after three times the usual time
    // the pieces go to another endpoint, and the first result is taken.
    let mut queue = queue(&[("p1", "a"), ("p2", "b")]);
    let id = queue.submit(job("r1", 1, 3_000, 9_000));
    let first = queue.poll(at(0));
    assert!(queue.poll(at(500)).is_empty());
    let second = queue.poll(at(560));
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].entry.id, first[0].entry.id);
    queue.on_call_ended(at(730), second[0].id, made(&second[0]));
    assert_eq!(failure(&queue.take_results(), id), None);
    // The late result of the first one is of no use: it is given back.
    queue.on_call_ended(at(900), first[0].id, made(&first[0]));
    let told = queue.take_releases(at(1_200));
    assert_eq!(told[0].0.id, first[0].entry.id);
}

#[test]
fn a_refused_call_costs_its_pieces_nothing() {
    // Another owner fills the endpoint; it refuses the call and nothing ran.
    // The pieces wait for it, as often as it takes while there is time.
    let mut queue = queue(&[("p1", "a")]);
    let id = queue.submit(job("r1", 1, 3_000, 9_000));
    let mut now = 0;
    for _ in 0..12 {
        let sends = queue.poll(at(now));
        queue.on_call_ended(at(now + 2), sends[0].id, CallResult::Refused);
        now += 200;
    }
    let sends = queue.poll(at(now));
    queue.on_call_ended(at(now + 166), sends[0].id, made(&sends[0]));
    assert_eq!(failure(&queue.take_results(), id), None);
}

#[test]
fn pieces_go_where_their_results_are_read() {
    // Results of megabytes are dear to carry between failure domains. With the
    // near endpoint busy for a little, they wait for it; with a long queue
    // there they go elsewhere.
    let mut queue = queue(&[("p1", "a"), ("p2", "b")]);
    for n in 0..2 {
        let mut near = job(&format!("r{n}"), 5, 5_000, 9_000);
        near.result_bytes = Bytes(3_000_000);
        near.result_domain = Some("b".parse().expect("a name"));
        queue.submit(near);
        let sends = queue.poll(at(n));
        if n == 0 {
            assert_eq!(sends[0].entry.id.as_str(), "p2");
        } else {
            assert!(sends.is_empty(), "it waits for p2, which is free in 230 ms");
        }
    }
    for n in 2..8 {
        let mut near = job(&format!("r{n}"), 3, 5_000, 9_000);
        near.result_bytes = Bytes(1_000);
        near.result_domain = Some("b".parse().expect("a name"));
        queue.submit(near);
    }
    let sends = queue.poll(at(10));
    assert_eq!(
        sends[0].entry.id.as_str(),
        "p1",
        "small results go anywhere"
    );
}

#[test]
fn a_reborn_endpoint_starts_with_empty_hands() {
    // The endpoint crashed and is back under its name. Its memory is empty and
    // what it did before is gone; calls are not held back for it.
    let mut queue = queue(&[("p1", "a")]);
    let mut large = job("r0", 8, 900, 3_000);
    large.result_bytes = Bytes(4_000_000);
    queue.submit(large.clone());
    let first = queue.poll(at(0));
    queue.on_call_ended(at(278), first[0].id, made(&first[0]));
    let mut again = entry("p1", "a");
    again.started_at = Some(7);
    queue.set_endpoints(std::iter::once(&again));
    large.request = "r1".to_owned();
    queue.submit(large);
    assert_eq!(queue.poll(at(300))[0].items.len(), 8);
}

#[test]
fn a_look_that_changes_nothing_is_not_repeated_at_once() {
    // A job has one piece at work and one waiting when its time is over. The
    // waiting piece can't end the job and no endpoint is idle. If the queue
    // asks to be looked at again at once, its owner spins: it answers nobody,
    // and its neighbours take it for dead.
    let narrow = BatchLimits {
        max_items: 1,
        ..limits()
    };
    let mut queue = queue_with(narrow, &[("p1", "a")]);
    queue.submit(job("r1", 2, 200, 300));
    assert_eq!(queue.poll(at(0)).len(), 1);
    for now in [10, 150, 200, 300, 301, 400, 620] {
        queue.poll(at(now));
        assert!(queue.wake(at(now)) > at(now), "spins at {now} ms");
    }
}

#[test]
fn the_next_call_leaves_before_the_last_one_ends() {
    // Whole batches wait for an endpoint that is some milliseconds away. If the
    // next call leaves only when the last one's answer is here, the endpoint
    // stands idle for the way back and forth, at every call of a burst.
    let mut queue = queue(&[("p1", "a")]);
    for n in 0..5 {
        queue.submit(job(&format!("r{n}"), 8, 9_000, 20_000));
    }
    assert_eq!(queue.poll(at(0)).len(), 1);
    assert!(queue.poll(at(200)).is_empty());
    let wake = queue.wake(at(200));
    assert!(at(227) <= wake && wake <= at(228), "woken at {wake}");
    assert_eq!(
        queue.poll(at(228)).len(),
        1,
        "278 ms is when the first one ends"
    );
    assert!(queue.poll(at(240)).is_empty(), "one call ahead is enough");
}

#[test]
fn a_lost_answer_does_not_take_its_endpoint_out() {
    // The only endpoint works on a piece and its answer is lost: the connection
    // stays open, nothing comes. The endpoint itself stands idle. Callers who
    // come later would wait for the first call's end, seconds away.
    let mut queue = queue(&[("p1", "a")]);
    queue.submit(job("r0", 1, 3_000, 9_000));
    queue.poll(at(0));
    queue.poll(at(560));
    let later = queue.submit(job("r1", 1, 3_000, 9_000));
    let mut now = 560;
    let mut sends = Vec::new();
    while sends.is_empty() && now < 2_000 {
        now += 50;
        sends = queue.poll(at(now));
    }
    assert!(now < 1_200, "the endpoint is asked again at {now} ms");
    queue.on_call_ended(at(now + 182), sends[0].id, made(&sends[0]));
    assert_eq!(failure(&queue.take_results(), later), None);
}

#[test]
fn pieces_go_where_their_inputs_lie() {
    // Sixteen pieces read half a megabyte each and make a few kilobytes. Done
    // in another failure domain, eight megabytes cross; their results, which
    // are read there, don't weigh that much.
    let mut queue = queue(&[("p1", "a"), ("p2", "b")]);
    let reading = |request: &str, domain: &str| Job {
        result_domain: Some("a".parse().expect("a name")),
        input_source: Some((domain.parse().expect("a name"), Bytes(480_000))),
        ..job(request, 8, 2_000, 5_000)
    };
    queue.submit(reading("r1", "b"));
    let sends = queue.poll(at(0));
    assert_eq!(sends[0].entry.id.as_str(), "p2");
    // The one nearby is at work for a while longer than the way costs.
    queue.submit(reading("r2", "b"));
    let sends = queue.poll(at(1));
    assert_eq!(sends[0].entry.id.as_str(), "p1");
}

#[test]
fn a_pause_between_bursts_is_not_taken_for_slowness() {
    // The last call of a burst ends, and its endpoint has nothing to do for a
    // minute. Counted as a part of the next burst's first call, the pause would
    // make the endpoint look slow; in the next burst callers that can be on
    // time together would be taken for late, and go in the wrong order.
    let mut queue = queue(&[("p1", "a")]);
    let call_at = |queue: &mut BatchQueue, ms: u64| {
        let sends = queue.poll(at(ms));
        queue.on_call_ended(at(ms + 278), sends[0].id, made(&sends[0]));
        requests(&sends[0])[0].to_owned()
    };
    for minute in 0..30 {
        let start = minute * 60_000;
        let submit = |n: u64| job(&format!("r{n}"), 8, start + 1_100 + n, start + 5_000);
        let ids = [0, 1, 2].map(|n| queue.submit(submit(n)));
        assert_eq!(call_at(&mut queue, start), "r0", "in minute {minute}");
        assert_eq!(call_at(&mut queue, start + 300), "r1", "in minute {minute}");
        queue.cancel(at(start + 600), ids[2]);
    }
}

#[test]
fn what_comes_back_is_due_from_its_first_time_on() {
    // A burst: the caller of r0 was refused and is back two seconds later. Its
    // answer is late already; r1, which is new and less urgent by its own word,
    // can still be on time and must not wait behind it.
    let mut queue = queue(&[("i-1", "a")]);
    let first = queue.submit(job("r0", 8, 600, 9_000));
    queue.cancel(at(10), first);
    assert!(queue.poll(at(10)).is_empty());
    let mut back = job("r0", 8, 2_600, 9_000);
    back.request = "r0 again".to_owned();
    queue.submit(back);
    queue.submit(job("r1", 8, 2_700, 9_000));
    let sent = queue.poll(at(2_000));
    assert_eq!(sent[0].items[0].request, "r1");
}

#[test]
fn a_key_is_forgotten_with_its_caller() {
    // Nobody comes back after its time is over; who then uses the same key is
    // somebody else.
    let mut queue = queue(&[("i-1", "a")]);
    let first = queue.submit(job("r0", 8, 600, 3_000));
    queue.cancel(at(10), first);
    queue.poll(at(4_500));
    queue.submit(job("r0", 8, 5_100, 9_000));
    queue.submit(job("r1", 8, 5_200, 9_000));
    let sent = queue.poll(at(4_600));
    assert_eq!(sent[0].items[0].request, "r0");
}

#[test]
fn a_piece_that_fails_beside_a_lost_call_is_done_again() {
    // An endpoint's answer is lost on its way. What it was to do is given to
    // another one, where one piece fails. Taken for still running at the first,
    // that piece waits until its caller has given up.
    let mut queue = queue(&[("p1", "a"), ("p2", "a")]);
    queue.submit(job("r1", 1, 900, 9_000));
    let first = queue.poll(at(0));
    assert_eq!(first.len(), 1);
    let second = queue.poll(at(1_000));
    assert_eq!(second.len(), 1, "the first call is overdue");
    let failed = CallResult::Answered(vec![ItemOutcome::Failed]);
    queue.on_call_ended(at(1_200), second[0].id, failed);
    let third = queue.poll(at(1_200));
    assert_eq!(third.len(), 1, "nobody else does it");
    // The lost answer comes after all, and says that the piece failed there.
    let failed = CallResult::Answered(vec![ItemOutcome::Failed]);
    queue.on_call_ended(at(1_250), first[0].id, failed);
    queue.on_call_ended(at(1_400), third[0].id, made(&third[0]));
    let ends = queue.take_results();
    assert_eq!(failure(&ends, JobId(0)), None);
}

/// Guards against pieces of a quarantined request that wait, or come back from
/// endpoints that ended, and are handed to further endpoints.
#[test]
fn pieces_of_a_quarantined_request_leave_no_more() {
    let mut queue = queue(&[("p1", "a"), ("p2", "a")]);
    let deadly = Job {
        fingerprint: Some(Fingerprint(7)),
        ..job("r1", 1, 500, 3_000)
    };
    let id = queue.submit(deadly);
    let sent = queue.poll(at(0));
    assert_eq!(sent[0].items[0].fingerprint, Some(Fingerprint(7)));

    queue.fail_request(Fingerprint(7));
    queue.on_call_ended(at(10), sent[0].id, CallResult::Broken);
    let other = queue.submit(job("r2", 1, 500, 3_000));

    assert_eq!(
        failure(&queue.take_results(), id),
        Some(&ItemOutcome::Failed)
    );
    let sent = queue.poll(at(500));
    let jobs: Vec<JobId> = sent.iter().flat_map(|s| &s.items).map(|i| i.job).collect();
    assert_eq!(jobs, [other]);
}
