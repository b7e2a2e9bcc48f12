//! The planner of the models on a pool's engines.

use std::collections::BTreeMap;
use std::time::Duration;

use super::order::Build;
use super::order::Decision;
use super::order::Order;
use super::order::OrderId;
use super::order::Verb;
use super::order::Why;
use super::rollout::ModelRollout;
use crate::ids::EndpointId;
use crate::ids::FailureDomain;
use crate::ids::FencingNumber;
use crate::ids::ModelName;
use crate::time::Time;
use crate::units::Bytes;

/// The settings of a planner.
#[derive(Debug, Clone, Copy)]
pub struct PlannerSettings {
    /// The target utilization of an engine; above it, copies are added.
    pub target: f64,
    /// How long a surplus must last before a copy is unloaded.
    pub surplus_hold: Duration,
    /// The time after which an order without a reported effect is reissued.
    pub order_timeout: Duration,
    /// The weight store's bandwidth for this pool, in bytes a second.
    pub store_rate: f64,
    /// The bytes that may be loaded in a burst after an idle period.
    pub store_burst: f64,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            target: 0.7,
            surplus_hold: Duration::from_mins(5),
            order_timeout: Duration::from_mins(2),
            store_rate: 1e9,
            store_burst: 64e9,
        }
    }
}

/// The desired state of one model in the pool.
#[derive(Debug, Clone, PartialEq)]
pub struct DesiredModel {
    /// The version to run, which replaces other versions.
    pub version: String,
    /// The adapter to run with, if any.
    pub adapter: Option<String>,
    /// The memory size of one copy.
    pub size: Bytes,
    /// The minimum number of copies, whatever the demand.
    pub min_copies: usize,
}

/// The current demand for one model.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// The demand in engines: 1.0 keeps one engine fully busy.
    pub engines: f64,
}

/// The load state of a build on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadState {
    /// It is being loaded.
    Loading,
    /// It is ready to serve.
    Ready,
}

/// The last reported state of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Its memory for models.
    pub memory: Bytes,
    /// The loaded builds, with their state and memory size.
    pub builds: BTreeMap<Build, (LoadState, Bytes)>,
    /// Whether it accepts orders: reported recently and not draining.
    pub usable: bool,
    /// Its current and desired role, if it has roles.
    pub roles: Option<(String, String)>,
}

impl Engine {
    fn used(&self) -> u64 {
        self.builds.values().map(|b| b.1.0).sum()
    }

    pub(super) fn has_model(&self, model: &ModelName) -> bool {
        self.builds.keys().any(|b| b.model == *model)
    }

    pub(super) fn is_ready(&self, build: &Build) -> bool {
        self.builds
            .get(build)
            .is_some_and(|b| b.0 == LoadState::Ready)
    }

    pub(super) fn fits(&self, size: Bytes) -> bool {
        self.used() + size.0 <= self.memory.0
    }

    pub(super) fn fits_without(&self, build: &Build, size: Bytes) -> bool {
        let freed = self.builds.get(build).map_or(0, |b| b.1.0);
        self.used() - freed + size.0 <= self.memory.0
    }
}

#[derive(Debug, Clone, PartialEq)]
struct Pending {
    verb: Verb,
    size: Bytes,
    ordered_at: Time,
}

/// The planner of one pool, active while the pool's lease is held.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: PlannerSettings,
    fence: Option<FencingNumber>,
    last_id: OrderId,
    pending: BTreeMap<EndpointId, Pending>,
    surplus: BTreeMap<ModelName, Time>,
    store_credit: f64,
    credit_updated: Time,
}

impl Planner {
    /// Builds a planner without a lease.
    #[must_use]
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            fence: None,
            last_id: OrderId::default(),
            pending: BTreeMap::new(),
            surplus: BTreeMap::new(),
            store_credit: settings.store_burst,
            credit_updated: Time::ZERO,
        }
    }

    /// Sets the lease: the holder's fencing number while it is valid.
    ///
    /// The caller passes `None` as soon as the lease can't be proven, as when the
    /// log is unavailable past the lease's term. Then no orders are issued, and
    /// running models keep running.
    pub fn set_lease(&mut self, fence: Option<FencingNumber>) {
        if fence == self.fence {
            return;
        }
        self.fence = fence;
        // Orders and hold times of an earlier claim don't apply to this one.
        self.last_id = OrderId::default();
        self.pending.clear();
        self.surplus.clear();
    }

    /// Runs one planning step and returns a decision for each order and for each
    /// order withheld.
    pub fn plan(
        &mut self,
        now: Time,
        desired: &BTreeMap<ModelName, DesiredModel>,
        demand: &BTreeMap<ModelName, Demand>,
        engines: &BTreeMap<EndpointId, Engine>,
    ) -> Vec<Decision> {
        let Some(fence) = self.fence else {
            return Vec::new();
        };
        self.refill(now);
        self.drop_settled(now, engines);
        let mut projected = self.project(engines);
        let mut out = Vec::new();
        for rollout in self.rollouts_by_shortfall(desired, demand, &projected) {
            self.place_copies(now, fence, &rollout, &mut projected, &mut out);
        }
        self.unload_undesired(now, fence, desired, &mut projected, &mut out);
        self.set_roles(now, fence, &projected, &mut out);
        out
    }

    fn refill(&mut self, now: Time) {
        let earned = now.since(self.credit_updated).as_secs_f64() * self.settings.store_rate;
        self.store_credit = (self.store_credit + earned).min(self.settings.store_burst);
        self.credit_updated = now;
    }

    /// Drops pending orders whose effect was reported or that timed out.
    fn drop_settled(&mut self, now: Time, engines: &BTreeMap<EndpointId, Engine>) {
        let timeout = self.settings.order_timeout;
        self.pending.retain(|endpoint, pending| {
            let Some(engine) = engines.get(endpoint) else {
                return false;
            };
            let done = match &pending.verb {
                Verb::Load(build) => engine.is_ready(build),
                Verb::Unload(build) => !engine.builds.contains_key(build),
                Verb::Role(role) => engine.roles.as_ref().is_none_or(|r| r.0 == *role),
            };
            !done && now.since(pending.ordered_at) < timeout
        });
    }

    /// Returns the engines as they will be once pending orders are executed.
    ///
    /// Reports lag; a plan made from them alone would reissue an order at each
    /// step until its effect is reported.
    fn project(&self, engines: &BTreeMap<EndpointId, Engine>) -> BTreeMap<EndpointId, Engine> {
        let mut projected = engines.clone();
        for (endpoint, pending) in &self.pending {
            if let Some(engine) = projected.get_mut(endpoint) {
                apply(engine, &pending.verb, pending.size);
            }
        }
        projected
    }

    fn rollouts_by_shortfall(
        &self,
        desired: &BTreeMap<ModelName, DesiredModel>,
        demand: &BTreeMap<ModelName, Demand>,
        projected: &BTreeMap<EndpointId, Engine>,
    ) -> Vec<ModelRollout> {
        let mut all: Vec<ModelRollout> = desired
            .iter()
            .map(|(model, desired)| {
                let demand = demand.get(model).copied().unwrap_or_default();
                ModelRollout::new(
                    model,
                    desired,
                    demand.engines,
                    self.settings.target,
                    projected,
                )
            })
            .collect();
        // The store's bandwidth is shared, so the largest shortfall goes first.
        all.sort_by(|a, b| b.shortfall().total_cmp(&a.shortfall()));
        all
    }

    fn place_copies(
        &mut self,
        now: Time,
        fence: FencingNumber,
        rollout: &ModelRollout,
        projected: &mut BTreeMap<EndpointId, Engine>,
        out: &mut Vec<Decision>,
    ) {
        let missing = rollout.missing();
        let mut unplaced = 0;
        for _ in 0..missing {
            let Some(endpoint) = rollout.pick_engine(projected, |e| self.is_free(e)) else {
                unplaced += 1;
                continue;
            };
            if self.store_credit < rollout.size.0 as f64 {
                out.push(rollout.decision(None, Why::StoreRate));
                return;
            }
            self.store_credit -= rollout.size.0 as f64;
            let verb = Verb::Load(rollout.build.clone());
            let order = self.order(now, fence, &endpoint, verb, rollout.size, projected);
            out.push(rollout.decision(Some(order), rollout.why_load()));
        }
        self.unload_one(now, fence, rollout, unplaced, projected, out);
    }

    /// Unloads one replaced or surplus copy without removing needed capacity.
    fn unload_one(
        &mut self,
        now: Time,
        fence: FencingNumber,
        rollout: &ModelRollout,
        unplaced: usize,
        projected: &mut BTreeMap<EndpointId, Engine>,
        out: &mut Vec<Decision>,
    ) {
        let surplus = self.lasting_surplus(now, rollout);
        let candidate = rollout.pick_unload(projected, unplaced > 0, surplus, |e| self.is_free(e));
        let Some((endpoint, build, why)) = candidate else {
            if unplaced > 0 {
                out.push(rollout.decision(None, Why::NoRoom));
            }
            return;
        };
        let order = self.order(
            now,
            fence,
            &endpoint,
            Verb::Unload(build),
            Bytes(0),
            projected,
        );
        out.push(rollout.decision(Some(order), why));
    }

    fn lasting_surplus(&mut self, now: Time, rollout: &ModelRollout) -> bool {
        if !rollout.has_surplus() {
            self.surplus.remove(&rollout.build.model);
            return false;
        }
        let since = *self
            .surplus
            .entry(rollout.build.model.clone())
            .or_insert(now);
        let lasting = now.since(since) >= self.settings.surplus_hold;
        if lasting {
            // Restarts the hold time for the next copy, so that a dip in demand
            // removes one copy, not all.
            self.surplus.insert(rollout.build.model.clone(), now);
        }
        lasting
    }

    fn unload_undesired(
        &mut self,
        now: Time,
        fence: FencingNumber,
        desired: &BTreeMap<ModelName, DesiredModel>,
        projected: &mut BTreeMap<EndpointId, Engine>,
        out: &mut Vec<Decision>,
    ) {
        let undesired: Vec<(EndpointId, Build)> = projected
            .iter()
            .filter(|(endpoint, e)| e.usable && self.is_free(endpoint))
            .filter_map(|(endpoint, e)| {
                let build = e.builds.keys().find(|b| !desired.contains_key(&b.model))?;
                Some((endpoint.clone(), build.clone()))
            })
            .collect();
        for (endpoint, build) in undesired {
            // A holder that has just started may lack the configuration; a
            // briefly missing model must not be unloaded from the whole pool.
            let since = *self.surplus.entry(build.model.clone()).or_insert(now);
            if now.since(since) < self.settings.surplus_hold {
                continue;
            }
            let verb = Verb::Unload(build.clone());
            let order = self.order(now, fence, &endpoint, verb, Bytes(0), projected);
            out.push(Decision {
                order: Some(order),
                build: Some(build),
                why: Why::Unwished,
                ready: 0,
                wanted: 0,
            });
        }
    }

    fn set_roles(
        &mut self,
        now: Time,
        fence: FencingNumber,
        projected: &BTreeMap<EndpointId, Engine>,
        out: &mut Vec<Decision>,
    ) {
        let mut projected = projected.clone();
        let differs = |e: &Engine| e.roles.as_ref().filter(|r| r.0 != r.1).map(|r| r.1.clone());
        let changes: Vec<(EndpointId, String)> = projected
            .iter()
            .filter(|(endpoint, e)| e.usable && self.is_free(endpoint))
            .filter_map(|(endpoint, e)| Some((endpoint.clone(), differs(e)?)))
            .collect();
        for (endpoint, role) in changes {
            let verb = Verb::Role(role);
            let order = self.order(now, fence, &endpoint, verb, Bytes(0), &mut projected);
            out.push(Decision {
                order: Some(order),
                build: None,
                why: Why::Role,
                ready: 0,
                wanted: 0,
            });
        }
    }

    /// Returns whether the endpoint has no pending order.
    fn is_free(&self, endpoint: &EndpointId) -> bool {
        !self.pending.contains_key(endpoint)
    }

    fn order(
        &mut self,
        now: Time,
        fence: FencingNumber,
        endpoint: &EndpointId,
        verb: Verb,
        size: Bytes,
        projected: &mut BTreeMap<EndpointId, Engine>,
    ) -> Order {
        self.last_id = OrderId(self.last_id.0 + 1);
        if let Some(engine) = projected.get_mut(endpoint) {
            apply(engine, &verb, size);
        }
        let pending = Pending {
            verb: verb.clone(),
            size,
            ordered_at: now,
        };
        self.pending.insert(endpoint.clone(), pending);
        Order {
            id: self.last_id,
            fence,
            endpoint: endpoint.clone(),
            verb,
        }
    }
}

fn apply(engine: &mut Engine, verb: &Verb, size: Bytes) {
    match verb {
        Verb::Load(build) => {
            engine
                .builds
                .entry(build.clone())
                .or_insert((LoadState::Loading, size));
        }
        Verb::Unload(build) => {
            engine.builds.remove(build);
        }
        Verb::Role(role) => {
            if let Some(roles) = &mut engine.roles {
                roles.0.clone_from(role);
            }
        }
    }
}
