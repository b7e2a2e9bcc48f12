//! The operators' control port: queries, changes and stops.

mod auth;
mod changes;
pub(crate) mod drains;
mod endpoints;
mod facts;
mod peers;
mod port;
mod records;
mod waiters;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use snipeyoke_lib::config::Applied;
use snipeyoke_lib::config::Fold;
use snipeyoke_lib::query::History;

pub(crate) use self::endpoints::Endpoints;
pub(crate) use self::peers::Peers;
pub(crate) use self::port::ControlPort;
pub(crate) use self::records::Records;
pub(crate) use self::waiters::Waiters;

/// The state of the control port beyond the board.
#[derive(Debug, Default)]
pub(crate) struct Control {
    /// The requests of this router.
    pub(crate) records: Records,
    /// The endpoints known to this router.
    pub(crate) endpoints: Endpoints,
    /// The known hosts and other routers.
    pub(crate) peers: Peers,
    /// The operators waiting for a change to be read back.
    pub(crate) waiters: Waiters,
    history: Mutex<History>,
}

impl Control {
    /// Adds the effect of a record to the history.
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

    /// Locks the history of configurations.
    pub(crate) fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
