//! Takes in records of the registry's topics, wherever they came from.

use std::sync::Arc;

use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::serving::catalog::Catalog;
use snipeyoke_lib::serving::replica::Record;

use crate::registry::Topic;
use crate::shared::Shared;

impl Shared {
    fn config_grew(&self, news: &[Record], source: &str) {
        let have = self.replicas().config.next();
        self.catch_up().advance_to(have);
        self.apply_config(news, source);
        self.grown.notify(usize::MAX);
        // The others look at this node in a moment; told now, they have it at once.
        if !news.is_empty() && self.is_reader() {
            self.dispatcher.config_changed();
        }
    }

    fn apply_config(&self, news: &[Record], source: &str) {
        for record in news {
            let Some(value) = &record.value else {
                continue;
            };
            let begun = self.now();
            match self.registry.parse_catalog(&record.key, value) {
                Some(Ok(catalog)) => {
                    let took = self.now().since(begun).as_millis() as u64;
                    let version = catalog.version();
                    log::info!(event = "config-read", version, bytes = value.len(), took_ms = took, source; "");
                    self.put_in_force(catalog, record, source);
                }
                Some(Err(error)) => {
                    log::error!(event = "config-refused", offset = record.offset.0, error = error.to_string().as_str(); "");
                }
                None => {}
            }
        }
    }

    // A late answer, or an older neighbour, may bring an older version. Revoked
    // keys and dropped routes would come back with it.
    fn put_in_force(&self, catalog: Catalog, record: &Record, source: &str) {
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

    fn endpoints_grew(&self, news: &[Record]) {
        if !news.is_empty() {
            self.changed.notify(usize::MAX);
            self.dispatcher.endpoints_changed();
        }
    }

    /// Takes in an endpoint's record; tells whether it brings something new.
    fn apply_endpoint(&self, record: &Record, source: &str) -> bool {
        let Some(value) = &record.value else {
            return self.forget(&record.key, record, source, "left");
        };
        match self.registry.parse_endpoint(&record.key, value) {
            Ok(entry) => {
                let id = entry.id.clone();
                let mut directory = self.directory();
                let was = directory.get(&id).map(|e| e.entry().clone());
                let draining = entry.draining;
                let news = was.is_none_or(|was| was != entry);
                let fresh = directory.set(entry);
                drop(directory);
                if news {
                    let id = id.to_string();
                    log::info!(event = "endpoint-known", endpoint = id.as_str(), draining, fresh, offset = record.offset.0, source; "");
                }
                news
            }
            // A writer that isn't the endpoint may leave anything there. It
            // names no endpoint to use, and the others hold.
            Err(error) => {
                log::warn!(event = "endpoint-refused", key = record.key.as_str(), offset = record.offset.0, error = error.to_string().as_str(); "");
                self.forget(&record.key, record, source, "unreadable")
            }
        }
    }

    fn forget(&self, key: &str, record: &Record, source: &str, why: &str) -> bool {
        let Ok(id) = key.parse::<EndpointId>() else {
            return false;
        };
        let known = self.directory().remove(&id);
        if known {
            log::info!(event = "endpoint-gone", endpoint = key, why, offset = record.offset.0, source; "");
        }
        known
    }

    /// Takes in what a neighbour or the registry said of one topic.
    pub(crate) fn extend(&self, topic: Topic, records: Vec<Record>, next: Offset, source: &str) {
        match topic {
            Topic::Config => {
                let news = self.replicas().config.extend(records, next);
                self.config_grew(&news, source);
            }
            Topic::Endpoints => {
                // Copy and directory change together: whoever looks at this node
                // must not take the copy for complete before it is marked.
                let mut replicas = self.replicas();
                let changes = |record: &Record| self.apply_endpoint(record, source);
                let news = replicas.endpoints.extend_with(records, next, changes);
                drop(replicas);
                self.endpoints_grew(&news);
            }
            Topic::Nodes => self.learn_nodes(&records),
        }
    }

    /// Takes in a list of all keys of one topic.
    pub(crate) fn replace(&self, topic: Topic, records: Vec<Record>, end: Offset) {
        match topic {
            Topic::Config => {
                let news = self.replicas().config.replace(records, end);
                self.config_grew(&news, "registry");
            }
            Topic::Endpoints => {
                let mut replicas = self.replicas();
                let changes = |record: &Record| self.apply_endpoint(record, "registry");
                let news = replicas.endpoints.replace_with(records, end, changes);
                drop(replicas);
                self.endpoints_grew(&news);
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
