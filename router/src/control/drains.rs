//! Matches operators' drains against endpoints, hosts and routers.

use snipeyoke_lib::config::Config;
use snipeyoke_lib::config::DrainTarget;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::HostId;
use snipeyoke_lib::query::Facts;

use crate::settings::Raw;

/// Returns whether an operator drains an endpoint, its host or its domain, or
/// evacuates its domain.
pub(crate) fn covers(
    config: &Config,
    endpoint: &EndpointId,
    host: &HostId,
    domain: &FailureDomain,
) -> bool {
    // Fast path: every load report calls this, and drains are rare.
    if config.drains.is_empty() && config.evacuations.is_empty() {
        return false;
    }
    let targets = [
        DrainTarget::Endpoint(endpoint.clone()),
        DrainTarget::Host(host.clone()),
        DrainTarget::Domain(domain.clone()),
    ];
    config.evacuations.contains(domain) || targets.iter().any(|t| config.drains.contains(t))
}

/// Returns whether an operator drains this router, its host or its domain.
pub(crate) fn covers_self(config: &Config, own: &Raw) -> bool {
    let targets = [
        DrainTarget::Router(own.node.clone()),
        DrainTarget::Host(own.host.clone()),
        DrainTarget::Domain(own.domain.clone()),
    ];
    targets.iter().any(|t| config.drains.contains(t))
}

/// Returns whether this router knows the target of a drain.
pub(crate) fn is_known(facts: &dyn Facts, target: &DrainTarget) -> bool {
    let endpoints = facts.endpoints();
    match target {
        DrainTarget::Endpoint(id) => endpoints.iter().any(|e| e.endpoint == *id),
        DrainTarget::Host(id) => {
            endpoints.iter().any(|e| e.host == *id) || facts.nodes().iter().any(|n| n.host == *id)
        }
        DrainTarget::Domain(id) => endpoints.iter().any(|e| e.domain == *id),
        DrainTarget::Router(id) => facts.nodes().iter().any(|n| n.node == *id),
    }
}
