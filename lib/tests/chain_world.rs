//! A driver for chains in virtual time, shared by the chain tests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use snipeyoke_lib::chain::Action;
use snipeyoke_lib::chain::Chain;
use snipeyoke_lib::chain::Event;
use snipeyoke_lib::chain::Prompt;
use snipeyoke_lib::chain::RequestSpec;
use snipeyoke_lib::chain::Shared;
use snipeyoke_lib::config::Pipeline;
use snipeyoke_lib::config::Stage;
use snipeyoke_lib::config::StageRole;
use snipeyoke_lib::config::Weights;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::Incarnation;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::routing::LoadReport;
use snipeyoke_lib::routing::PolicyKind;
use snipeyoke_lib::routing::RouterLocation;
use snipeyoke_lib::time::Time;
use snipeyoke_lib::units::Tokens;
use uuid::Uuid;

/// A router's shared state, with load reports that repeat as time advances.
#[derive(Debug)]
pub struct World {
    pub shared: Shared,
    pub now: Time,
    pub reports: BTreeMap<EndpointId, LoadReport>,
}

impl World {
    pub fn new(policy: PolicyKind, seed: u64) -> Self {
        let home = RouterLocation {
            domain: "a".parse().expect("a name"),
            region: "r".parse().expect("a name"),
        };
        Self {
            shared: Shared::new(home, policy.build(), seed),
            now: Time::from_millis(1_000),
            reports: BTreeMap::new(),
        }
    }

    pub fn add(&mut self, id: &str, pool: &str, domain: &str, report: LoadReport) {
        let endpoint: EndpointId = id.parse().expect("a name");
        self.shared.fleet.upsert(
            endpoint.clone(),
            pool.parse().expect("a name"),
            &domain.parse().expect("a name"),
            &"r".parse().expect("a name"),
            Incarnation(1),
        );
        self.shared.fleet.on_load(self.now, &endpoint, &report);
        self.reports.insert(endpoint, report);
    }

    /// Advances the time; every endpoint with a report sends it again.
    pub fn advance(&mut self, to: Time) {
        self.now = self.now.max(to);
        for (endpoint, report) in &mut self.reports {
            report.seq += 1;
            self.shared.fleet.on_load(self.now, endpoint, report);
        }
    }

    pub fn feed(&mut self, chain: &mut Chain, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        chain.on_event(self.now, event, &mut self.shared, &mut out);
        out
    }
}

/// Parses a stage from `role.pool`; the role `once` is a non-idempotent call.
pub fn stage(text: &str) -> Stage {
    let (role, pool) = text.split_once('.').expect("role.pool");
    let idempotent = role != "once";
    let role = if idempotent { role } else { "call" };
    Stage {
        name: format!("{role}-{pool}").parse().expect("a name"),
        role: role.parse::<StageRole>().expect("a role"),
        pool: pool.parse().expect("a name"),
        model: None,
        idempotent,
    }
}

pub fn spec(now: Time, stages: &[String], deadline_ms: u64) -> RequestSpec {
    let pipeline = Pipeline {
        deadline_ms,
        stages: stages.iter().map(|s| stage(s)).collect(),
        weights: Weights::default(),
    };
    RequestSpec {
        request: RequestId(Uuid::nil()),
        account: "acme".parse().expect("a name"),
        kind: "ask".parse().expect("a name"),
        name: "p".parse().expect("a name"),
        deadline: now + Duration::from_millis(deadline_ms),
        pipeline: Arc::new(pipeline),
        prompt: Prompt {
            prefix: Vec::new(),
            tokens: Tokens(640),
            max_output: Tokens(100),
        },
        stream: false,
        slot_owner: None,
    }
}
