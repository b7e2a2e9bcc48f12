//! Evacuations: failure domains whose endpoints get no calls.
//!
//! An operator evacuates a failure domain before work on it and restores it
//! afterwards. Calls in flight end as usual.

use std::collections::BTreeMap;

use crate::ids::FailureDomain;
use crate::time::Time;

#[derive(Debug, Clone, Copy, Default)]
struct DomainState {
    evacuated: bool,
    /// Whether no call was sent since the evacuation ended.
    awaits_call: bool,
    last_call: Option<Time>,
}

/// The state of all failure domains that were ever called or evacuated.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    domains: BTreeMap<FailureDomain, DomainState>,
}

impl Evacuations {
    /// Begins an evacuation. Returns whether the domain was not evacuated.
    pub fn begin(&mut self, domain: &FailureDomain) -> bool {
        let state = self.domains.entry(domain.clone()).or_default();
        !std::mem::replace(&mut state.evacuated, true)
    }

    /// Ends an evacuation. Returns whether the domain was evacuated.
    pub fn end(&mut self, domain: &FailureDomain) -> bool {
        let Some(state) = self.domains.get_mut(domain) else {
            return false;
        };
        state.awaits_call |= state.evacuated;
        std::mem::take(&mut state.evacuated)
    }

    /// Returns whether a domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &FailureDomain) -> bool {
        self.domains.get(domain).is_some_and(|d| d.evacuated)
    }

    /// Returns the evacuated domains.
    pub fn iter(&self) -> impl Iterator<Item = &FailureDomain> {
        let evacuated = self.domains.iter().filter(|(_, d)| d.evacuated);
        evacuated.map(|(domain, _)| domain)
    }

    /// Records a call to an endpoint of a domain. Returns whether it is the
    /// first one since an evacuation ended.
    pub fn record_call(&mut self, now: Time, domain: &FailureDomain) -> bool {
        if !self.domains.contains_key(domain) {
            self.domains.insert(domain.clone(), DomainState::default());
        }
        let Some(state) = self.domains.get_mut(domain) else {
            unreachable!("the domain was just inserted");
        };
        state.last_call = Some(now);
        std::mem::take(&mut state.awaits_call)
    }

    /// Returns when this node last called an endpoint of a domain.
    #[must_use]
    pub fn last_call(&self, domain: &FailureDomain) -> Option<Time> {
        self.domains.get(domain)?.last_call
    }
}
