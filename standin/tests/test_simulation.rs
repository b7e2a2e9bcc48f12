//! Tests of the engine's simulation on virtual time.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use proptest::prelude::*;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_standin::EngineSettings;
use snipeyoke_standin::engine::batch::Ask;
use snipeyoke_standin::engine::batch::Batch;
use snipeyoke_standin::engine::batch::Emit;
use snipeyoke_standin::engine::cache::Cache;

const PROMPT: u32 = 100;
const LENGTH: u32 = 20;

fn ask(priority: u32) -> (Ask, Receiver<Emit>) {
    let (sink, emits) = async_channel::unbounded();
    let ask = Ask {
        request: String::new(),
        priority,
        prompt: PROMPT,
        blocks: Vec::new(),
        from: 0,
        reread: 0,
        length: LENGTH,
        sink,
    };
    (ask, emits)
}

fn cache(settings: &EngineSettings) -> Cache {
    Cache::new(settings.cache_blocks, Duration::ZERO, 0.0, 1)
}

// Offers a rate for ten virtual seconds and returns generations finished a second.
fn finished(rate: f64) -> f64 {
    let settings = EngineSettings::default();
    let mut batch = Batch::new(settings.clone());
    let mut cache = cache(&settings);
    let start = Instant::now();
    let mut now = Duration::ZERO;
    let end = Duration::from_secs(10);
    let mut offered = 0.0;
    let mut kept = Vec::new();
    while now < end {
        while offered < rate * now.as_secs_f64() {
            let (ask, emits) = ask(0);
            kept.extend(batch.submit(ask, start + now).is_ok().then_some(emits));
            offered += 1.0;
        }
        let step = batch.begin(&mut cache, start + now);
        let step = step.unwrap_or(Duration::from_millis(1));
        now += step;
        batch.end(&mut cache, step, start + now);
    }
    batch.totals().completed as f64 / end.as_secs_f64()
}

#[test]
fn saturates_and_stays_saturated() {
    // A step of 16 decoding requests takes 12 ms, reading a prompt 4 ms more:
    // 16 requests need 20 steps and 16 prompts, so some 50 a second are the bound.
    let (half, full, twice) = (finished(25.0), finished(50.0), finished(100.0));
    assert!((half - 25.0).abs() < 1.5, "{half}");
    assert!((full..full * 1.15).contains(&twice), "{full} then {twice}");
    assert!(twice < 60.0, "{twice}");
}

#[test]
fn serves_urgent_requests_first_and_forgets_those_left() {
    let settings = EngineSettings {
        batch: 1,
        ..EngineSettings::default()
    };
    let mut batch = Batch::new(settings.clone());
    let mut cache = cache(&settings);
    let now = Instant::now();
    let (later, later_emits) = ask(5);
    let (left, left_emits) = ask(0);
    let (first, first_emits) = ask(1);
    for ask in [later, left, first] {
        batch.submit(ask, now).unwrap();
    }
    drop(left_emits);
    let mut steps = 0;
    while first_emits.len() < LENGTH as usize + 1 {
        let step = batch.begin(&mut cache, now).expect("two requests wait");
        batch.end(&mut cache, step, now);
        steps += 1;
        assert!(
            steps <= LENGTH + 2,
            "the urgent request is not served first"
        );
    }
    assert!(later_emits.is_empty());
    assert_eq!((batch.totals().completed, batch.totals().cancelled), (1, 1));
}

#[test]
fn events_tell_what_the_cache_holds_or_that_some_are_lost() {
    // A router that replays the events without a gap knows each block held.
    // With losses every answer that misses one says so.
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(ProptestConfig::default(), rng);
    let prompts = prop::collection::vec(prop::collection::vec(0_u64..40, 0..12), 1..40);
    let verdict = runner.run(&(prompts, 0_u32..2), |(prompts, lossy)| {
        let loss = f64::from(lossy) * 0.2;
        let mut cache = Cache::new(16, Duration::ZERO, loss, 7);
        let now = Instant::now();
        let mut replayed = BTreeSet::new();
        let mut next = 0;
        let mut gap = false;
        for prompt in &prompts {
            cache.add(prompt, now);
            let page = cache.page(next, now);
            let page = serde_json::to_value(&page).expect("pages have a JSON form");
            next = page["next"].as_u64().expect("pages say where they end");
            gap |= page["gap"] == true;
            for event in page["events"].as_array().into_iter().flatten() {
                let block = event["block"].as_str().unwrap_or_default().to_owned();
                if event["op"] == "add" {
                    replayed.insert(block);
                } else {
                    replayed.remove(&block);
                }
            }
            prop_assert!(cache.held() <= 16);
            prop_assert!(gap || replayed.len() == cache.held());
        }
        prop_assert!(loss > 0.0 || !gap);
        Ok(())
    });
    assert!(verdict.is_ok(), "{verdict:?}");
}
