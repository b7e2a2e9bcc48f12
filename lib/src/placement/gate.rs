//! The agent's check of the fencing numbers of orders.

use derive_more::Display;
use derive_more::Error;

use super::order::OrderId;
use crate::ids::FencingNumber;

/// The result of the check for an accepted order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateOutcome {
    /// The order is new and must be executed.
    New,
    /// The order was executed before and only needs confirmation.
    Repeated,
}

/// The reason why an order was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum GateError {
    /// A newer lease holder is known.
    #[display("the order carries fence {found}, {highest} is known: claim the lease again")]
    OldFence {
        /// The fencing number of the order.
        found: FencingNumber,
        /// The highest known fencing number.
        highest: FencingNumber,
    },
    /// A later order of the same holder was received first.
    #[display("order {found} comes after order {last}: plan again from what is loaded now")]
    OldOrder {
        /// The order.
        found: OrderId,
        /// The last accepted order.
        last: OrderId,
    },
}

impl GateError {
    /// Returns whether a newer lease holder is known.
    #[must_use]
    pub const fn is_old_fence(&self) -> bool {
        matches!(self, Self::OldFence { .. })
    }
}

/// Accepts orders only with non-decreasing fencing numbers.
///
/// The agent checks the number because some engines ignore it. A holder that was
/// paused past the end of its lease may still send orders; without the check it
/// could unload a model that the new holder loaded.
#[derive(Debug, Clone, Copy, Default)]
pub struct Gate {
    highest: FencingNumber,
    last: Option<OrderId>,
}

impl Gate {
    /// Returns the highest known fencing number.
    #[must_use]
    pub const fn highest(&self) -> FencingNumber {
        self.highest
    }

    /// Records a lease claim seen elsewhere than in an order.
    ///
    /// A restarted agent knows no fencing number. It reads the lease from the log
    /// or peers before the first order; otherwise it would accept an old holder.
    pub fn observe(&mut self, fence: FencingNumber) {
        if fence > self.highest {
            self.highest = fence;
            self.last = None;
        }
    }

    /// Checks an order and records it as the last one.
    ///
    /// # Errors
    ///
    /// Returns an error for an older holder or an older order of the same holder.
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
            // from more recent reports and takes precedence.
            Some(last) if id < last => return Err(GateError::OldOrder { found: id, last }),
            _ => {}
        }
        self.last = Some(id);
        Ok(GateOutcome::New)
    }
}
