//! The blackboard: facts that controllers write and traffic reads.

use std::collections::BTreeMap;
use std::sync::Arc;

use snipeyoke_lib::config::Config;
use snipeyoke_lib::config::KeyDigest;
use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::ids::Revision;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::watched::WatchedValue;

/// The configuration in force, with what is derived from it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfigFact {
    pub(crate) config: Arc<Config>,
    pub(crate) revision: Revision,
    /// The account of each key.
    pub(crate) keys: BTreeMap<KeyDigest, ClientAccount>,
}

impl ConfigFact {
    pub(crate) fn new(config: Arc<Config>, revision: Revision) -> Self {
        let mut keys = BTreeMap::new();
        for (name, account) in &config.accounts {
            for key in &account.keys {
                keys.insert(key.clone(), name.clone());
            }
        }
        Self {
            config,
            revision,
            keys,
        }
    }

    /// Tells whether any configuration has arrived.
    pub(crate) fn is_known(&self) -> bool {
        self.revision > Revision::default()
    }
}

/// The typed board of a router.
#[derive(Debug)]
pub(crate) struct Board {
    pub(crate) config: WatchedValue<ConfigFact>,
    /// Set once the router has met its endpoints.
    pub(crate) met: Flag,
    /// Set once the router asks to be passed over, while it still serves.
    pub(crate) aside: Flag,
    /// Set once the router takes nothing new.
    pub(crate) drain: Flag,
    /// Set once callers are no longer answered.
    pub(crate) end: Flag,
    /// Set once the platform's host list says that the host leaves.
    pub(crate) leave: Flag,
    /// Set once every task has to end.
    pub(crate) stop: Flag,
}

impl Board {
    pub(crate) fn new() -> Self {
        Self {
            config: WatchedValue::new(ConfigFact::default()),
            met: Flag::default(),
            aside: Flag::default(),
            drain: Flag::default(),
            end: Flag::default(),
            leave: Flag::default(),
            stop: Flag::default(),
        }
    }
}
