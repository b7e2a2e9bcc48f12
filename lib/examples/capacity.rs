//! Prints how a node's memory and CPU time grow with its state.
//!
//! Each part is measured at three or four sizes.
//!
//! `cargo run --release -p snipeyoke-lib --example capacity`. Memory is the
//! growth of the resident set, read from `/proc/self/statm`; times exclude
//! network I/O.

use std::collections::BTreeMap;
use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand_pcg::Pcg32;
use snipeyoke_lib::config::Account;
use snipeyoke_lib::config::Change;
use snipeyoke_lib::config::Config;
use snipeyoke_lib::config::Fold;
use snipeyoke_lib::config::Limits;
use snipeyoke_lib::config::PART_BYTES_MAX;
use snipeyoke_lib::config::Snapshot;
use snipeyoke_lib::ids::AttemptId;
use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::FencingNumber;
use snipeyoke_lib::ids::Incarnation;
use snipeyoke_lib::ids::NodeId;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::ids::Operator;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::ids::Region;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::ids::Revision;
use snipeyoke_lib::journal::Accepted;
use snipeyoke_lib::journal::Choice;
use snipeyoke_lib::journal::Decision;
use snipeyoke_lib::journal::Journal;
use snipeyoke_lib::lease::HeldLease;
use snipeyoke_lib::limits::AccountDemand;
use snipeyoke_lib::limits::Limiter;
use snipeyoke_lib::once::Answer;
use snipeyoke_lib::once::OnceEnd;
use snipeyoke_lib::once::OnceGate;
use snipeyoke_lib::once::OnceKey;
use snipeyoke_lib::once::TableLimits;
use snipeyoke_lib::outcome::AttemptEnd;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::query::Field;
use snipeyoke_lib::query::Filter;
use snipeyoke_lib::query::Value;
use snipeyoke_lib::query::matches;
use snipeyoke_lib::record::Author;
use snipeyoke_lib::record::Body;
use snipeyoke_lib::record::Record;
use snipeyoke_lib::record::RecordId;
use snipeyoke_lib::routing::Fleet;
use snipeyoke_lib::routing::LoadReport;
use snipeyoke_lib::routing::Need;
use snipeyoke_lib::routing::PolicyKind;
use snipeyoke_lib::routing::RouterLocation;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::time::WallTime;
use snipeyoke_lib::units::Bytes;
use snipeyoke_lib::units::RequestRate;
use snipeyoke_lib::units::TokenRate;
use uuid::Builder;
use uuid::Uuid;

/// The number of stages of a request in the journal.
const STAGE_COUNT: u64 = 4;

/// The body size of a plain service's answer.
const ANSWER_BYTES: usize = 128;

/// The number of iterations of a timed decision.
const ITERATIONS: u32 = 2_000;

fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0.0) * 4_096.0
}

// Released memory would be reused, and the next measured growth of the resident
// set would be too small.
fn leak<T>(value: T) {
    std::mem::forget(value);
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the example's names are well-formed")
}

fn print(label: &str, size: usize, value: f64, unit: &str) {
    println!("{label:<34} {size:>9} {value:>12.3} {unit}");
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn accounts(count: usize) -> BTreeMap<ClientAccount, Account> {
    let account = |n: usize| Account {
        keys: vec![name(&format!("{n:064x}"))],
        limits: Limits {
            requests: RequestRate(10.0),
            tokens: TokenRate(1_000.0),
            concurrency: 8,
        },
        share: 1.0,
    };
    let entry = |n| (name(&format!("account-{n:06}")), account(n));
    (0..count).map(entry).collect()
}

fn journal(count: usize) {
    let before = resident_bytes();
    let mut journal = Journal::new(Bytes(1 << 34));
    let started = Instant::now();
    for n in 0..count as u64 {
        record_request(&mut journal, n);
    }
    let time = started.elapsed() / count as u32;
    let growth = (resident_bytes() - before) / count as f64;
    print("journal: resident / request", count, growth, "B");
    let accounted = journal.used().0 as f64 / count as f64;
    print("journal: accounted / request", count, accounted, "B");
    print("journal: time / request", count, micros(time), "us");
    let filter = Filter::Flag(Field::Late);
    let started = Instant::now();
    let late = journal.requests().filter(|r| {
        let late = Value::Flag(r.is_late(Time::from_millis(9)));
        matches(&filter, &|_| late.clone())
    });
    black_box(late.count());
    let time = started.elapsed() / count as u32;
    print("journal: query / request", count, micros(time), "us");
    leak(journal);
}

fn record_request(journal: &mut Journal, n: u64) {
    let id = RequestId(Uuid::from_u128(u128::from(n)));
    let now = Time::from_millis(n);
    let accepted = Accepted {
        id,
        account: name("account-000001"),
        kind: name("patrol-brief"),
        pipeline: name("patrol-brief"),
        deadline: Duration::from_secs(3),
        predicted: None,
    };
    journal.on_accept(now, accepted);
    let choice = |index: u64| Choice {
        endpoint: name(&format!("ranger-llm-{index:03}")),
        predicted: Duration::from_millis(300),
        cost: None,
    };
    for stage in 0..STAGE_COUNT {
        let decision = Decision {
            stage: name("generate"),
            attempt: AttemptId(stage),
            chosen: choice(n % 100),
            others: vec![choice(1), choice(2)],
            hedge: false,
            why: "predicted".to_owned(),
        };
        journal.on_decision(now, id, decision);
        journal.on_attempt_end(now, id, AttemptId(stage), &AttemptEnd::Completed);
    }
    journal.on_finish(now, id, Outcome::Completed, None);
}

fn config(count: usize) {
    let before = resident_bytes();
    let config = Config {
        accounts: accounts(count),
        ..Config::default()
    };
    let growth = (resident_bytes() - before) / count as f64;
    print("config: resident / account", count, growth, "B");
    let snapshot = Snapshot {
        next: Offset(1),
        revision: Revision(1),
        config: Arc::new(config),
        recent: Vec::new(),
    };
    let bytes = serde_json::to_vec(&snapshot).expect("a snapshot has a JSON form");
    let per_account = bytes.len() as f64 / count as f64;
    print("config: snapshot / account", count, per_account, "B");
    let mut fold = Fold::new();
    fold.adopt(&snapshot);
    let record = change(1);
    let started = Instant::now();
    black_box(fold.apply(Offset(1), &record));
    print(
        "config: apply one record",
        count,
        micros(started.elapsed()),
        "us",
    );
    print("config: record", count, record.encode().len() as f64, "B");
    leak((fold, snapshot, bytes));
}

fn parts(count: usize) {
    let config = Config {
        accounts: accounts(count),
        ..Config::default()
    };
    let snapshot = Snapshot {
        next: Offset(1),
        revision: Revision(1),
        config: Arc::new(config),
        recent: Vec::new(),
    };
    let encoded = serde_json::to_vec(&snapshot).expect("a snapshot has a JSON form");
    print("parts: snapshot", count, encoded.len() as f64, "B");
    let started = Instant::now();
    let records = snapshot.records(&Author::Peer, RecordId::default);
    let records: Vec<_> = records.iter().map(Record::encode).collect();
    let time = started.elapsed();
    print("parts: records", count, records.len() as f64, "records");
    let sizes = || records.iter().map(Vec::len);
    print(
        "parts: all records",
        count,
        sizes().sum::<usize>() as f64,
        "B",
    );
    let largest = sizes().max().unwrap_or_default();
    assert!(largest <= PART_BYTES_MAX, "a record of {largest} bytes");
    print("parts: largest record", count, largest as f64, "B");
    print("parts: time to split", count, micros(time), "us");
    let mut fold = Fold::new();
    let started = Instant::now();
    for record in &records {
        fold.apply_bytes(Offset(9), record);
    }
    assert_eq!(
        fold.config(),
        snapshot.config,
        "the parts combine into the snapshot"
    );
    let time = micros(started.elapsed());
    print("parts: time to fold", count, time, "us");
}

fn change(base: u64) -> Record {
    let account = accounts(1).into_iter().next().expect("there is one");
    Record {
        id: RecordId(Uuid::from_u128(7)),
        author: Author::Operator(name::<Operator>("kari")),
        body: Body::ConfigChange {
            base: Revision(base),
            change: Change::SetAccount {
                name: account.0,
                account: account.1,
            },
        },
    }
}

fn fleet(count: usize) {
    let before = resident_bytes();
    let domain: FailureDomain = name("hall-a");
    let region: Region = name("bergen");
    let pool: PoolName = name("ranger-llm");
    let mut fleet = Fleet::new(RouterLocation {
        domain: domain.clone(),
        region: region.clone(),
    });
    let now = Time::from_millis(10);
    let started = Instant::now();
    for n in 0..count {
        let id: EndpointId = name(&format!("ranger-llm-{n:04}"));
        fleet.upsert(id.clone(), pool.clone(), &domain, &region, Incarnation(1));
        let report = LoadReport {
            seq: 1,
            slots: 16,
            prefill: 8_000.0,
            decode: 40.0,
            ..LoadReport::default()
        };
        fleet.on_load(now, &id, &report);
    }
    print("fleet: fill", count, micros(started.elapsed()), "us");
    let growth = (resident_bytes() - before) / count as f64;
    print("fleet: resident / endpoint", count, growth, "B");
    let mut policy = PolicyKind::Predicted.build();
    let mut rng = Pcg32::new(7, 11);
    let prefix: Vec<u64> = (0..8).collect();
    let need = Need {
        prompt: 512,
        output: 200.0,
        prefix: &prefix,
        budget: Duration::from_secs(2),
        ..Need::default()
    };
    let pool = fleet.pool_mut(&pool).expect("the pool is filled");
    let started = Instant::now();
    for _iteration in 0..ITERATIONS {
        black_box(policy.choose(now, pool, &need, &mut rng));
    }
    let time = started.elapsed() / ITERATIONS;
    print("fleet: one decision", count, micros(time), "us");
    leak(fleet);
}

fn limiter(peers: usize, count: usize) {
    let before = resident_bytes();
    let now = Time::from_millis(10);
    let all = accounts(count);
    let mut limiter = Limiter::new(now, peers + 1);
    limiter.set_accounts(now, &all);
    let mut report_time = Duration::ZERO;
    for seq in 1..3 {
        report_time = Duration::ZERO;
        for n in 0..peers {
            let demands = all.keys().map(|name| AccountDemand {
                account: name.clone(),
                requests: seq as f64,
                tokens: 100.0,
                active: 1,
            });
            let demands = demands.collect();
            let peer: NodeId = name(&format!("router-{n:03}"));
            let started = Instant::now();
            limiter.on_report(now, &peer, seq, demands);
            report_time += started.elapsed();
        }
    }
    let pairs = peers * count;
    let growth = (resident_bytes() - before) / pairs as f64;
    print("limits: resident / (peer, account)", pairs, growth, "B");
    let time = micros(report_time) / pairs as f64;
    print("limits: report / (peer, account)", pairs, time, "us");
    let started = Instant::now();
    black_box(limiter.tick(now));
    print("limits: tick", pairs, micros(started.elapsed()), "us");
    let time = micros(started.elapsed()) / pairs as f64;
    print("limits: tick / (peer, account)", pairs, time, "us");
    leak((limiter, all));
}

fn once(count: usize) {
    let before = resident_bytes();
    let limits = TableLimits {
        keys: count,
        bytes: Bytes(1 << 34),
    };
    let mut gate = OnceGate::new(limits);
    let held = HeldLease {
        fence: FencingNumber(1),
        issue_floor: WallTime::from_millis(1),
        expires_at: Time::NEVER,
    };
    let started = Instant::now();
    for n in 0..count as u64 {
        let issued = 1_000 + n;
        let mut random = [0; 10];
        random[2..].copy_from_slice(&n.to_be_bytes());
        let key = OnceKey {
            account: name("account-000001"),
            key: Builder::from_unix_timestamp_millis(issued, &random).into_uuid(),
            digest: [7; 32],
        };
        black_box(gate.admit(WallTime::from_millis(issued), &key, Some(held)));
        let answer = Answer {
            status: 200,
            body: vec![b'x'; ANSWER_BYTES],
        };
        gate.end(&key, OnceEnd::Answered(answer));
    }
    let time = micros(started.elapsed()) / count as f64;
    let growth = (resident_bytes() - before) / gate.keys() as f64;
    print("once: resident / key", gate.keys(), growth, "B");
    print("once: time / key", gate.keys(), time, "us");
    leak(gate);
}

fn main() {
    println!("{:<34} {:>9} {:>12} unit", "what", "size", "value");
    for count in [1_900, 3_800, 7_600, 30_400] {
        config(count);
    }
    for count in [1_000, 3_000, 7_600] {
        parts(count);
    }
    for count in [170, 340, 680, 6_800] {
        fleet(count);
    }
    for count in [12_500, 25_000, 50_000] {
        once(count);
    }
    for (peers, count) in [(10, 760), (40, 1_900), (40, 7_600)] {
        limiter(peers, count);
    }
    for count in [4_000, 16_000, 64_000] {
        journal(count);
    }
}
