//! Earlier configurations, within a bound.

use std::collections::VecDeque;
use std::sync::Arc;

use super::facts::ChangeFact;
use super::facts::ConfigFact;
use super::facts::FactError;
use crate::config::Change;
use crate::config::Config;
use crate::config::Winner;
use crate::ids::Revision;

/// The changes remembered: with 380 a day, more than half a day.
pub const CHANGES_MAX: usize = 256;

/// The oldest configuration remembered, and the changes made on it since.
///
/// A configuration of 7,600 accounts takes megabytes, so only one is kept
/// whole; a later one is made of it by its changes when somebody asks.
#[derive(Debug, Clone)]
pub struct History {
    base: ConfigFact,
    changes: VecDeque<Winner>,
}

impl Default for History {
    fn default() -> Self {
        Self::new(Revision(0), Arc::default())
    }
}

impl History {
    /// Starts from a configuration, before which nothing is known.
    #[must_use]
    pub const fn new(revision: Revision, config: Arc<Config>) -> Self {
        let base = ConfigFact { revision, config };
        Self {
            base,
            changes: VecDeque::new(),
        }
    }

    /// Returns the newest revision.
    #[must_use]
    pub fn newest_revision(&self) -> Revision {
        self.changes
            .back()
            .map_or(self.base.revision, |w| w.revision)
    }

    /// Takes in an accepted change.
    ///
    /// A change that does not follow the newest revision is ignored; call
    /// [`History::new`] after a snapshot took the state over.
    pub fn on_change(&mut self, winner: Winner) {
        if winner.revision != self.newest_revision().next() {
            return;
        }
        self.changes.push_back(winner);
        if self.changes.len() <= CHANGES_MAX {
            return;
        }
        if let Some(oldest) = self.changes.pop_front() {
            let config = apply_or_keep(&self.base.config, &oldest.change);
            self.base = ConfigFact {
                revision: oldest.revision,
                config,
            };
        }
    }

    /// Returns the configuration at a revision, the newest if none is given.
    ///
    /// # Errors
    ///
    /// Returns a [`FactError`] if the revision is too old or not yet made.
    pub fn config_at(&self, revision: Option<Revision>) -> Result<ConfigFact, FactError> {
        let requested = revision.unwrap_or_else(|| self.newest_revision());
        let (first, last) = (self.base.revision, self.newest_revision());
        if requested < first || requested > last {
            return Err(FactError::NoRevision {
                requested,
                first,
                last,
            });
        }
        let mut config = Arc::clone(&self.base.config);
        for winner in self.changes.iter().take_while(|w| w.revision <= requested) {
            config = apply_or_keep(&config, &winner.change);
        }
        Ok(ConfigFact {
            revision: requested,
            config,
        })
    }

    /// Returns the accepted changes, the newest first.
    #[must_use]
    pub fn changes(&self) -> Vec<ChangeFact> {
        let fact = |winner: &Winner| ChangeFact {
            revision: winner.revision,
            author: winner.author.to_string(),
            state: "accepted".to_owned(),
            detail: winner.change.to_string(),
        };
        self.changes.iter().rev().map(fact).collect()
    }
}

// The fold accepted the change on this very configuration, so applying it
// again can't fail; should it, the configuration stays as it was.
fn apply_or_keep(config: &Arc<Config>, change: &Change) -> Arc<Config> {
    change
        .apply(config)
        .map_or_else(|_refused| Arc::clone(config), Arc::new)
}
