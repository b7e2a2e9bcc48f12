//! A bounded history of configurations.

use std::collections::VecDeque;
use std::sync::Arc;

use super::facts::ChangeFact;
use super::facts::ConfigFact;
use super::facts::FactError;
use crate::config::Change;
use crate::config::Config;
use crate::config::Winner;
use crate::ids::Revision;

/// The maximum number of changes kept: over half a day at 380 changes a day.
pub const CHANGES_MAX: usize = 256;

/// The oldest configuration kept, and the changes made to it since.
///
/// A configuration of 7,600 accounts takes megabytes, so only one is stored in
/// full; later revisions are rebuilt from it on request by applying changes.
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
    /// Creates a history that begins with a configuration.
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

    /// Adds an accepted change.
    ///
    /// A change that does not follow the newest revision is ignored; start with
    /// [`History::new`] after a snapshot replaced the state.
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

    /// Returns the configuration at a revision, by default the newest.
    ///
    /// # Errors
    ///
    /// Returns a [`FactError`] if the revision is too old or does not exist yet.
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

    /// Returns the accepted changes, newest first.
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

// The fold accepted the change on the same configuration, so this can't fail.
// If it does all the same, the configuration is returned unchanged.
fn apply_or_keep(config: &Arc<Config>, change: &Change) -> Arc<Config> {
    change
        .apply(config)
        .map_or_else(|_refused| Arc::clone(config), Arc::new)
}
