//! Tests of the exchange of the configuration between processes.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use futures_lite::future;
use snipeyoke_lib::config::Account;
use snipeyoke_lib::config::Change;
use snipeyoke_lib::config::Config;
use snipeyoke_lib::config::Limits;
use snipeyoke_lib::config::Snapshot;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::ids::Revision;
use snipeyoke_lib::record::Author;
use snipeyoke_lib::record::Body;
use snipeyoke_lib::record::Record;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::RequestRate;
use snipeyoke_lib::units::TokenRate;
use snipeyoke_runtime::config_store::ConfigStore;
use snipeyoke_runtime::config_store::PUSH_MAX_BYTES;
use snipeyoke_runtime::config_store::REQUEST_STALL;
use snipeyoke_runtime::link;
use snipeyoke_runtime::listen::bind;
use snipeyoke_wire::frame;

/// The number of client accounts in a deployment of full size.
const ACCOUNTS: usize = 7_600;

/// The keys of an account whose record has the maximum size that the log accepts.
const KEYS: usize = 2_500;

fn account(first: usize, keys: usize) -> Account {
    let key = |n: usize| format!("{n:064x}").parse().expect("a digest");
    Account {
        keys: (first..first + keys).map(key).collect(),
        limits: Limits {
            requests: RequestRate(10.0),
            tokens: TokenRate(1_000.0),
            concurrency: 8,
        },
        share: 1.0,
    }
}

fn full_size_snapshot() -> Snapshot {
    let name = |n: usize| format!("account-{n:06}").parse().expect("a name");
    let config = Config {
        accounts: (0..ACCOUNTS).map(|n| (name(n), account(n, 1))).collect(),
        ..Config::default()
    };
    Snapshot {
        next: Offset(7),
        revision: Revision(5),
        config: Arc::new(config),
        recent: Vec::new(),
    }
}

/// Sends the offers of one process to another over a link and applies them.
fn sync(source: &ConfigStore, target: &ConfigStore) {
    let exec = Arc::new(Executor::new());
    future::block_on(exec.run(async {
        let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("a free port");
        let address = listener.get_ref().local_addr().expect("an address");
        let near = link::connect(address, Duration::from_secs(5)).await;
        let (far, _peer) = listener.accept().await.expect("a connection arrives");
        let (sender, writer, _near) =
            link::open(near.expect("the listener accepts")).expect("options");
        let (_sender, _writer, mut far) = link::open(far).expect("options");
        let task = exec.spawn(writer.run());
        let offers = source.offers_since(target.next());
        let frames = offers.len();
        for offer in offers {
            let sent = sender.send(frame::Body::ConfigOffer(offer));
            sent.expect("an offer fits a frame");
        }
        for _frame in 0..frames {
            let frame = far.next().await.expect("the link is open");
            let Some(frame::Body::ConfigOffer(offer)) = frame else {
                panic!("not an offer: {frame:?}");
            };
            assert!(!target.apply_offer(Time::ZERO, &offer, |_, _, _| {}).gap);
        }
        task.cancel().await;
    }));
}

fn assert_in_sync(source: &ConfigStore, target: &ConfigStore) {
    assert_eq!(target.next(), source.next());
    assert_eq!(target.fold().revision(), source.fold().revision());
    assert_eq!(target.fold().config(), source.fold().config());
}

#[test]
fn a_router_without_log_gets_a_large_configuration_from_an_agent() {
    // Guards against a router that starts while the log is unavailable and can't get
    // the 7,600 accounts from its agents. As a single frame, the offer would exceed
    // the maximum size and never be sent.
    let (agent, router) = (ConfigStore::default(), ConfigStore::default());
    assert!(agent.fold().adopt(&full_size_snapshot()));
    sync(&agent, &router);
    assert_in_sync(&agent, &router);
}

#[test]
fn a_process_many_large_records_behind_gets_them_all() {
    // Guards against a process that stays at an old revision. It missed eight
    // changes of the maximum record size, which together exceed a frame.
    let (ahead, behind) = (ConfigStore::default(), ConfigStore::default());
    for n in 0..8 {
        let name = format!("account-{n}").parse().expect("a name");
        let record = Record {
            id: format!("{:032x}", n + 1).parse().expect("an id"),
            author: Author::Operator("kari".parse().expect("a name")),
            body: Body::ConfigChange {
                base: Revision(n),
                change: Change::SetAccount {
                    name,
                    account: account(n as usize * KEYS, KEYS),
                },
            },
        };
        ahead.fold().apply(Offset(n), &record);
    }
    assert_eq!(ahead.fold().revision(), Revision(8));
    sync(&ahead, &behind);
    assert_in_sync(&ahead, &behind);
}

#[test]
fn a_starting_router_requests_one_copy_though_all_agents_are_ahead() {
    // Guards against congestion when a router starts while the log is unavailable.
    // Twenty agents announce a configuration of 1.3 MB within half a second. Requested
    // from all, it takes 26 MB, over a minute on the link of a small host.
    let (agent, router) = (ConfigStore::default(), ConfigStore::default());
    assert!(agent.fold().adopt(&full_size_snapshot()));
    let mut now = Time::from_millis(1_000);
    let requests = (0..20).filter_map(|_| router.request(now)).count();
    assert_eq!(requests, 1);
    for offer in agent.offers_since(Offset(0)) {
        assert_eq!(router.request(now), None, "a response is arriving");
        router.apply_offer(now, &offer, |_, _, _| {});
        now = now + REQUEST_STALL / 2;
    }
    assert_in_sync(&agent, &router);
}

#[test]
fn a_stalled_request_is_sent_to_another_agent() {
    let router = ConfigStore::default();
    let now = Time::from_millis(1_000);
    assert!(router.request(now).is_some());
    assert_eq!(router.request(now + REQUEST_STALL / 2), None);
    assert!(router.request(now + REQUEST_STALL).is_some());
}

#[test]
fn a_large_state_is_not_sent_without_a_request() {
    // Guards against routers that all send their whole configuration to a starting
    // agent. They announce the newest offset, and the agent requests it from one.
    let (router, agent) = (ConfigStore::default(), ConfigStore::default());
    assert!(router.fold().adopt(&full_size_snapshot()));
    let now = Time::from_millis(1_000);
    let mut requests = 0;
    for _router in 0..24 {
        for offer in router.announce(agent.next()) {
            let bytes: usize = offer.records.iter().map(bytes::Bytes::len).sum();
            assert!(bytes <= PUSH_MAX_BYTES, "{bytes} bytes");
            let gap = agent.apply_offer(now, &offer, |_, _, _| {}).gap;
            requests += usize::from(gap && agent.request(now).is_some());
        }
    }
    assert_eq!(requests, 1);
    sync(&router, &agent);
    assert_in_sync(&router, &agent);
}
