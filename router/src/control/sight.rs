//! The endpoints as their agents introduced them and last reported.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use snipeyoke_lib::config::Config;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::query::EndpointFact;
use snipeyoke_lib::query::NodeFact;
use snipeyoke_lib::routing::LoadReport;
use snipeyoke_lib::time::Time;
use snipeyoke_wire::Hello;

use super::drains;

/// The age up to which a report counts as fresh, as in the choice of endpoints.
const FRESH: Duration = Duration::from_secs(3);

/// What is known of each endpoint; those that left stay until replaced.
#[derive(Debug, Default)]
pub(crate) struct Sight {
    seen: Mutex<BTreeMap<EndpointId, Seen>>,
}

#[derive(Debug)]
struct Seen {
    hello: Hello,
    heard: Time,
    linked: bool,
    revision: u64,
    load: LoadReport,
}

impl Sight {
    /// Notes an agent that introduced itself.
    pub(crate) fn join(&self, now: Time, endpoint: EndpointId, hello: Hello) {
        let seen = Seen {
            hello,
            heard: now,
            linked: true,
            revision: 0,
            load: LoadReport::default(),
        };
        self.lock().insert(endpoint, seen);
    }

    /// Notes a report, with the revision in force at the agent.
    pub(crate) fn report(
        &self,
        now: Time,
        endpoint: &EndpointId,
        load: Option<LoadReport>,
        revision: u64,
    ) {
        if let Some(seen) = self.lock().get_mut(endpoint) {
            seen.heard = now;
            seen.revision = revision;
            seen.load = load.unwrap_or_else(|| seen.load.clone());
        }
    }

    /// Notes that the link to an agent is gone.
    pub(crate) fn part(&self, endpoint: &EndpointId) {
        if let Some(seen) = self.lock().get_mut(endpoint) {
            seen.linked = false;
        }
    }

    /// Returns the endpoints, in the order of their names.
    pub(crate) fn endpoints(&self, now: Time, config: &Config) -> Vec<EndpointFact> {
        let seen = self.lock();
        let facts = seen
            .iter()
            .filter_map(|(id, s)| s.endpoint(id, now, config));
        facts.collect()
    }

    /// Returns the agents, in the order of their endpoints' names.
    pub(crate) fn agents(&self, now: Time) -> Vec<NodeFact> {
        self.lock().values().filter_map(|s| s.node(now)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<EndpointId, Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Seen {
    fn report_age(&self, now: Time) -> Duration {
        now.since(self.heard) + self.load.age
    }

    fn is_fresh(&self, now: Time) -> bool {
        self.linked && self.report_age(now) <= FRESH
    }

    fn endpoint(&self, id: &EndpointId, now: Time, config: &Config) -> Option<EndpointFact> {
        let hello = &self.hello;
        let mut fact = EndpointFact {
            endpoint: id.clone(),
            pool: hello.pool.parse().ok()?,
            host: hello.host.parse().ok()?,
            domain: hello.domain.parse().ok()?,
            region: hello.region.parse().ok()?,
            active: self.load.active,
            queued: self.load.queued,
            slots: self.load.slots,
            pending: self.load.pending,
            report_age: self.report_age(now),
            fresh: self.is_fresh(now),
            healthy: self.load.healthy,
            draining: self.load.draining,
            models: self.load.models.clone(),
        };
        fact.draining |= drains::covers(config, id, &fact.host, &fact.domain);
        Some(fact)
    }

    fn node(&self, now: Time) -> Option<NodeFact> {
        let hello = &self.hello;
        Some(NodeFact {
            node: hello.node.parse().ok()?,
            kind: "agent".to_owned(),
            host: hello.host.parse().ok()?,
            domain: hello.domain.parse().ok()?,
            address: hello.address.clone(),
            revision: (self.revision > 0).then_some(snipeyoke_lib::ids::Revision(self.revision)),
            report_age: now.since(self.heard),
            fresh: self.is_fresh(now),
            draining: self.load.draining,
        })
    }
}
