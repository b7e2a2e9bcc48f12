//! Tests of the plain service's count of effects.

use serde_json::json;
use snipeyoke_standin::PlainSettings;
use snipeyoke_standin::Settings;
use snipeyoke_standin::answer::receipt;

use crate::client::Bench;
use crate::client::with;

async fn effects(bench: &Bench) -> serde_json::Value {
    let answer = bench.get("/effects").await.expect("it answers");
    answer.json()["effects"].clone()
}

#[test]
fn counts_a_repeated_key_twice() {
    // A checker must see the second invoice, so the stand-in never de-duplicates.
    with(Settings::Plain(PlainSettings::default()), async |bench| {
        let body = json!({"order": 7});
        for _call in 0..2 {
            let answer = bench.post("/invoice", &body).await.expect("it answers");
            assert_eq!(
                answer.json()["receipt"],
                receipt(body.to_string().as_bytes())
            );
        }
        assert_eq!(effects(bench).await, json!({"k1": 2}));
    });
}

#[test]
fn has_its_effect_although_the_answer_is_lost() {
    // The caller sees the connection close; the invoice was sent all the same.
    // Its agent must call the outcome unknown, never "not run".
    with(Settings::Plain(PlainSettings::default()), async |bench| {
        bench.fault(&json!({"lose": 1.0})).await;
        assert!(bench.post("/invoice", &json!({})).await.is_none());
        assert_eq!(effects(bench).await, json!({"k1": 1}));
    });
}

#[test]
fn has_no_effect_when_it_refuses_fails_or_is_dead() {
    with(Settings::Plain(PlainSettings::default()), async |bench| {
        bench.fault(&json!({"refuse": true})).await;
        let refused = bench
            .post("/invoice", &json!({}))
            .await
            .expect("it answers");
        assert_eq!((refused.status, refused.header("x-not-run")), (503, "1"));
        bench.fault(&json!({"fail": 1.0})).await;
        let failed = bench
            .post("/invoice", &json!({}))
            .await
            .expect("it answers");
        assert_eq!((failed.status, failed.header("x-not-run")), (500, ""));
        bench.fault(&json!({"dead": true})).await;
        assert!(bench.post("/invoice", &json!({})).await.is_none());
        assert_eq!(effects(bench).await, json!({}));
    });
}
