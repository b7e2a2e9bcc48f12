//! Operators before a running deployment, over real sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;
use snipeyoke::exit::Exit;
use snipeyoke::report::Report;
use snipeyoke::router::Http;
use snipeyoke::session::Session;
use snipeyoke::settings::Raw;
use snipeyoke::settings::Settings;
use snipeyoke_lib::ids::Revision;
use snipeyoke_lib::query::ChangeAnswer;
use snipeyoke_lib::query::parse_one;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::http::collect;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::threads::Threads;
use snipeyoke_site::OPERATOR_KEY;
use snipeyoke_site::Site;
use snipeyoke_site::vestlandsprint;

/// Bytes of the largest answer read.
const ANSWER_MAX: usize = 1 << 20;

struct Bed {
    site: Site,
    client: Client,
}

impl Bed {
    fn session(&self, routers: Vec<SocketAddr>, key: &str) -> Session {
        let raw = json!({"routers": routers, "key": key, "timeout_ms": 5000});
        let raw: Raw = serde_json::from_value(raw).expect("the settings have the right shape");
        let settings = Settings::try_from(raw).expect("the settings are right");
        let http = Http::new(self.client.clone(), settings);
        Session::new(routers, Arc::new(http))
    }

    fn operator(&self) -> Session {
        self.session(self.site.operators(), OPERATOR_KEY)
    }

    async fn post(&self, address: SocketAddr, path: &str, body: String) -> Value {
        let request = hyper::Request::post(path)
            .header("authorization", "Bearer key-pizzeria")
            .body(Full::new(Bytes::from(body)))
            .expect("the test's request is well-formed");
        let sent = self.client.send(address, request).await;
        let (response, kept) = sent.expect("it answers");
        let id = response.headers().get("x-request-id").cloned();
        let body = collect(response.into_body(), ANSWER_MAX).await;
        self.client.recycle(kept);
        let body = body.expect("the answer is whole");
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let id = id.and_then(|v| v.to_str().ok().map(str::to_owned));
        json!({"body": body, "id": id})
    }

    async fn lookup(&self, number: usize) -> Value {
        let routers = self.site.callers();
        let address = routers[number % routers.len()];
        let body = json!({"order": number}).to_string();
        self.post(address, "/v1/requests/order-lookup", body).await
    }
}

fn with_bed(test: impl AsyncFnOnce(&Bed)) {
    let threads = Threads::start(2).expect("threads start");
    future::block_on(async {
        let site = Site::start(&vestlandsprint(), &threads.execs()).await;
        let scope = Scope::new(threads.execs().traffic);
        let bed = Bed {
            site: site.expect("the site starts"),
            client: Client::new(scope.clone(), Duration::from_secs(1)),
        };
        test(&bed).await;
        bed.site.stop().await;
        scope.cancel().await;
    });
    threads.join();
}

async fn run(session: &mut Session, text: &str) -> Report {
    let statement = parse_one(text).expect("the test's statement is well-formed");
    session.run(&statement).await
}

fn count(report: &Report, value: &str) -> u32 {
    let table = report.table.as_ref().expect("the answer has rows");
    let found = table.rows.iter().find(|r| r.0[0].to_string() == value);
    found.map_or(0, |r| r.0[1].to_string().parse().expect("a count"))
}

#[test]
fn the_second_of_two_crossing_changes_loses_to_the_first() {
    // Kari and Ola both read the configuration; Kari changes a deadline, then
    // Ola, who has not seen that, changes a weight. Ola would undo or build on
    // what he never saw. He is told that he lost, and to what; asking again,
    // having been told, he is accepted. A change without effect is not in force.
    with_bed(async |bed| {
        let (mut kari, mut ola) = (bed.operator(), bed.operator());
        run(&mut kari, "show pipelines").await;
        run(&mut ola, "show pipelines").await;
        let first = run(&mut kari, "set deadline headline-fix 2s").await;
        assert_eq!(first.exit, Exit::Done, "{}", first.text());
        let text = first.text();
        assert!(text.contains("in force at 3 of 3 routers"), "{text}");
        let second = run(&mut ola, "set weight headline-fix cost 2").await;
        assert_eq!(second.exit, Exit::Refused);
        let Some(ChangeAnswer::Lost { winner, .. }) = &second.change else {
            panic!("the second change did not lose: {}", second.text());
        };
        assert!(winner.contains("headline-fix"), "{winner}");
        let again = run(&mut ola, "set weight headline-fix cost 2").await;
        assert_eq!(again.exit, Exit::Done, "{}", again.text());
    });
}

#[test]
fn a_wrong_key_learns_nothing_and_changes_nothing() {
    with_bed(async |bed| {
        let mut right = bed.operator();
        run(&mut right, "show pipelines").await;
        let before = right.seen();
        let routers = bed.site.operators();
        let mut wrong = bed.session(routers, "operator-key-of-nobody");
        for text in ["set deadline headline-fix 2s", "show config"] {
            let report = run(&mut wrong, text).await;
            assert_eq!(report.exit, Exit::Refused, "{}", report.text());
            assert!(report.table.is_none() && report.change.is_none());
        }
        run(&mut right, "show pipelines").await;
        assert_eq!(right.seen(), before);
    });
}

#[test]
fn with_the_log_away_nothing_changes_and_what_is_in_force_is_told() {
    // The platform refuses every call, as in a partition. The operator's change
    // is not done and is said not to be; what is in force is still told by
    // every router. Once the log is back the same change is accepted.
    with_bed(async |bed| {
        let mut operator = bed.operator();
        run(&mut operator, "show pipelines").await;
        let before = operator.seen();
        let platform = bed.site.platform;
        bed.post(platform, "/fault", json!({"refuse": true}).to_string())
            .await;
        let change = run(&mut operator, "set deadline headline-fix 2s").await;
        assert_eq!(change.exit, Exit::Refused, "{}", change.text());
        let not_done = matches!(change.change, Some(ChangeAnswer::NotDone { .. }));
        assert!(not_done, "{}", change.text());
        let asked = run(&mut operator, "show pipelines").await;
        assert_eq!(asked.routers.len(), 3);
        assert_eq!(operator.seen(), before);
        bed.post(platform, "/fault", json!({}).to_string()).await;
        let change = run(&mut operator, "set deadline headline-fix 2s").await;
        assert_eq!(change.exit, Exit::Done, "{}", change.text());
    });
}

#[test]
fn a_lost_answer_is_told_as_unknown_and_shows_in_the_changes() {
    // The log takes the change, and every answer of the log is lost, also when
    // the append is repeated under the same identity. The operator is told that
    // it is not known, and not that it failed. Once the log's answers come
    // through, the change is there, and only once.
    with_bed(async |bed| {
        let mut operator = bed.operator();
        run(&mut operator, "show pipelines").await;
        let before = operator.seen().expect("a revision was seen");
        let fault = json!({"lose": 1.0}).to_string();
        bed.post(bed.site.platform, "/fault", fault).await;
        let change = run(&mut operator, "set deadline headline-fix 2s").await;
        bed.post(bed.site.platform, "/fault", json!({}).to_string())
            .await;
        assert_ne!(change.exit, Exit::Done, "answers and reads were lost");
        let unknown = matches!(change.change, Some(ChangeAnswer::Unknown { .. }));
        assert!(unknown, "{}", change.text());
        let mut seen = Revision(0);
        for _look in 0..50 {
            run(&mut operator, "show changes limit 1").await;
            seen = operator.seen().unwrap_or_default();
            if seen > before {
                break;
            }
            operator.pause(Duration::from_millis(100)).await;
        }
        assert_eq!(seen, before.next(), "the change stands once");
    });
}

#[test]
fn a_drained_endpoint_gets_no_new_work_until_it_is_resumed() {
    // The desk's first endpoint is drained while requests go on. Within a
    // heartbeat or two no request is sent there, and every request is still
    // answered; after the end of the drain it gets work again.
    with_bed(async |bed| {
        let mut operator = bed.operator();
        let report = run(&mut operator, "drain endpoint ordredesk-0").await;
        assert_eq!(report.exit, Exit::Done, "{}", report.text());
        operator.pause(Duration::from_millis(1_500)).await;
        let by = "show requests where stage = call by endpoint";
        let before = count(&run(&mut operator, by).await, "ordredesk-0");
        for number in 0..30 {
            bed.lookup(number).await;
        }
        let after = run(&mut operator, by).await;
        assert_eq!(count(&after, "ordredesk-0"), before);
        let answered = run(&mut operator, "show requests by outcome").await;
        assert!(count(&answered, "completed") >= 30, "{}", answered.text());
        run(&mut operator, "resume endpoint ordredesk-0").await;
        operator.pause(Duration::from_millis(1_500)).await;
        for number in 0..60 {
            bed.lookup(number).await;
        }
        let resumed = run(&mut operator, by).await;
        assert!(
            count(&resumed, "ordredesk-0") > before,
            "{}",
            resumed.text()
        );
    });
}

#[test]
fn an_evacuated_domain_gets_no_new_work_until_it_is_restored() {
    // Unlike a drain, the evacuation leaves the domain's routers in service.
    with_bed(async |bed| {
        let mut operator = bed.operator();
        let of_desk = "show endpoints where endpoint = ordredesk-0 by domain";
        let table = run(&mut operator, of_desk).await.table;
        let domain = table.expect("the answer has rows").rows[0].0[0].to_string();
        let report = run(&mut operator, &format!("evacuate domain {domain}")).await;
        assert_eq!(report.exit, Exit::Done, "{}", report.text());
        let shown = run(&mut operator, "show domains where evacuated by domain").await;
        assert_eq!(count(&shown, &domain), 1, "{}", shown.text());
        operator.pause(Duration::from_millis(1_500)).await;
        let by = "show requests where stage = call by endpoint";
        let before = count(&run(&mut operator, by).await, "ordredesk-0");
        for number in 0..30 {
            bed.lookup(number).await;
        }
        let after = run(&mut operator, by).await;
        assert_eq!(count(&after, "ordredesk-0"), before);
        let answered = run(&mut operator, "show requests by outcome").await;
        assert!(count(&answered, "completed") >= 30, "{}", answered.text());
        run(&mut operator, &format!("restore domain {domain}")).await;
        operator.pause(Duration::from_millis(1_500)).await;
        for number in 0..60 {
            bed.lookup(number).await;
        }
        let restored = run(&mut operator, by).await;
        assert!(
            count(&restored, "ordredesk-0") > before,
            "{}",
            restored.text()
        );
    });
}

#[test]
fn a_request_is_explained_and_routers_that_are_away_are_named() {
    with_bed(async |bed| {
        bed.lookup(1).await;
        let mut routers = bed.site.operators();
        routers.push(SocketAddr::from(([127, 0, 0, 1], 9)));
        let mut operator = bed.session(routers, OPERATOR_KEY);
        let report = run(&mut operator, "show requests limit 1").await;
        assert_eq!(report.exit, Exit::Partial);
        assert!(report.text().contains("not asked: 127.0.0.1:9"));
        let table = report.table.expect("the answer has rows");
        let id = table.rows[0].0[0].to_string();
        let nodes = run(&mut operator, "show nodes where kind = router by node").await;
        assert!(
            count(&nodes, "vestlandsprint-router-0") >= 1,
            "{}",
            nodes.text()
        );
        let mut hosts = run(&mut operator, "show hosts").await;
        for _look in 0..50 {
            if hosts.table.is_some() {
                break;
            }
            operator.pause(Duration::from_millis(100)).await;
            hosts = run(&mut operator, "show hosts").await;
        }
        assert!(hosts.table.is_some(), "{}", hosts.text());
        let story = run(&mut operator, &format!("explain {id}")).await.text();
        assert!(
            story.contains("came") && story.contains("answered"),
            "{story}"
        );
    });
}
