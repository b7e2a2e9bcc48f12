//! Applies records of the registry's topics, from the registry or from peers.

use std::sync::Arc;

use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::serving::catalog::Catalog;
use snipeyoke_lib::serving::replica::Record;

use crate::registry::Topic;
use crate::shared::Shared;

impl Shared {
    fn on_config_records(&self, changes: &[Record], source: &str) {
        let next = self.replicas().config.next();
        self.catch_up().advance_to(next);
        self.apply_config(changes, source);
        self.config_grown.notify(usize::MAX);
        // The other nodes poll this one soon; a notification reaches them at once.
        if !changes.is_empty() && self.is_reader() {
            self.dispatcher.config_changed();
        }
    }

    fn apply_config(&self, changes: &[Record], source: &str) {
        for record in changes {
            let Some(value) = &record.value else {
                continue;
            };
            let started_at = self.now();
            match self.registry.parse_catalog(&record.key, value) {
                Some(Ok(catalog)) => {
                    let elapsed_ms = self.now().since(started_at).as_millis() as u64;
                    let version = catalog.version();
                    log::info!(event = "config-read", version, bytes = value.len(), took_ms = elapsed_ms, source; "");
                    self.activate(catalog, record, source);
                }
                Some(Err(error)) => {
                    log::error!(event = "config-refused", offset = record.offset.0, error = error.to_string().as_str(); "");
                }
                None => {}
            }
        }
    }

    // A late response or an older peer may bring an older version, which would
    // restore revoked keys and dropped routes.
    fn activate(&self, catalog: Catalog, record: &Record, source: &str) {
        let held = self.catalog.get().as_ref().as_ref().map(|c| c.version());
        let version = catalog.version();
        if held.is_some_and(|held| held >= version) {
            log::info!(event = "config-passed-over", version, held = held.unwrap_or_default(), source; "");
            return;
        }
        self.catalog.set(Some(Arc::new(catalog)));
        metrics::gauge!("snipeyoke_config_version").set(version as f64);
        log::info!(event = "config-in-force", version, offset = record.offset.0, source; "");
    }

    fn on_endpoint_records(&self, changes: &[Record]) {
        if !changes.is_empty() {
            self.endpoints_changed.notify(usize::MAX);
            self.dispatcher.endpoints_changed();
        }
    }

    /// Applies an endpoint's record; returns whether anything changed.
    fn apply_endpoint(&self, record: &Record, source: &str) -> bool {
        let Some(value) = &record.value else {
            return self.remove_endpoint(&record.key, record, source, "left");
        };
        match self.registry.parse_endpoint(&record.key, value) {
            Ok(entry) => {
                let id = entry.id.clone();
                let mut directory = self.directory();
                let previous = directory.get(&id).map(|e| e.entry().clone());
                let draining = entry.draining;
                let changed = previous.is_none_or(|previous| previous != entry);
                let fresh = directory.set(entry);
                drop(directory);
                if changed {
                    let id = id.to_string();
                    log::info!(event = "endpoint-known", endpoint = id.as_str(), draining, fresh, offset = record.offset.0, source; "");
                }
                changed
            }
            // Writers other than the endpoint may append anything. Such a record names
            // no usable endpoint; the others remain valid.
            Err(error) => {
                log::warn!(event = "endpoint-refused", key = record.key.as_str(), offset = record.offset.0, error = error.to_string().as_str(); "");
                self.remove_endpoint(&record.key, record, source, "unreadable")
            }
        }
    }

    fn remove_endpoint(&self, key: &str, record: &Record, source: &str, why: &str) -> bool {
        let Ok(id) = key.parse::<EndpointId>() else {
            return false;
        };
        let known = self.directory().remove(&id);
        if known {
            log::info!(event = "endpoint-gone", endpoint = key, why, offset = record.offset.0, source; "");
        }
        known
    }

    /// Applies records of a topic from a peer or the registry.
    pub(crate) fn extend(&self, topic: Topic, records: Vec<Record>, next: Offset, source: &str) {
        match topic {
            Topic::Config => {
                let changes = self.replicas().config.extend(records, next);
                self.on_config_records(&changes, source);
            }
            Topic::Endpoints => {
                // Update replica and directory together: a peer that polls this node
                // must not see a complete replica with an incomplete directory.
                let mut replicas = self.replicas();
                let apply = |record: &Record| self.apply_endpoint(record, source);
                let changes = replicas.endpoints.extend_with(records, next, apply);
                drop(replicas);
                self.on_endpoint_records(&changes);
            }
            Topic::Nodes => self.learn_nodes(&records),
        }
    }

    /// Applies a list of all keys of a topic.
    pub(crate) fn replace(&self, topic: Topic, records: Vec<Record>, end: Offset) {
        match topic {
            Topic::Config => {
                let changes = self.replicas().config.replace(records, end);
                self.on_config_records(&changes, "registry");
            }
            Topic::Endpoints => {
                let mut replicas = self.replicas();
                let apply = |record: &Record| self.apply_endpoint(record, "registry");
                let changes = replicas.endpoints.replace_with(records, end, apply);
                drop(replicas);
                self.on_endpoint_records(&changes);
            }
            Topic::Nodes => self.learn_nodes(&records),
        }
    }

    fn learn_nodes(&self, records: &[Record]) {
        let values = records.iter().filter_map(|r| r.value.as_ref());
        let nodes = values.filter_map(|v| self.registry.parse_node(v));
        let mut owners = self.owners();
        for node in nodes {
            owners.discover(self.now(), node.address);
            if let Some(power) = node.power {
                owners.set_power(node.address, power);
            }
        }
        self.budget().set_nodes(owners.count());
    }
}
