//! Bytes from callers: bodies of both doors, changed at random.

use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use http_body_util::Full;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::sample::select;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::http::collect;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::threads::Threads;
use snipeyoke_site::Site;
use snipeyoke_site::vestlandsprint;

/// The inputs tried.
const CASES: u32 = 600;

/// The statuses that a caller may see.
const KNOWN: [u16; 9] = [200, 400, 401, 404, 409, 413, 429, 503, 504];

/// The corpus: bodies that a door takes, or nearly.
const CORPUS: [&str; 6] = [
    r#"{"model":"headline-fix","messages":[{"role":"user","content":"Pizza"}],"max_tokens":4}"#,
    r#"{"model":"headline-fix","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}"#,
    r#"{"model":"headline-fix","messages":[],"stream":true,"max_tokens":0}"#,
    r#"{"model":"no-such","messages":[{"role":"system","content":"x"}],"max_tokens":4294967296}"#,
    r#"{"order":4711,"deep":[[[[[[[[[[]]]]]]]]]]}"#,
    "\u{0}\u{fffd}",
];

fn inputs() -> impl Strategy<Value = Vec<u8>> {
    let damage = vec((any::<usize>(), any::<u8>()), 0..4);
    (select(&CORPUS[..]), damage, any::<usize>(), any::<bool>()).prop_map(
        |(text, damage, cut, whole)| {
            let mut bytes = text.as_bytes().to_vec();
            for (at, byte) in damage {
                let len = bytes.len();
                bytes[at % len] = byte;
            }
            if !whole {
                bytes.truncate(cut % (bytes.len() + 1));
            }
            bytes
        },
    )
}

#[test]
fn every_body_gets_an_answer_of_a_known_kind() {
    // A caller may send any bytes. Each gets one answer with a status of the
    // dialect and JSON or a stream in it, and the router stays up: a panic would
    // close the connection, and with it the caller's view of the outcome.
    let threads = Threads::start(2).expect("threads start");
    let scope = Scope::new(threads.execs().traffic);
    let client = Client::new(scope.clone(), Duration::from_secs(1));
    let site = future::block_on(Site::start(&vestlandsprint(), &threads.execs()));
    let site = site.expect("the site starts");
    let address = site.callers()[0];
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let paths = select(&["/v1/chat/completions", "/v1/requests/order-lookup"][..]);
    let outcome = TestRunner::new_with_rng(config, rng).run(&(paths, inputs()), |(path, body)| {
        let status = future::block_on(async {
            let request = hyper::Request::post(path)
                .header("authorization", "Bearer key-pizzeria")
                .body(Full::new(Bytes::from(body)))
                .expect("the head is well-formed");
            let (response, kept) = client.send(address, request).await.expect("it answers");
            let status = response.status().as_u16();
            let body = collect(response.into_body(), 1 << 20).await;
            body.expect("the answer is whole");
            client.recycle(kept);
            status
        });
        assert!(KNOWN.contains(&status), "{status}");
        Ok(())
    });
    outcome.expect("every body is answered");
    future::block_on(async {
        site.stop().await;
        scope.cancel().await;
    });
    threads.join();
}
