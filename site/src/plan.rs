//! What a deployment consists of; both users' deployments in small.

use std::fmt::Write;
use std::net::SocketAddr;
use std::str::FromStr;

use sha2::Digest;
use sha2::Sha256;
use snipeyoke_lib::config::Account;
use snipeyoke_lib::config::Change;
use snipeyoke_lib::config::KeyDigest;
use snipeyoke_lib::config::Limits;
use snipeyoke_lib::config::Pipeline;
use snipeyoke_lib::config::Pool;
use snipeyoke_lib::config::Stage;
use snipeyoke_lib::config::StageRole;
use snipeyoke_lib::config::Weights;
use snipeyoke_lib::ids::IdError;
use snipeyoke_lib::units::RequestRate;
use snipeyoke_lib::units::TokenRate;
use snipeyoke_router::settings::PolicyName;
use snipeyoke_standin::settings::EngineSettings;
use snipeyoke_standin::settings::PlainSettings;
use snipeyoke_standin::settings::PlatformSettings;
use snipeyoke_standin::settings::Settings;

/// A deployment to start.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The deployment's name, the first part of every node's name.
    pub name: String,
    /// The region of all its failure domains.
    pub region: String,
    /// The failure domains; nodes are spread over them in turn.
    pub domains: Vec<String>,
    /// The number of routers.
    pub routers: usize,
    /// The policy of the routers.
    pub policy: PolicyName,
    /// The pools of endpoints.
    pub pools: Vec<PoolPlan>,
    /// The platform's stand-in.
    pub platform: PlatformSettings,
    /// The configuration, change by change.
    pub changes: Vec<Change>,
}

/// A pool of endpoints to start.
#[derive(Debug, Clone)]
pub struct PoolPlan {
    /// The pool's name.
    pub name: String,
    /// The number of endpoints.
    pub count: usize,
    /// The calls that an endpoint works on at once.
    pub slots: u32,
    /// The calls that may wait at it.
    pub queue: u32,
    /// The stand-in for each endpoint.
    pub standin: Settings,
    /// The address of an endpoint that runs already, in place of stand-ins.
    pub outside: Option<SocketAddr>,
}

/// Returns the digest under which a key stands in the configuration.
///
/// # Panics
///
/// Panics if SHA-256 has no 64 hexadecimal digits, which would be a bug.
#[must_use]
pub fn key_digest(key: &str) -> KeyDigest {
    let mut text = String::new();
    for byte in Sha256::digest(key.as_bytes()) {
        write!(text, "{byte:02x}").expect("writing to a string does not fail");
    }
    text.parse().expect("a SHA-256 has 64 hexadecimal digits")
}

/// The print shop: long drafts may be slow, cost by stage counts.
#[must_use]
pub fn vestlandsprint() -> Plan {
    let mut changes = common_pools("copyllm");
    changes.push(pool("ordredesk", 0.5, Some("/approve")));
    let draft = chain("copyllm", 10_000, weights(0.3, 2.0));
    changes.push(pipeline("campaign-draft", draft));
    let short = vec![stage("generate", StageRole::Generate, "copyllm")];
    changes.push(pipeline(
        "headline-fix",
        line(3_000, short, weights(1.0, 1.0)),
    ));
    changes.push(pipeline("order-lookup", call("ordredesk", true)));
    changes.push(pipeline("proof-approve", call("ordredesk", false)));
    changes.push(account("dagligvare", "key-dagligvare"));
    changes.push(account("pizzeria", "key-pizzeria"));
    for name in ["dagligvare", "pizzeria"] {
        for kind in [
            "campaign-draft",
            "headline-fix",
            "order-lookup",
            "proof-approve",
        ] {
            changes.push(bind(name, kind));
        }
    }
    Plan {
        name: "vestlandsprint".to_owned(),
        region: "bergen".to_owned(),
        domains: owned(&["hall-a", "hall-b", "hall-c"]),
        routers: 3,
        policy: PolicyName::Predicted,
        pools: pools("copyllm", 3, "ordredesk", 3),
        platform: PlatformSettings::default(),
        changes,
    }
}

/// The rangers' co-operative: attainment counts.
#[must_use]
pub fn sentiercoop() -> Plan {
    let mut changes = common_pools("ranger-llm");
    changes.push(pool("notice-board", 0.5, Some("/notices")));
    let brief = chain("ranger-llm", 3_000, weights(4.0, 0.3));
    changes.push(pipeline("patrol-brief", brief));
    let quick = vec![stage("generate", StageRole::Generate, "ranger-llm")];
    changes.push(pipeline(
        "path-question",
        line(3_000, quick, weights(4.0, 0.3)),
    ));
    changes.push(pipeline("trail-status", call("notice-board", true)));
    changes.push(pipeline("closure-notice", call("notice-board", false)));
    changes.push(account("namur", "key-namur"));
    changes.push(account("arlon", "key-arlon"));
    for name in ["namur", "arlon"] {
        for kind in [
            "patrol-brief",
            "path-question",
            "trail-status",
            "closure-notice",
        ] {
            changes.push(bind(name, kind));
        }
    }
    Plan {
        name: "sentiercoop".to_owned(),
        region: "wallonie-sud".to_owned(),
        domains: owned(&["hall-namur", "hall-marche", "hall-arlon"]),
        routers: 3,
        policy: PolicyName::Predicted,
        pools: pools("ranger-llm", 4, "notice-board", 3),
        platform: PlatformSettings::default(),
        changes,
    }
}

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|&n| n.to_owned()).collect()
}

/// Parses a name that stands in this file.
fn id<T: FromStr<Err = IdError>>(text: &str) -> T {
    text.parse()
        .expect("the names in this file are well-formed")
}

fn common_pools(llm: &str) -> Vec<Change> {
    vec![
        pool("encoders", 0.2, None),
        pool("retrievers", 0.1, None),
        pool("rerankers", 0.4, None),
        pool(llm, 3.0, None),
    ]
}

fn pool(name: &str, price: f64, path: Option<&str>) -> Change {
    let pool = Pool {
        price,
        path: path.map(str::to_owned),
    };
    Change::SetPool {
        name: id(name),
        pool,
    }
}

const fn weights(lateness: f64, cost: f64) -> Weights {
    Weights { lateness, cost }
}

fn stage(name: &str, role: StageRole, pool: &str) -> Stage {
    Stage {
        name: id(name),
        role,
        pool: id(pool),
        model: None,
        idempotent: true,
    }
}

const fn line(deadline_ms: u64, stages: Vec<Stage>, weights: Weights) -> Pipeline {
    Pipeline {
        deadline_ms,
        stages,
        weights,
    }
}

fn chain(llm: &str, deadline_ms: u64, weights: Weights) -> Pipeline {
    let stages = vec![
        stage("encode", StageRole::Encode, "encoders"),
        stage("retrieve", StageRole::Retrieve, "retrievers"),
        stage("rerank", StageRole::Rerank, "rerankers"),
        stage("generate", StageRole::Generate, llm),
    ];
    line(deadline_ms, stages, weights)
}

fn call(pool: &str, idempotent: bool) -> Pipeline {
    let call = Stage {
        idempotent,
        ..stage("call", StageRole::Call, pool)
    };
    line(3_000, vec![call], Weights::default())
}

fn pipeline(name: &str, pipeline: Pipeline) -> Change {
    Change::SetPipeline {
        name: id(name),
        pipeline,
    }
}

fn account(name: &str, key: &str) -> Change {
    let limits = Limits {
        requests: RequestRate(200.0),
        tokens: TokenRate(200_000.0),
        concurrency: 400,
    };
    let account = Account {
        keys: vec![key_digest(key)],
        limits,
        share: 1.0,
    };
    Change::SetAccount {
        name: id(name),
        account,
    }
}

fn bind(name: &str, kind: &str) -> Change {
    Change::Bind {
        account: id(name),
        kind: id(kind),
        pipeline: id(kind),
    }
}

fn pools(llm: &str, engines: usize, desk: &str, desks: usize) -> Vec<PoolPlan> {
    let engine = Settings::Engine(EngineSettings::default());
    let plain = Settings::Plain(PlainSettings::default());
    let pool = |name: &str, count, slots, standin: &Settings| PoolPlan {
        name: name.to_owned(),
        count,
        slots,
        queue: 64,
        standin: standin.clone(),
        outside: None,
    };
    vec![
        pool("encoders", 2, 4, &engine),
        pool("retrievers", 2, 4, &engine),
        pool("rerankers", 2, 4, &engine),
        pool(llm, engines, 16, &engine),
        pool(desk, desks, 4, &plain),
    ]
}
