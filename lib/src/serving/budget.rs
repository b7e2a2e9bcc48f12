//! A retry budget that holds over the sum of all nodes.
//!
//! The bound is on a service's repeats in a sliding window, as a share of the
//! requests for it plus a fixed slack. A node spends the share that its own
//! requests earn and its part of the slack, so no messages are needed.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::PoolName;
use crate::time::Time;

/// The part of the bound that is spent.
///
/// Windows of the nodes and of the bound don't begin together, and a node that
/// left takes its requests with it; a tenth covers both.
const SPENT: f64 = 0.9;

/// The part of the slack that is spent.
///
/// A node that has not met all others yet counts too few of them; with a fifth
/// kept back, one in five may be missing.
const SLACK_SPENT: f64 = 0.8;

/// The bound on repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Repeats for each request.
    pub ratio: f64,
    /// The window that the bound holds in.
    pub window: Duration,
    /// Repeats beyond the ratio, over all nodes.
    pub extra: f64,
}

#[derive(Debug, Clone, Default)]
struct Window {
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl Window {
    fn trim(&mut self, from: Time) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|&t| t < from) {
                times.pop_front();
            }
        }
    }
}

/// The budget of one node.
#[derive(Debug, Clone)]
pub struct SharedBudget {
    limits: BudgetLimits,
    nodes: usize,
    windows: BTreeMap<PoolName, Window>,
}

impl SharedBudget {
    /// Starts with a full budget.
    #[must_use]
    pub const fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            nodes: 1,
            windows: BTreeMap::new(),
        }
    }

    /// Sets the bound.
    pub const fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Notes how many nodes share the slack, this one included.
    pub const fn set_nodes(&mut self, nodes: usize) {
        self.nodes = if nodes == 0 { 1 } else { nodes };
    }

    /// Notes a request for a service.
    pub fn record_request(&mut self, now: Time, service: &PoolName) {
        let from = now - self.limits.window;
        let window = self.window(service);
        window.trim(from);
        window.requests.push_back(now);
    }

    /// Takes one repeat out, if there is one.
    pub fn try_spend(&mut self, now: Time, service: &PoolName) -> bool {
        let from = now - self.limits.window;
        let extra = SLACK_SPENT * self.limits.extra / self.nodes as f64;
        let ratio = SPENT * self.limits.ratio;
        let window = self.window(service);
        window.trim(from);
        let allowed = ratio * window.requests.len() as f64 + extra;
        if window.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.repeats.push_back(now);
        true
    }

    fn window(&mut self, service: &PoolName) -> &mut Window {
        if !self.windows.contains_key(service) {
            self.windows.insert(service.clone(), Window::default());
        }
        let Some(window) = self.windows.get_mut(service) else {
            unreachable!("the window was just made");
        };
        window
    }
}
