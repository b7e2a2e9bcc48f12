//! The facts of this router, as read by the query language.

use std::time::Duration;

use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::ids::Revision;
use snipeyoke_lib::journal::Request;
use snipeyoke_lib::query::ChangeFact;
use snipeyoke_lib::query::ConfigFact;
use snipeyoke_lib::query::EndpointFact;
use snipeyoke_lib::query::FactError;
use snipeyoke_lib::query::Facts;
use snipeyoke_lib::query::HostFact;
use snipeyoke_lib::query::LeaseFact;
use snipeyoke_lib::query::NodeFact;
use snipeyoke_lib::query::QuarantineFact;
use snipeyoke_lib::time::Time;

use crate::node::Node;

/// The facts of a router.
#[derive(Debug)]
pub(crate) struct NodeFacts<'a>(pub(crate) &'a Node);

impl Facts for NodeFacts<'_> {
    fn now(&self) -> Time {
        self.0.clock.now()
    }

    fn requests(&self, visit: &mut dyn FnMut(&Request)) {
        self.0.control.records.for_each(visit);
    }

    fn request(&self, id: RequestId) -> Option<Request> {
        self.0.control.records.get(id)
    }

    fn config(&self, at: Option<Revision>) -> Result<ConfigFact, FactError> {
        let in_force = self.0.board.config.get();
        if at.is_none_or(|wanted| wanted == in_force.revision) {
            return Ok(ConfigFact {
                revision: in_force.revision,
                config: std::sync::Arc::clone(&in_force.config),
            });
        }
        self.0.control.history().config_at(at)
    }

    fn active_requests(&self, account: &ClientAccount) -> u32 {
        self.0.control.records.active(account)
    }

    fn endpoints(&self) -> Vec<EndpointFact> {
        let config = &self.0.board.config.get().config;
        self.0.control.endpoints.endpoints(self.now(), config)
    }

    fn hosts(&self) -> Result<Vec<HostFact>, FactError> {
        let config = &self.0.board.config.get().config;
        let hosts = self.0.control.peers.hosts(config);
        hosts.ok_or(FactError::NotKept {
            what: "the host list",
            remedy: "it was never read: check the platform, or run 'show nodes'",
        })
    }

    fn nodes(&self) -> Vec<NodeFact> {
        let mut nodes = vec![own(self.0)];
        nodes.extend(self.0.control.peers.routers(self.now()));
        nodes.extend(self.0.control.endpoints.agents(self.now()));
        nodes
    }

    fn leases(&self) -> Result<Vec<LeaseFact>, FactError> {
        Err(FactError::NotKept {
            what: "leases",
            remedy: "search the agents' logs for slots-owned",
        })
    }

    fn quarantines(&self) -> Result<Vec<QuarantineFact>, FactError> {
        Err(FactError::NotKept {
            what: "quarantines",
            remedy: "gateways keep them; ask one at its metrics port",
        })
    }

    fn changes(&self) -> Vec<ChangeFact> {
        self.0.control.history().changes()
    }
}

fn own(node: &Node) -> NodeFact {
    let own = &node.settings;
    NodeFact {
        node: own.node.clone(),
        kind: "router".to_owned(),
        host: own.host.clone(),
        domain: own.domain.clone(),
        address: own.listen.control.to_string(),
        revision: Some(node.board.config.get().revision),
        report_age: Duration::ZERO,
        fresh: true,
        draining: node.board.drain.is_set(),
        era: None,
        returned: None,
    }
}
