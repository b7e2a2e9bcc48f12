//! The endpoints, as given in their agents' hello and last report.

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

/// The age up to which a report counts as fresh, as in routing.
const FRESH_AGE_MAX: Duration = Duration::from_secs(3);

/// The state of each endpoint; endpoints that left stay until replaced.
#[derive(Debug, Default)]
pub(crate) struct Endpoints {
    known: Mutex<BTreeMap<EndpointId, EndpointState>>,
}

#[derive(Debug)]
struct EndpointState {
    hello: Hello,
    reported_at: Time,
    linked: bool,
    revision: u64,
    load: LoadReport,
}

impl Endpoints {
    /// Adds the endpoint of an agent that sent its hello.
    pub(crate) fn add(&self, now: Time, endpoint: EndpointId, hello: Hello) {
        let known = EndpointState {
            hello,
            reported_at: now,
            linked: true,
            revision: 0,
            load: LoadReport::default(),
        };
        self.lock().insert(endpoint, known);
    }

    /// Records a load report and the configuration revision of the agent.
    pub(crate) fn on_report(
        &self,
        now: Time,
        endpoint: &EndpointId,
        load: Option<LoadReport>,
        revision: u64,
    ) {
        if let Some(known) = self.lock().get_mut(endpoint) {
            known.reported_at = now;
            known.revision = revision;
            known.load = load.unwrap_or_else(|| known.load.clone());
        }
    }

    /// Records that the link to an agent is closed.
    pub(crate) fn mark_unlinked(&self, endpoint: &EndpointId) {
        if let Some(known) = self.lock().get_mut(endpoint) {
            known.linked = false;
        }
    }

    /// Returns the endpoints, sorted by name.
    pub(crate) fn endpoints(&self, now: Time, config: &Config) -> Vec<EndpointFact> {
        let known = self.lock();
        let facts = known
            .iter()
            .filter_map(|(id, s)| s.endpoint(id, now, config));
        facts.collect()
    }

    /// Returns the agents, sorted by the names of their endpoints.
    pub(crate) fn agents(&self, now: Time) -> Vec<NodeFact> {
        self.lock().values().filter_map(|s| s.node(now)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<EndpointId, EndpointState>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl EndpointState {
    fn report_age(&self, now: Time) -> Duration {
        now.since(self.reported_at) + self.load.age
    }

    fn is_fresh(&self, now: Time) -> bool {
        self.linked && self.report_age(now) <= FRESH_AGE_MAX
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
            limit: None,
            rest: None,
            leave_age: None,
            speed: None,
            contention: None,
            version: None,
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
            report_age: now.since(self.reported_at),
            fresh: self.is_fresh(now),
            draining: self.load.draining,
            era: None,
            returned: None,
        })
    }
}
