//! Keys and configuration over real sockets.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;
use serde_json::json;
use snipeyoke_lib::config::Account;
use snipeyoke_lib::config::Change;
use snipeyoke_lib::config::Limits;
use snipeyoke_lib::units::RequestRate;
use snipeyoke_lib::units::TokenRate;
use snipeyoke_router::Router;
use snipeyoke_router::settings::Settings;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::http::collect;
use snipeyoke_runtime::scope::Scope;
use snipeyoke_runtime::settings;
use snipeyoke_runtime::threads::Threads;
use snipeyoke_site::Site;
use snipeyoke_site::vestlandsprint;
use uuid::Uuid;

const ANSWER_MAX: usize = 1 << 20;

/// The tries within which agents own their slots and routers know it.
const TRIES: usize = 300;

/// The pause between two tries.
const PAUSE: Duration = Duration::from_millis(50);

/// The records that the log keeps: fewer than there are, more than a snapshot lacks.
const KEPT: usize = 100;

/// The keys of an account of 100 KB.
const KEYS: usize = 1_500;

/// The time within which a due snapshot is published.
const SNAPSHOT_LIMIT: Duration = Duration::from_secs(8);

struct Seen {
    status: u16,
    outcome: String,
    body: Value,
}

struct Caller(Client);

impl Caller {
    async fn send(&self, at: SocketAddr, request: Request<Full<Bytes>>) -> Option<Seen> {
        let (response, kept) = self.0.send(at, request).await.ok()?;
        let status = response.status().as_u16();
        let header = response.headers().get("x-snipeyoke-outcome");
        let outcome = header.and_then(|v| v.to_str().ok()).unwrap_or_default();
        let outcome = outcome.to_owned();
        let body = collect(response.into_body(), ANSWER_MAX).await.ok()?;
        self.0.recycle(kept);
        Some(Seen {
            status,
            outcome,
            body: serde_json::from_slice(&body).unwrap_or_default(),
        })
    }

    async fn approve(&self, at: SocketAddr, key: &str, proof: &str) -> Seen {
        let request = Request::post("/v1/requests/proof-approve")
            .header("authorization", "Bearer key-dagligvare")
            .header("idempotency-key", key)
            .body(Full::new(Bytes::from(json!({"proof": proof}).to_string())))
            .expect("the request is well-formed");
        self.send(at, request).await.expect("the router answers")
    }

    async fn get(&self, at: SocketAddr, path: &str) -> Option<Seen> {
        let request = Request::get(path).body(Full::default());
        self.send(at, request.expect("well-formed")).await
    }
}

fn with_site(test: impl AsyncFnOnce(&Caller, &mut Site, &Threads)) {
    let threads = Threads::start(2).expect("threads start");
    future::block_on(async {
        let site = Site::start(&vestlandsprint(), &threads.execs()).await;
        let mut site = site.expect("the site starts");
        let scope = Scope::new(threads.execs().traffic);
        let caller = Caller(Client::new(scope.clone(), Duration::from_secs(1)));
        test(&caller, &mut site, &threads).await;
        site.stop().await;
        scope.cancel().await;
    });
    threads.join();
}

/// Repeats a key until the agents own their slots and it is answered.
async fn approved(caller: &Caller, at: SocketAddr) -> (String, Seen) {
    for _try in 0..TRIES {
        let key = Uuid::now_v7().to_string();
        let seen = caller.approve(at, &key, "leaflet 7").await;
        if seen.outcome == "completed" {
            return (key, seen);
        }
        Timer::after(PAUSE).await;
    }
    panic!("no approval was completed");
}

#[test]
fn an_approval_repeated_through_another_router_gets_the_first_answer() {
    // The client's approval is answered, the answer gets lost, and the client
    // approves again, through another router. Invoiced twice, it would complain.
    // The slot's owner has the answer and gives it again, word for word.
    with_site(async |caller, site, _threads| {
        let routers = site.callers();
        let (key, first) = approved(caller, routers[0]).await;
        for router in &routers {
            let again = caller.approve(*router, &key, "leaflet 7").await;
            assert_eq!(again.status, 200);
            assert_eq!(again.body, first.body);
        }
        let other = caller.approve(routers[0], &key, "leaflet 8").await;
        assert_eq!(other.status, 409);
        let old = "01890000-0000-7000-8000-000000000000";
        let old = caller.approve(routers[0], old, "leaflet 7").await;
        assert_eq!((old.status, old.outcome.as_str()), (409, "unknown"));
        let ahead = "7fffffff-0000-7000-8000-000000000000";
        let ahead = caller.approve(routers[0], ahead, "leaflet 7").await;
        assert_eq!((ahead.status, ahead.outcome.as_str()), (400, "not-run"));
        let random = Uuid::from_u128(0x1234_5678_1234_4567_8234_5678_1234_5678).to_string();
        let random = caller.approve(routers[0], &random, "leaflet 7").await;
        assert_eq!((random.status, random.outcome.as_str()), (400, "not-run"));
        assert_eq!(effects(caller, site, &key).await, 1);
    });
}

async fn effects(caller: &Caller, site: &Site, key: &str) -> u64 {
    let mut count = 0;
    for endpoint in site.endpoints.iter().filter(|e| e.pool == "ordredesk") {
        let seen = caller.get(endpoint.address, "/effects").await;
        let seen = seen.expect("the service answers");
        count += seen.body["effects"][key].as_u64().unwrap_or_default();
    }
    count
}

#[test]
fn a_router_that_starts_while_the_log_is_away_learns_from_agents() {
    // A host is replaced during an outage of the log. Its router refuses every
    // caller for hours if it waits for the log; the agents have what it lacks,
    // the last change before the outage included.
    with_site(async |caller, site, threads| {
        let change = Change::SetDeadline {
            pipeline: "proof-approve".parse().expect("a name"),
            deadline_ms: 2_900,
        };
        site.change(&[change]).await.expect("the log takes it");
        let (_key, _seen) = approved(caller, site.callers()[0]).await;
        let fault = Request::post("/fault")
            .body(Full::new(Bytes::from_static(b"{\"dead\":true}")))
            .expect("well-formed");
        let told = caller.send(site.platform, fault).await;
        assert_eq!(told.expect("the platform answers").status, 200);
        let late = site.callers().len();
        site.add_router(&vestlandsprint(), late, &threads.execs())
            .await
            .expect("the router starts");
        let router = site.callers()[late];
        for _try in 0..TRIES {
            let ready = caller.get(router, "/readyz").await;
            if ready.is_some_and(|seen| seen.status == 200) {
                let (_key, seen) = approved(caller, router).await;
                assert_eq!(seen.status, 200);
                return;
            }
            Timer::after(PAUSE).await;
        }
        panic!("the router did not learn the configuration");
    });
}

#[test]
fn a_router_behind_retention_recovers_from_a_snapshot() {
    // A router starts after retention took the first changes. What is left are
    // changes on revisions that it never saw, and it would refuse its callers
    // for good. The routers that saw them have published a snapshot in time.
    recovers(&[]);
}

#[test]
fn a_router_behind_retention_recovers_from_a_snapshot_in_parts() {
    // As above, but the log would refuse the snapshot as one record: it takes
    // accounts of 400 KB in. Its parts come among other records.
    recovers(&large_accounts());
}

fn recovers(first: &[Change]) {
    let threads = Threads::start(2).expect("threads start");
    future::block_on(async {
        let mut plan = vestlandsprint();
        plan.platform.keep_records = KEPT;
        let site = Site::start(&plan, &threads.execs()).await;
        let mut site = site.expect("the site starts");
        site.change(first).await.expect("the log takes them");
        site.change(&many_changes())
            .await
            .expect("the log takes them");
        Timer::after(SNAPSHOT_LIMIT).await;
        site.change(&many_changes())
            .await
            .expect("the log takes them");
        let settings = lone_router(site.platform);
        let router = Router::start(settings, &threads.execs())
            .await
            .expect("the router starts");
        let scope = Scope::new(threads.execs().traffic);
        let caller = Caller(Client::new(scope.clone(), Duration::from_secs(1)));
        let mut ready = false;
        for _try in 0..TRIES {
            let seen = caller.get(router.callers(), "/readyz").await;
            ready = seen.is_some_and(|seen| seen.status == 200);
            if ready {
                break;
            }
            Timer::after(PAUSE).await;
        }
        assert!(ready, "the router found a snapshot");
        router.stop().await;
        site.stop().await;
        scope.cancel().await;
    });
    threads.join();
}

/// More changes than make a snapshot due, fewer than retention keeps.
fn many_changes() -> Vec<Change> {
    let deadlines = (0..70).map(|index| 2_000 + index);
    let changes = deadlines.map(|deadline_ms| Change::SetDeadline {
        pipeline: "proof-approve".parse().expect("a name"),
        deadline_ms,
    });
    changes.collect()
}

/// Accounts whose snapshot has more than two parts.
fn large_accounts() -> Vec<Change> {
    let key = |n: usize| format!("{n:064x}").parse().expect("a digest");
    let account = |n: usize| Change::SetAccount {
        name: format!("large-{n}").parse().expect("a name"),
        account: Account {
            keys: (n * KEYS..(n + 1) * KEYS).map(key).collect(),
            limits: Limits {
                requests: RequestRate(10.0),
                tokens: TokenRate(1_000.0),
                concurrency: 8,
            },
            share: 1.0,
        },
    };
    (1..=4).map(account).collect()
}

fn lone_router(platform: SocketAddr) -> Settings {
    let listen = "127.0.0.1:0";
    let settings = json!({
        "node": "late", "host": "late", "domain": "late", "region": "late",
        "listen": {"callers": listen, "control": listen, "peers": listen},
        "platform": platform,
    });
    settings::parse(Path::new("late"), &settings.to_string()).expect("the settings are good")
}
