//! The board: shared state that controllers write and the traffic threads read.

use std::collections::BTreeMap;
use std::sync::Arc;

use snipeyoke_lib::config::Config;
use snipeyoke_lib::config::KeyDigest;
use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::ids::Revision;
use snipeyoke_runtime::flag::Flag;
use snipeyoke_runtime::watched::WatchedValue;

/// The configuration in force and data derived from it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfigFact {
    pub(crate) config: Arc<Config>,
    pub(crate) revision: Revision,
    /// The account of each key digest.
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

    /// Returns whether any configuration has arrived.
    pub(crate) fn is_known(&self) -> bool {
        self.revision > Revision::default()
    }
}

/// The board of a router.
#[derive(Debug)]
pub(crate) struct Board {
    pub(crate) config: WatchedValue<ConfigFact>,
    /// Set once the wait for usable endpoints is over.
    pub(crate) endpoints_ready: Flag,
    /// Set once the router reports not ready, while it still serves.
    pub(crate) pre_drain: Flag,
    /// Set once the router accepts no new requests.
    pub(crate) drain: Flag,
    /// Set once callers get no more responses.
    pub(crate) callers_closed: Flag,
    /// Set once the platform's host list marks the host as leaving.
    pub(crate) host_leaving: Flag,
    /// Set once all tasks must end.
    pub(crate) stop: Flag,
}

impl Board {
    pub(crate) fn new() -> Self {
        Self {
            config: WatchedValue::new(ConfigFact::default()),
            endpoints_ready: Flag::default(),
            pre_drain: Flag::default(),
            drain: Flag::default(),
            callers_closed: Flag::default(),
            host_leaving: Flag::default(),
            stop: Flag::default(),
        }
    }
}
