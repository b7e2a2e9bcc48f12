//! The other routers and the hosts of the host list.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use snipeyoke_lib::config::Config;
use snipeyoke_lib::config::DrainTarget;
use snipeyoke_lib::ids::HostId;
use snipeyoke_lib::ids::NodeId;
use snipeyoke_lib::membership::ListedNode;
use snipeyoke_lib::membership::NodeKind;
use snipeyoke_lib::membership::PeerState;
use snipeyoke_lib::membership::Profile;
use snipeyoke_lib::query::HostFact;
use snipeyoke_lib::query::NodeFact;
use snipeyoke_lib::time::Time;

/// The known hosts and other routers.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    known: Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    // `None` until the host list is first read.
    hosts: Option<BTreeMap<HostId, HostFact>>,
    routers: BTreeMap<NodeId, (Profile, PeerState, Time)>,
}

impl Peers {
    /// Replaces the hosts by those of a new host list.
    pub(crate) fn set_hosts(&self, list: &[ListedNode]) {
        let fact = |listed: &ListedNode| {
            let profile = &listed.profile;
            let state = if listed.leaving { "leaving" } else { "live" };
            let fact = HostFact {
                host: profile.host.clone(),
                domain: profile.domain.clone(),
                region: profile.region.clone(),
                state: state.to_owned(),
                draining: false,
            };
            (profile.host.clone(), fact)
        };
        self.lock().hosts = Some(list.iter().map(fact).collect());
    }

    /// Records a router's state in the membership view.
    pub(crate) fn set_state(&self, now: Time, profile: &Profile, state: PeerState) {
        if profile.kind == NodeKind::Router {
            let entry = (profile.clone(), state, now);
            self.lock().routers.insert(profile.node.clone(), entry);
        }
    }

    /// Returns the hosts, if the list was ever read.
    pub(crate) fn hosts(&self, config: &Config) -> Option<Vec<HostFact>> {
        let mut hosts: Vec<_> = self.lock().hosts.as_ref()?.values().cloned().collect();
        for host in &mut hosts {
            let targets = [
                DrainTarget::Host(host.host.clone()),
                DrainTarget::Domain(host.domain.clone()),
            ];
            host.draining = targets.iter().any(|t| config.drains.contains(t));
        }
        Some(hosts)
    }

    /// Returns the other routers; `report_age` is the age of their current state.
    pub(crate) fn routers(&self, now: Time) -> Vec<NodeFact> {
        let fact = |(profile, state, since): &(Profile, PeerState, Time)| NodeFact {
            node: profile.node.clone(),
            kind: "router".to_owned(),
            host: profile.host.clone(),
            domain: profile.domain.clone(),
            address: profile.address.to_string(),
            revision: None,
            report_age: now.since(*since),
            fresh: *state == PeerState::Alive,
            draining: false,
            era: None,
            returned: None,
        };
        self.lock().routers.values().map(fact).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
