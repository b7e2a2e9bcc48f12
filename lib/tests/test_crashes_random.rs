//! Requests and parts of prompts that crash endpoints, on several nodes that fail and restart.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::crashes::PartId;
use snipeyoke_lib::serving::crashes::Suspect;

use crate::crash_world::Request;
use crate::crash_world::SYNC_TIME;
use crate::crash_world::World;

/// The maximum sends of a culprit later than the synchronization time after its counted ends.
const SENDS_MAX: usize = 3;

/// The ends of a request from which the time counts.
const REQUEST_ENDS: usize = 3;

/// The ends of a part from which the time counts.
const PART_ENDS: usize = 5;

/// A request that crashes every endpoint that runs it.
const CRASHING: Fingerprint = Fingerprint(7);

/// A request that is answered, unless its endpoint ends for another reason.
const HARMLESS: Fingerprint = Fingerprint(500);

/// How long an answered request may be refused for ends before its answer.
const CLEARED_WITHIN: Duration = Duration::from_secs(10);

/// The virtual time of a scene with prompts.
const SCENE_MILLIS: u64 = 14_000;

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn plain(fingerprint: Fingerprint, millis: u64, crashes: bool) -> Request {
    Request {
        fingerprint,
        parts: Arc::default(),
        millis,
        crashes: crashes.then_some(Suspect::Request(fingerprint)),
        repeats: 0,
    }
}

/// Guards against a request that continues to crash endpoints because nodes
/// that counted it are lost or nodes that have just started do not know it, and
/// against one that is refused although it was answered after its ends.
#[test]
fn a_crashing_request_is_stopped_on_all_nodes_while_nodes_fail_and_restart() {
    let input = (
        3..9_usize,
        vec((0..4_000_u64, any::<usize>(), 20..700_u64), 20..120),
        vec((0..40_000_u64, any::<usize>(), 500..9_000_u64), 0..3),
        vec(any::<u8>(), 64),
    );
    let outcome = runner(300).run(&input, |(count, sends, losses, samples)| {
        let mut world = World::new(count, 12, REQUEST_ENDS, samples);
        for (at, node, down) in losses {
            world.schedule_loss(at, node % count, down);
        }
        let mut bystanders = 0;
        for (gap, node, millis) in sends {
            let until = world.now + Duration::from_millis(gap);
            world.run(until);
            world.submit(node % count, plain(CRASHING, millis, true));
            // Other requests use the endpoints that end.
            bystanders += 1;
            let bystander = Fingerprint(1_000 + bystanders / 2);
            world.submit((node + 1) % count, plain(bystander, millis, false));
            world.submit((node + 2) % count, plain(HARMLESS, millis, false));
        }
        let until = world.now + CLEARED_WITHIN;
        world.run(until);
        let culprit = Suspect::Request(CRASHING);
        let late_sends = world.late_sends.get(&culprit).copied().unwrap_or_default();
        assert!(late_sends <= SENDS_MAX, "sent {late_sends} times more");
        let now = world.now;
        let is_counted = world.ends.get(&culprit).map_or(0, Vec::len) >= REQUEST_ENDS;
        for node in world.nodes.iter().filter(|n| n.up) {
            let (quarantined, suspects) = node.crashes.counts(now);
            assert!(quarantined <= 2 && suspects <= 32_768);
            let is_synced = now.since(node.since) > SYNC_TIME;
            let remaining = |r| node.crashes.quarantine_remaining(now, Suspect::Request(r));
            if is_synced && world.is_cleared(HARMLESS) {
                assert_eq!(remaining(HARMLESS), None);
            }
            if is_synced && is_counted {
                assert!(remaining(CRASHING).is_some());
            }
        }
        Ok(())
    });
    outcome.expect("it reaches three endpoints more at most");
}

/// Traffic of prompts; times in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Traffic {
    sound_gap: u64,
    crashing_gap: u64,
    crash_delay: u64,
    answer: u64,
    /// The number of different second and third parts.
    pools: [u64; 2],
    culprits: u64,
    repeats: u32,
}

const CULPRITS: [PartId; 2] = [PartId(0xbad_0001), PartId(0xbad_0002)];

fn prompt(world: &mut World, number: u64, traffic: &Traffic, culprit: Option<PartId>) -> Request {
    let [second, third] = traffic.pools;
    let mut parts = vec![
        PartId(0xa0),
        PartId(0xb00 + u128::from(world.sample(second))),
        PartId(0xc000 + u128::from(world.sample(third))),
    ];
    if let Some(part) = culprit {
        let place = world.sample(4) as usize;
        parts.insert(place, part);
    }
    let answer = 1 + traffic.answer / 2 + world.sample(traffic.answer);
    Request {
        fingerprint: Fingerprint(0x1_0000 + u128::from(number)),
        parts: parts.into(),
        millis: culprit.map_or(answer, |_| traffic.crash_delay),
        crashes: culprit.map(Suspect::Part),
        repeats: traffic.repeats,
    }
}

/// Plays prompts, of which some crash endpoints.
fn play(world: &mut World, traffic: &Traffic, ends: &[(u64, usize)]) {
    let count = world.nodes.len() as u64;
    for step in 1..=SCENE_MILLIS / 10 {
        let millis = 10 * step;
        let until = world.now + Duration::from_millis(10);
        world.run(until);
        for &(at, endpoint) in ends {
            if at / 10 == step {
                world.end_endpoint(endpoint);
            }
        }
        if millis.is_multiple_of(traffic.sound_gap) {
            let request = prompt(world, 2 * step, traffic, None);
            let node = world.sample(count) as usize;
            world.submit(node, request);
        }
        let is_crashing = traffic.culprits > 0 && millis > 1_000;
        if is_crashing && millis.is_multiple_of(traffic.crashing_gap) {
            let culprit = CULPRITS[world.sample(traffic.culprits) as usize];
            let request = prompt(world, 2 * step + 1, traffic, Some(culprit));
            let node = world.sample(count) as usize;
            world.submit(node, request);
        }
    }
}

fn traffic() -> impl Strategy<Value = Traffic> {
    let gaps = (1..6_u64, 6..60_u64, 20..400_u64, 300..3_000_u64);
    let shape = ([1..6_u64, 4..40_u64], 1..3_u64, 0..2_u32);
    (gaps, shape).prop_map(
        |((sound, crashing, delay, answer), (pools, culprits, repeats))| Traffic {
            sound_gap: 10 * sound,
            crashing_gap: 10 * crashing,
            crash_delay: delay,
            answer,
            pools,
            culprits,
            repeats,
        },
    )
}

/// Returns the culprits that were sent too often.
fn sent_on(world: &World) -> Vec<String> {
    let sent_on = world.late_sends.iter().filter(|(_, n)| **n > SENDS_MAX);
    let texts = sent_on.map(|(culprit, n)| format!("{culprit} sent {n} times more"));
    texts.collect()
}

/// Returns the suspects for which requests were refused that crash nothing.
fn wrongly_refused(world: &World) -> Vec<String> {
    let suspects: BTreeSet<Suspect> = world.refused.iter().map(|(_, s)| *s).collect();
    let texts = suspects.iter().map(|s| format!("{s} refused"));
    texts.collect()
}

/// Plays `cases` schedules; fails with all that any of them found.
fn play_all<S: Strategy>(cases: u32, input: &S, play: impl Fn(S::Value) -> Vec<String>)
where
    S::Value: Debug + Clone,
{
    let found = RefCell::new(Vec::new());
    let outcome = runner(cases).run(input, |input| {
        let faults = play(input.clone());
        if !faults.is_empty() {
            found.borrow_mut().push((faults, input));
        }
        Ok(())
    });
    outcome.expect("no schedule panics");
    let found = found.into_inner();
    assert!(
        found.is_empty(),
        "{} of {cases} schedules: {:#?}",
        found.len(),
        found
    );
}

/// Guards against prompts with a part that crashes endpoints, each of them new, and against the
/// refusal of prompts that share their other parts.
#[test]
fn a_crashing_part_is_stopped_and_no_other() {
    let input = (3..9_usize, 8..40_usize, traffic(), vec(any::<u8>(), 64));
    play_all(300, &input, |(nodes, endpoints, traffic, samples)| {
        let mut world = World::new(nodes, endpoints, PART_ENDS, samples);
        play(&mut world, &traffic, &[]);
        [sent_on(&world), wrongly_refused(&world)].concat()
    });
}

/// Guards against such prompts that are sent on because the nodes that counted them are lost, or
/// because nodes have just started.
#[test]
fn a_crashing_part_is_stopped_while_nodes_fail_and_restart() {
    let losses = vec((0..SCENE_MILLIS, any::<usize>(), 500..9_000_u64), 1..4);
    let input = (
        3..9_usize,
        8..40_usize,
        traffic(),
        losses,
        vec(any::<u8>(), 64),
    );
    play_all(
        300,
        &input,
        |(nodes, endpoints, traffic, losses, samples)| {
            let mut world = World::new(nodes, endpoints, PART_ENDS, samples);
            for (at, node, down) in losses {
                world.schedule_loss(at, node % nodes, down);
            }
            play(&mut world, &traffic, &[]);
            sent_on(&world)
        },
    );
}

/// Guards against the refusal of prompts that were on endpoints which ended in a row for another
/// reason, such as a rack or a release.
#[test]
fn parts_that_lose_endpoints_in_a_row_are_not_refused() {
    let rows = vec(
        (1_000..SCENE_MILLIS, 0..40_usize, 3..12_usize, 0..500_u64),
        1..4,
    );
    let input = (
        3..9_usize,
        8..40_usize,
        traffic(),
        rows,
        vec(any::<u8>(), 64),
    );
    play_all(300, &input, |(nodes, endpoints, traffic, rows, samples)| {
        let traffic = Traffic {
            culprits: 0,
            ..traffic
        };
        let mut ends = Vec::new();
        for (at, first, length, gap) in rows {
            // Half of the endpoints remain.
            for n in 0..length.min(endpoints / 2) {
                ends.push((at + gap * n as u64, (first + n) % endpoints));
            }
        }
        let mut world = World::new(nodes, endpoints, PART_ENDS, samples);
        play(&mut world, &traffic, &ends);
        wrongly_refused(&world)
    });
}
