//! Whether the target of a drain is known.

use snipeyoke_lib::config::DrainTarget;
use snipeyoke_lib::query::Facts;

/// Tells whether this router sees what a drain names.
pub(crate) fn is_seen(facts: &dyn Facts, target: &DrainTarget) -> bool {
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
