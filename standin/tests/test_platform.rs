//! Tests of the platform: what an adapter has to expect of it.

use serde_json::json;
use snipeyoke_standin::PlatformSettings;
use snipeyoke_standin::Settings;

use crate::client::Bench;
use crate::client::with;

fn records(texts: &[&str]) -> Vec<u8> {
    let mut body = Vec::new();
    for text in texts {
        let len = u32::try_from(text.len()).expect("the test's records are short");
        body.extend(len.to_be_bytes());
        body.extend(text.as_bytes());
    }
    body
}

async fn append(bench: &Bench, texts: &[&str]) -> Option<crate::client::Answer> {
    let body = records(texts);
    bench
        .call(hyper::Method::POST, "/log/t/append", &body)
        .await
}

#[test]
fn reads_back_what_was_appended_from_any_offset() {
    with(
        Settings::Platform(PlatformSettings::default()),
        async |bench| {
            let first = append(bench, &["a", "bb"]).await.expect("it answers");
            assert_eq!(first.json(), json!({"offset": 0, "end": 2}));
            append(bench, &["c"]).await;
            let read = bench.get("/log/t/read?from=1").await.expect("it answers");
            assert_eq!(read.body, records(&["bb", "c"]));
            assert_eq!(
                (read.header("x-log-first"), read.header("x-log-end")),
                ("0", "3")
            );
            let torn = append(bench, &["d"]).await.expect("it answers");
            assert_eq!(torn.status, 200);
            let half = bench.call(hyper::Method::POST, "/log/t/append", &[0, 0, 0, 9, 1]);
            assert_eq!(half.await.expect("it answers").status, 400);
        },
    );
}

#[test]
fn keeps_the_record_whose_answer_it_loses() {
    // The caller sees its connection close and can't tell what became of the append.
    // The platform takes the record, then the answer is lost on its way.
    // An adapter that repeated it under another id would write it twice.
    with(
        Settings::Platform(PlatformSettings::default()),
        async |bench| {
            bench.fault(&json!({"lose": 1.0})).await;
            assert!(append(bench, &["a"]).await.is_none());
            bench.fault(&json!({})).await;
            let read = bench.get("/log/t/read?from=0").await.expect("it answers");
            assert_eq!(read.body, records(&["a"]));
        },
    );
}

#[test]
fn refuses_over_its_rate_and_vouches_for_it() {
    let settings = PlatformSettings {
        appends: 0.001,
        ..PlatformSettings::default()
    };
    with(Settings::Platform(settings), async |bench| {
        let mut taken = 0;
        let mut refused = 0;
        for _append in 0..20 {
            let answer = append(bench, &["a"]).await.expect("it answers");
            if answer.status == 429 {
                assert_eq!(answer.header("x-not-run"), "1");
                refused += 1;
            } else {
                taken += 1;
            }
        }
        assert!(refused > 0, "{taken} appends were all taken");
        let read = bench.get("/log/t/read?from=0").await.expect("it answers");
        assert_eq!(read.header("x-log-end"), taken.to_string());
    });
}

#[test]
fn tells_where_retention_begins() {
    let settings = PlatformSettings {
        keep_records: 2,
        ..PlatformSettings::default()
    };
    with(Settings::Platform(settings), async |bench| {
        append(bench, &["a", "b", "c"]).await;
        let gone = bench.get("/log/t/read?from=0").await.expect("it answers");
        assert_eq!((gone.status, gone.json()), (410, json!({"first": 1})));
        let read = bench.get("/log/t/read?from=1").await.expect("it answers");
        assert_eq!(read.body, records(&["b", "c"]));
    });
}

#[test]
fn wakes_a_long_read_when_a_record_comes() {
    with(
        Settings::Platform(PlatformSettings::default()),
        async |bench| {
            let read = bench.get("/log/t/read?from=0&wait_ms=30000");
            let (read, _) = futures_lite::future::zip(read, append(bench, &["a"])).await;
            assert_eq!(read.expect("it answers").body, records(&["a"]));
        },
    );
}

#[test]
fn hits_only_the_callers_named() {
    // One router sees the platform refuse everything, another sees it well.
    // The fault names a part of the first one's user agent.
    // So a partition of one node can be tried without touching the others.
    with(
        Settings::Platform(PlatformSettings::default()),
        async |bench| {
            bench
                .fault(&json!({"refuse": true, "callers": ["router/r2"]}))
                .await;
            let well = append(bench, &["a"]).await.expect("it answers");
            assert_eq!(well.status, 200);
            bench
                .fault(&json!({"refuse": true, "callers": ["router/r1"]}))
                .await;
            let away = append(bench, &["b"]).await.expect("it answers");
            assert_eq!((away.status, away.header("x-not-run")), (503, "1"));
        },
    );
}

#[test]
fn shows_a_changed_host_list_only_after_its_lag() {
    let settings = PlatformSettings {
        hosts_lag_ms: 3_600_000,
        ..PlatformSettings::default()
    };
    with(Settings::Platform(settings), async |bench| {
        let old = json!({"hosts": [{"host": "h1"}]});
        bench.post("/hosts", &old).await;
        bench
            .post("/hosts", &json!({"hosts": [{"host": "h2"}]}))
            .await;
        let seen = bench.get("/hosts").await.expect("it answers");
        assert_eq!(seen.json(), old);
    });
}
