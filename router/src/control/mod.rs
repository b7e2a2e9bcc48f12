//! The operators' control port: questions, changes, stops.

mod auth;
mod changes;
pub(crate) mod drains;
mod facts;
mod peers;
mod port;
mod records;
mod sight;
mod waiters;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use snipeyoke_lib::config::Applied;
use snipeyoke_lib::config::Fold;
use snipeyoke_lib::query::History;

pub(crate) use self::peers::Peers;
pub(crate) use self::port::Port;
pub(crate) use self::records::Records;
pub(crate) use self::sight::Sight;
pub(crate) use self::waiters::Waiters;

/// What the control port knows beside the blackboard.
#[derive(Debug, Default)]
pub(crate) struct Control {
    /// The requests of this router.
    pub(crate) records: Records,
    /// The endpoints that it sees.
    pub(crate) sight: Sight,
    /// The hosts and other routers.
    pub(crate) peers: Peers,
    /// The operators who wait for a change to be read back.
    pub(crate) waiters: Waiters,
    history: Mutex<History>,
}

impl Control {
    /// Remembers what a record did to the configuration.
    pub(crate) fn on_applied(&self, applied: &Applied, fold: &Fold) {
        metrics::gauge!("snipeyoke_config_revision").set(fold.revision().0 as f64);
        let mut history = self.history();
        match applied {
            Applied::Accepted { .. } => {
                if let Some(winner) = fold.accepted_changes().last() {
                    history.on_change(winner.clone());
                }
            }
            Applied::Restored { .. } => *history = History::new(fold.revision(), fold.config()),
            _ => {}
        }
    }

    /// Locks the earlier configurations.
    pub(crate) fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
