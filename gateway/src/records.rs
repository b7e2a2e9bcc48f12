//! Applies records of the registry's topics, from the registry or from peers.

use std::collections::BTreeSet;
use std::sync::Arc;

use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::catalog::Catalog;
use snipeyoke_lib::serving::directory::Directory;
use snipeyoke_lib::serving::position::ListMode;
use snipeyoke_lib::serving::position::Position;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::serving::replica::Reading;
use snipeyoke_lib::serving::replica::Record;
use snipeyoke_lib::serving::stream_origins::VersionSets;

use crate::registry::OperatorRecord;
use crate::registry::Topic;
use crate::shared::Shared;

impl Shared {
    fn on_config_records(&self, changes: &[Record], source: &str) {
        let mark = self.config_mark();
        self.catch_up().advance_to(mark);
        self.apply_operator_records(changes, source);
        self.config_grown.notify(usize::MAX);
        // The other nodes poll this one soon; a notification reaches them at once.
        if !changes.is_empty() && self.is_reader() {
            self.dispatcher.config_changed();
        }
    }

    fn apply_operator_records(&self, changes: &[Record], source: &str) {
        let mut catalogs = Vec::new();
        for record in changes {
            let started_at = self.now();
            let value = record.value.as_deref();
            match self.registry.parse_operator_record(&record.key, value) {
                Some(Ok(OperatorRecord::Catalog(catalog))) => {
                    let elapsed_ms = self.now().since(started_at).as_millis() as u64;
                    let version = catalog.version();
                    let bytes = value.map_or(0, <[u8]>::len);
                    log::info!(event = "config-read", version, bytes, took_ms = elapsed_ms, source; "");
                    catalogs.push((*catalog, record));
                }
                Some(Ok(OperatorRecord::Evacuation { domain, active })) => {
                    self.set_evacuated(&domain, active, source);
                }
                Some(Err(error)) => {
                    log::error!(event = "config-refused", key = record.key.as_str(), position = record.position.to_string().as_str(), error = error.to_string().as_str(); "");
                }
                None => {}
            }
        }
        // A node that starts begins to serve with its first configuration, and then has
        // to know the evacuations that came with it.
        for (catalog, record) in catalogs {
            self.activate(catalog, record, source);
        }
    }

    fn set_evacuated(&self, domain: &FailureDomain, active: bool, source: &str) {
        let now = self.now();
        let catalog = self.catalog.get();
        let cold_time = |service: &PoolName| {
            let service = catalog.as_ref().as_ref()?.service(service)?;
            service.cold_start.map(|c| c.duration)
        };
        let mut directory = self.directory();
        let known = directory.knows_domain(domain);
        let changed = if active {
            directory.begin_evacuation(domain)
        } else {
            directory.end_evacuation(now, domain, cold_time)
        };
        let evacuations = directory.evacuations();
        let last_call = evacuations.last_call(domain).map(|at| now.since(at));
        let count = evacuations.iter().count();
        drop(directory);
        if !changed {
            return;
        }
        metrics::gauge!("snipeyoke_evacuated_domains").set(count as f64);
        let domain = domain.to_string();
        if active && !known {
            log::warn!(event = "evacuation-unknown-domain", domain = domain.as_str(), remedy = "check the name of the failure domain"; "");
        }
        if active {
            let last_call_ms = last_call.map_or(-1, |age| age.as_millis() as i64);
            log::info!(event = "evacuation-begun", domain = domain.as_str(), last_call_ms, source; "");
        } else {
            log::info!(event = "evacuation-ended", domain = domain.as_str(), source; "");
        }
        self.endpoints_changed.notify(usize::MAX);
        self.dispatcher.endpoints_changed();
    }

    /// Records a call to an endpoint of a failure domain.
    pub(crate) fn record_call(&self, domain: &FailureDomain) {
        if self.directory().record_call(self.now(), domain) {
            log::info!(event = "evacuation-first-call", domain = domain.to_string().as_str(); "");
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
        log::info!(event = "config-in-force", version, position = record.position.to_string().as_str(), source; "");
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
                let cold_left = entry.cold_left;
                let mut directory = self.directory();
                let previous = directory.get(&id).map(|e| e.entry().clone());
                let draining = entry.draining;
                let changed = previous.as_ref().is_none_or(|p| *p != entry);
                let version = entry.version.to_string();
                let services = previous.iter().chain([&entry]).map(|e| e.service.clone());
                let services: BTreeSet<PoolName> = services.collect();
                let before = versions_of(&directory, &services);
                let fresh = directory.set(entry);
                if !cold_left.is_zero() {
                    directory.mark_cold(&id, self.now() + cold_left);
                }
                let after = versions_of(&directory, &services);
                drop(directory);
                if changed {
                    self.record_versions(&before);
                    self.record_versions(&after);
                    let id = id.to_string();
                    log::info!(event = "endpoint-known", endpoint = id.as_str(), version = version.as_str(), draining, fresh, cold_ms = cold_left.as_millis() as u64, position = record.position.to_string().as_str(), source; "");
                }
                changed
            }
            // Writers other than the endpoint may append anything. Such a record names
            // no usable endpoint; the others remain valid.
            Err(error) => {
                log::warn!(event = "endpoint-refused", key = record.key.as_str(), position = record.position.to_string().as_str(), error = error.to_string().as_str(); "");
                self.remove_endpoint(&record.key, record, source, "unreadable")
            }
        }
    }

    fn remove_endpoint(&self, key: &str, record: &Record, source: &str, why: &str) -> bool {
        let Ok(id) = key.parse::<EndpointId>() else {
            return false;
        };
        let mut directory = self.directory();
        let service = directory.get(&id).map(|e| e.entry().service.clone());
        let before = versions_of(&directory, &service.into_iter().collect());
        let known = directory.remove(self.now(), &id);
        drop(directory);
        self.record_versions(&before);
        if known {
            log::info!(event = "endpoint-gone", endpoint = key, why, position = record.position.to_string().as_str(), source; "");
        }
        known
    }

    /// Applies records of a topic from a peer or the registry.
    pub(crate) fn extend(&self, topic: Topic, records: Vec<Record>, next: Position, source: &str) {
        self.on_era(next.era, source);
        if let Some(earliest) = records.iter().map(|r| r.position.era).min() {
            self.returns().on_record(self.now(), earliest);
        }
        let rank = |record: &Record| self.registry.rank(topic, record);
        match topic {
            Topic::Config => {
                let mut reading = Reading {
                    rank: &rank,
                    is_change: &mut |_| true,
                };
                let mut replicas = self.replicas();
                let changes = replicas.config.extend_with(records, next, &mut reading);
                let holds_lost = replicas.config.holds_unranked_before(next);
                drop(replicas);
                if holds_lost {
                    // Only the list shows which of them the operator has ended.
                    self.returns().mark_unsettled(ReplicaKind::Config);
                }
                self.on_config_records(&changes, source);
            }
            Topic::Endpoints => {
                let mut reading = Reading {
                    rank: &rank,
                    is_change: &mut |record| self.apply_endpoint(record, source),
                };
                // Update replica and directory together: a peer that polls this node
                // must not see a complete replica with an incomplete directory.
                let mut replicas = self.replicas();
                let changes = replicas.endpoints.extend_with(records, next, &mut reading);
                drop(replicas);
                self.on_endpoint_records(&changes);
            }
            Topic::Nodes => self.learn_nodes(&records),
        }
    }

    /// Applies a list of all keys of a topic.
    pub(crate) fn replace(&self, topic: Topic, records: Vec<Record>, end: Position) {
        self.on_era(end.era, "registry");
        let rank = |record: &Record| self.registry.rank(topic, record);
        let mode = |kind| self.returns().on_list(self.now(), kind);
        match topic {
            Topic::Config => {
                let mode = mode(ReplicaKind::Config);
                let mut reading = Reading {
                    rank: &rank,
                    is_change: &mut |_| true,
                };
                let listed = records.len();
                let mut replicas = self.replicas();
                let before = replicas.config.next();
                let changes = replicas
                    .config
                    .replace_with(records, (end, mode), &mut reading);
                drop(replicas);
                log_list(topic, (before, end), (listed, changes.len()), mode);
                self.on_config_records(&changes, "registry");
            }
            Topic::Endpoints => {
                let mode = mode(ReplicaKind::Endpoints);
                let mut reading = Reading {
                    rank: &rank,
                    is_change: &mut |record| self.apply_endpoint(record, "registry"),
                };
                let listed = records.len();
                let mut replicas = self.replicas();
                let before = replicas.endpoints.next();
                let changes = replicas
                    .endpoints
                    .replace_with(records, (end, mode), &mut reading);
                drop(replicas);
                log_list(topic, (before, end), (listed, changes.len()), mode);
                self.on_endpoint_records(&changes);
            }
            Topic::Nodes => self.learn_nodes(&records),
        }
    }

    fn learn_nodes(&self, records: &[Record]) {
        for parsed in records
            .iter()
            .filter_map(|r| self.registry.parse_versions(r))
        {
            match parsed {
                Ok(sets) => self.origins().apply_record(self.now(), sets),
                Err(error) => {
                    log::warn!(event = "versions-refused", error = error.to_string().as_str(); "");
                }
            }
        }
        for value in records
            .iter()
            .filter_map(|r| self.registry.quarantines_of(r))
        {
            self.dispatcher.quarantines_read(value);
        }
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

fn versions_of(directory: &Directory, services: &BTreeSet<PoolName>) -> VersionSets {
    let sets = services.iter();
    sets.map(|s| (s.clone(), directory.versions(s))).collect()
}

/// Logs a list that was read since the registry came back from a copy.
fn log_list(
    topic: Topic,
    (before, end): (Position, Position),
    (listed, changed): (usize, usize),
    mode: ListMode,
) {
    let event = match mode {
        ListMode::Unsettled => "registry-unsettled",
        ListMode::Settled => "registry-settled",
        ListMode::Whole => return,
    };
    let lost = before.offset.0.saturating_sub(end.offset.0);
    let lost = if before.era < end.era { lost } else { 0 };
    log::info!(event, topic = topic.to_string().as_str(), before = before.to_string().as_str(), end = end.to_string().as_str(), lost, listed, changed; "");
}
