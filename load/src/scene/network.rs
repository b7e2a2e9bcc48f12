//! The network between failure domains.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_executor::Executor;
use futures_util::future::join_all;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_standin::Wire;

/// Wires between processes in different failure domains.
#[derive(Debug)]
pub(super) struct Network {
    distance: Duration,
    stretches: Vec<Stretch>,
}

#[derive(Debug)]
struct Stretch {
    from: FailureDomain,
    to: FailureDomain,
    wire: Wire,
}

impl Network {
    /// Builds a network where two domains are `distance` apart, one way.
    pub(super) const fn new(distance: Duration) -> Self {
        Self {
            distance,
            stretches: Vec::new(),
        }
    }

    /// Returns the address under which a process in one domain reaches another's.
    pub(super) fn link(
        &mut self,
        exec: &Executor<'_>,
        from: &FailureDomain,
        to: &FailureDomain,
        target: SocketAddr,
    ) -> io::Result<SocketAddr> {
        if from == to {
            return Ok(target);
        }
        let wire = Wire::start(exec, target, self.distance)?;
        let address = wire.address();
        self.stretches.push(Stretch {
            from: from.clone(),
            to: to.clone(),
            wire,
        });
        Ok(address)
    }

    /// Begins or ends a partition of one domain from all others.
    pub(super) fn cut(&self, domain: &FailureDomain, cut: bool) {
        let at = self.stretches.iter();
        for stretch in at.filter(|s| s.from == *domain || s.to == *domain) {
            stretch.wire.cut(cut);
        }
    }

    /// Stops all wires.
    pub(super) async fn stop(self) {
        join_all(self.stretches.into_iter().map(|s| s.wire.stop())).await;
    }
}
