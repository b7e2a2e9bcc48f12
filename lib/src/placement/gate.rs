//! The agent's check of the fencing number of orders.

use derive_more::Display;
use derive_more::Error;

use super::order::OrderId;
use crate::ids::FencingNumber;

/// How an order passed the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateOutcome {
    /// Carry it out.
    New,
    /// It was carried out before: only confirm it.
    Repeated,
}

/// The reason why an order is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum GateError {
    /// A newer holder is known.
    #[display("the order carries fence {found}, {highest} is known: claim the lease again")]
    OldFence {
        /// The number on the order.
        found: FencingNumber,
        /// The highest number known.
        highest: FencingNumber,
    },
    /// A later order of the same holder came first.
    #[display("order {found} comes after order {last}: plan again from what is loaded now")]
    OldOrder {
        /// The order.
        found: OrderId,
        /// The last order that passed.
        last: OrderId,
    },
}

impl GateError {
    /// Returns whether a newer holder is known.
    #[must_use]
    pub const fn is_old_fence(&self) -> bool {
        matches!(self, Self::OldFence { .. })
    }
}

/// Lets orders pass in the order of their holders' claims.
///
/// Some engines ignore the number, so the agent, their only gate, checks it. A
/// holder paused past its lease wakes up and sends what it had decided; without
/// the check a model that the new holder loaded would be unloaded again.
#[derive(Debug, Clone, Copy, Default)]
pub struct Gate {
    highest: FencingNumber,
    last: Option<OrderId>,
}

impl Gate {
    /// Returns the highest number known.
    #[must_use]
    pub const fn highest(&self) -> FencingNumber {
        self.highest
    }

    /// Learns of a claim by another way than an order.
    ///
    /// An agent that restarted knows no number. It learns the lease from the
    /// log or from peers before the first order, or an old holder could pass.
    pub fn observe(&mut self, fence: FencingNumber) {
        if fence > self.highest {
            self.highest = fence;
            self.last = None;
        }
    }

    /// Checks an order and remembers it.
    ///
    /// # Errors
    ///
    /// Returns an error for an older holder, or an older order of this one.
    pub fn check(&mut self, fence: FencingNumber, id: OrderId) -> Result<GateOutcome, GateError> {
        if fence < self.highest {
            let highest = self.highest;
            return Err(GateError::OldFence {
                found: fence,
                highest,
            });
        }
        self.observe(fence);
        match self.last {
            Some(last) if id == last => return Ok(GateOutcome::Repeated),
            // Two links may deliver out of order; the later order was planned
            // on more recent reports, so it stands.
            Some(last) if id < last => return Err(GateError::OldOrder { found: id, last }),
            _ => {}
        }
        self.last = Some(id);
        Ok(GateOutcome::New)
    }
}
