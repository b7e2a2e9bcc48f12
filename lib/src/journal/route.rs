//! Conversion of a chain's decisions to journal entries.

use std::time::Duration;

use super::Accepted;
use super::Choice;
use super::Decision;
use super::Journal;
use crate::chain;
use crate::chain::RequestSpec;
use crate::ids::EndpointId;
use crate::time::Time;

impl Accepted {
    /// Extracts the recorded fields from the specification of a request.
    #[must_use]
    pub fn from_spec(now: Time, spec: &RequestSpec, predicted: Option<Duration>) -> Self {
        Self {
            id: spec.request,
            account: spec.account.clone(),
            kind: spec.kind.clone(),
            pipeline: spec.name.clone(),
            deadline: spec.deadline.since(now),
            predicted,
        }
    }
}

const fn choice(endpoint: EndpointId, predicted: Duration) -> Choice {
    Choice {
        endpoint,
        predicted,
        cost: None,
    }
}

impl Journal {
    /// Records a chain's decision, if it sends an attempt.
    pub fn on_chain_decision(&mut self, now: Time, spec: &RequestSpec, decision: &chain::Decision) {
        let chain::Decision::Chosen {
            request,
            stage,
            attempt,
            endpoint,
            why,
            predicted,
            others,
        } = decision
        else {
            return;
        };
        let Some(stage) = spec.pipeline.stages.get(*stage) else {
            return;
        };
        let others = others.iter().flatten();
        let running = self.get(*request).is_some_and(|r| {
            let same_stage = |a: &super::Attempt| a.decision.stage == stage.name && a.end.is_none();
            r.attempts.iter().any(same_stage)
        });
        let decision = Decision {
            stage: stage.name.clone(),
            attempt: *attempt,
            chosen: choice(endpoint.clone(), *predicted),
            others: others
                .map(|o| choice(o.endpoint.clone(), o.predicted))
                .collect(),
            hedge: running,
            why: why.to_string(),
        };
        self.on_decision(now, *request, decision);
    }
}
