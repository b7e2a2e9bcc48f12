//! The settings of each process of a deployment.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_standin::Settings;

use super::Deployment;
use super::PoolScene;
use super::Scene;

/// An endpoint of a deployment and its place.
#[derive(Debug, Clone, Copy)]
pub(super) struct Place<'a> {
    pub(super) scene: &'a Scene,
    pub(super) pool: &'a PoolScene,
    pub(super) index: usize,
}

impl<'a> Place<'a> {
    /// Returns all endpoints of a deployment, pool by pool.
    pub(super) fn all(deployment: &'a Deployment) -> impl Iterator<Item = Self> {
        let scene = deployment.scene();
        let pools = scene.pools.iter();
        pools.flat_map(move |pool| (0..pool.count).map(move |index| Self { scene, pool, index }))
    }

    /// Returns the endpoint's name.
    pub(super) fn id(&self) -> String {
        format!("{}-{}", self.pool.name, self.index + 1)
    }

    /// Returns the endpoint's failure domain.
    pub(super) fn domain(&self) -> &'a FailureDomain {
        domain(self.scene, self.index)
    }

    /// Returns the settings of the agent beside the endpoint.
    pub(super) fn agent(
        &self,
        listen: SocketAddr,
        endpoint: SocketAddr,
        platform: SocketAddr,
    ) -> Value {
        let id = self.id();
        let kind = match &self.pool.endpoint {
            Settings::Plain(_) => "plain",
            Settings::Engine(_) | Settings::Platform(_) => "engine",
        };
        json!({
            "node": format!("agent-{id}"), "host": format!("host-{id}"),
            "domain": self.domain(), "region": self.scene.region, "listen": listen,
            "endpoint": {
                "id": id, "pool": self.pool.name, "address": endpoint, "kind": kind,
                "slots": self.pool.slots, "queue": self.pool.queue,
            },
            "platform": platform,
        })
    }
}

/// Returns the failure domain of the process with an index.
pub(super) fn domain(scene: &Scene, index: usize) -> &FailureDomain {
    &scene.domains[index % scene.domains.len()]
}

/// The addresses that a router's settings name.
#[derive(Debug, Clone)]
pub(super) struct RouterAddresses {
    pub(super) callers: SocketAddr,
    pub(super) control: SocketAddr,
    pub(super) peers: SocketAddr,
    pub(super) agents: Vec<SocketAddr>,
    pub(super) routers: Vec<SocketAddr>,
    pub(super) platform: SocketAddr,
}

/// Returns the settings of a router.
pub(super) fn router(scene: &Scene, index: usize, policy: &str, at: &RouterAddresses) -> Value {
    json!({
        "node": format!("router-{}", index + 1), "host": format!("entry-{}", index + 1),
        "domain": domain(scene, index), "region": scene.region,
        "listen": {"callers": at.callers, "control": at.control, "peers": at.peers},
        "agents": at.agents, "routers": at.routers, "platform": at.platform,
        "policy": policy,
    })
}
