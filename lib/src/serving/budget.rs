//! A retry budget that holds for all nodes together.
//!
//! It limits a service's retries in a sliding window to a ratio of its requests plus a fixed
//! slack. Each node spends the ratio of its own requests and an equal fraction of the slack, so
//! nodes need not exchange messages.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::PoolName;
use crate::time::Time;

/// The fraction of the ratio that nodes spend.
///
/// The windows of nodes aren't aligned, and a node that left takes its requests with it; a tenth
/// covers both.
const BOUND_FRACTION: f64 = 0.9;

/// The fraction of the slack that nodes spend.
///
/// A new node doesn't know all others yet and counts too few; with a fifth in reserve, one in
/// five may be missing.
const SLACK_FRACTION: f64 = 0.8;

/// The limit on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries per request.
    pub ratio: f64,
    /// The length of the sliding window.
    pub window: Duration,
    /// Retries beyond the ratio per window, for all nodes together.
    pub extra: f64,
}

#[derive(Debug, Clone, Default)]
struct Window {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl Window {
    fn trim(&mut self, from: Time) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|&t| t < from) {
                times.pop_front();
            }
        }
    }
}

/// One node's fraction of the retry budget.
#[derive(Debug, Clone)]
pub struct SharedBudget {
    limits: BudgetLimits,
    nodes: usize,
    windows: BTreeMap<PoolName, Window>,
}

impl SharedBudget {
    /// Creates a full budget of a single node.
    #[must_use]
    pub const fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            nodes: 1,
            windows: BTreeMap::new(),
        }
    }

    /// Sets the limit.
    pub const fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Sets the number of nodes that divide the slack, this one included.
    pub const fn set_nodes(&mut self, nodes: usize) {
        self.nodes = if nodes == 0 { 1 } else { nodes };
    }

    /// Records a request for a service.
    pub fn record_request(&mut self, now: Time, service: &PoolName) {
        let from = now - self.limits.window;
        let window = self.window(service);
        window.trim(from);
        window.requests.push_back(now);
    }

    /// Spends one retry and returns whether the budget allowed it.
    pub fn try_spend(&mut self, now: Time, service: &PoolName) -> bool {
        let from = now - self.limits.window;
        let slack = SLACK_FRACTION * self.limits.extra / self.nodes as f64;
        let ratio = BOUND_FRACTION * self.limits.ratio;
        let window = self.window(service);
        window.trim(from);
        let allowed = ratio * window.requests.len() as f64 + slack;
        if window.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.retries.push_back(now);
        true
    }

    fn window(&mut self, service: &PoolName) -> &mut Window {
        if !self.windows.contains_key(service) {
            self.windows.insert(service.clone(), Window::default());
        }
        let Some(window) = self.windows.get_mut(service) else {
            unreachable!("the window was just inserted");
        };
        window
    }
}
