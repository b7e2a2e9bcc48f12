//! What other nodes ask of the dispatcher.

use std::net::SocketAddr;
use std::time::Duration;

use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::batching::Job;
use snipeyoke_lib::serving::batching::JobId;
use snipeyoke_lib::serving::owners::Owners;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::serving::replica::Record;
use snipeyoke_lib::time::Time;
use snipeyoke_wire::KnownNode;
use snipeyoke_wire::PieceJob;
use snipeyoke_wire::PieceUnneeded;
use snipeyoke_wire::SyncReply;
use snipeyoke_wire::SyncRequest;
use snipeyoke_wire::frame::Body;

use super::JobFailure;
use super::JobNumber;
use super::JobResult;
use super::convert;
use super::messages::LinkNumber;
use super::peers::learn;
use super::run::Delivered;
use super::run::EarlyAsked;
use super::run::Origin;
use super::run::State;
use crate::shared::Shared;

/// How long a node may be without a link before it counts as gone.
///
/// A link that was reset is opened again within a connect's time of 400 ms.
const DEPARTED: Duration = Duration::from_millis(800);

/// How long a node without a configuration keeps the jobs of others.
///
/// It has one within a tenth of a second of its start, unless registry and
/// neighbours are away; then the jobs are better refused.
const EARLY_MAX: Duration = Duration::from_millis(400);

/// The most changes of endpoints that a node is told without asking for them.
///
/// What changes between two looks, also while a service is replaced. A whole list
/// of hundreds fills the link for a tenth of a second.
const CHANGES_MAX: usize = 64;

/// The most verdicts on requests in an answer; the next one has more.
const VERDICTS_MAX: usize = 64;

impl State {
    pub(super) fn asked(&mut self, link: LinkNumber, body: Body) {
        match body {
            Body::PieceJob(frame) => self.asked_job(link, frame),
            Body::PieceCancel(cancel) => self.asked_cancel(link, cancel.job),
            Body::PieceUnneeded(unneeded) => self.asked_unneeded(unneeded),
            Body::SyncRequest(look) => self.asked_sync(link, &look),
            Body::RecordAsk(ask) => self.asked_record(link, &ask),
            Body::PlaceAsk(ask) => self.asked_place(link, &ask),
            Body::EndpointEnd(end) => self.asked_end(&end),
            Body::Quarantine(frame) => self.told_verdict(&frame),
            Body::PlaceNote(note) => self.asked_note(link, &note),
            _ => {
                log::warn!(event = "frame-unexpected", remedy = "run the same release on all nodes"; "");
            }
        }
    }

    pub(super) fn asked_job(&mut self, link: LinkNumber, frame: PieceJob) {
        let number = frame.job;
        let now = self.shared.now();
        let service = frame.service.parse::<PoolName>();
        let job = convert::job_of(now, frame);
        let Ok(service) = service else {
            log::warn!(event = "job-unreadable", remedy = "run the same release on all nodes"; "");
            self.refuse_job(link, number);
            return;
        };
        // A node that has just started is taken for the owner before it knows the
        // service. Refused at once, the job would fail at its caller.
        if self.shared.catalog.get().is_none() {
            let since = now;
            self.early_asked.push(EarlyAsked {
                link,
                number,
                service,
                job,
                since,
            });
            return;
        }
        self.take_asked(link, number, &service, job);
    }

    fn take_asked(&mut self, link: LinkNumber, number: u64, service: &PoolName, job: Job) {
        let origin = Origin::Peer { link, job: number };
        if self.queue(service, job, origin).is_none() {
            self.refuse_job(link, number);
        }
    }

    /// Takes up the jobs of others that waited for this node's configuration.
    pub(super) fn take_early(&mut self) {
        if self.early_asked.is_empty() {
            return;
        }
        let now = self.shared.now();
        let knows = self.shared.catalog.get().is_some();
        for early in std::mem::take(&mut self.early_asked) {
            if knows {
                self.take_asked(early.link, early.number, &early.service, early.job);
            } else if now.since(early.since) < EARLY_MAX {
                self.early_asked.push(early);
            } else {
                self.refuse_job(early.link, early.number);
            }
        }
    }

    fn refuse_job(&self, link: LinkNumber, number: u64) {
        let Some(caller) = self.callers.get(&link) else {
            return;
        };
        let refused = JobResult {
            number: JobNumber(number),
            results: Vec::new(),
            failure: Some(JobFailure::Failed),
            backlog: Duration::ZERO,
        };
        let _full = caller
            .sender
            .send(Body::PieceJobEnd(convert::end_frame(&refused)));
    }

    pub(super) fn asked_cancel(&mut self, link: LinkNumber, job: u64) {
        self.early_asked
            .retain(|early| (early.link, early.number) != (link, job));
        self.drop_jobs(
            |origin| matches!(origin, Origin::Peer { link: l, job: j } if *l == link && *j == job),
        );
    }

    pub(super) fn hung(&mut self, link: LinkNumber) {
        let node = self.callers.remove(&link).and_then(|c| c.node);
        let gone = |node: &SocketAddr| self.callers.values().all(|c| c.node != Some(*node));
        if let Some(node) = node.filter(gone) {
            self.departed.insert(node, self.shared.now());
        }
        self.drop_jobs(|origin| matches!(origin, Origin::Peer { link: l, .. } if *l == link));
        self.early_asked.retain(|early| early.link != link);
        for bookings in self.bookings.values_mut() {
            bookings.end_link(link.0 + 1);
        }
    }

    /// Gives back what nodes held that are gone for good.
    ///
    /// A node that was killed gives nothing back: its results would take the
    /// endpoints' memory until they lapse, and the nodes that live find no
    /// room. One whose link was reset is back at once and still needs them.
    pub(super) fn clear_departed(&mut self, now: Time) {
        let gone = |_: &SocketAddr, at: &mut Time| now.since(*at) > DEPARTED;
        let departed: Vec<SocketAddr> =
            self.departed.extract_if(.., gone).map(|(n, _)| n).collect();
        if departed.is_empty() {
            return;
        }
        for owned in self.queues.values_mut() {
            let theirs = |_: &String, d: &mut Delivered| departed.contains(&d.node);
            let found: Vec<_> = owned.delivered.extract_if(.., theirs).collect();
            for (handle, delivered) in found {
                owned.queue.release(now, &delivered.endpoint, handle);
            }
        }
    }

    pub(super) fn drop_jobs(&mut self, wanted: impl Fn(&Origin) -> bool) {
        let now = self.shared.now();
        for owned in self.queues.values_mut() {
            let found = owned.origins.iter().filter(|(_, o)| wanted(o));
            let ids: Vec<JobId> = found.map(|(&id, _)| id).collect();
            for id in ids {
                owned.origins.remove(&id);
                owned.queue.cancel(now, id);
            }
        }
    }

    pub(super) fn asked_unneeded(&mut self, frame: PieceUnneeded) {
        let Ok(service) = frame.service.parse::<PoolName>() else {
            return;
        };
        let now = self.shared.now();
        if let Some(owned) = self.open(&service) {
            for result in frame.results {
                owned.delivered.remove(&result.handle);
                if let Ok(endpoint) = result.endpoint.parse() {
                    owned.queue.release(now, &endpoint, result.handle);
                }
            }
        }
    }

    pub(super) fn asked_sync(&mut self, link: LinkNumber, look: &SyncRequest) {
        let now = self.shared.now();
        if let Ok(address) = look.address.parse() {
            let known = KnownNode {
                address: look.address.clone(),
                power: look.power,
            };
            learn(&mut self.shared.owners(), now, &known);
            self.departed.remove(&address);
            let next = Offset(look.config_next);
            self.shared.on_peer_config(address, next, 0);
            if let Some(caller) = self.callers.get_mut(&link) {
                caller.node = Some(address);
            }
        }
        if look.brief {
            self.shared.registry_polling().on_polled(now);
        }
        let mut seen = self.seen(Some(look));
        let Some(caller) = self.callers.get_mut(&link) else {
            return;
        };
        let crashes = self.shared.crashes();
        let (verdicts, last) = crashes.changes_since(now, caller.verdicts, VERDICTS_MAX);
        drop(crashes);
        seen.quarantines = verdicts.iter().map(convert::quarantine_frame).collect();
        if !look.brief {
            let owners = self.shared.owners();
            seen.known = known(&self.shared, &owners, now, caller.told);
            let news = owners.last_change();
            drop(owners);
            // A full queue is that of a silent node; its next link begins anew.
            if caller.sender.send(Body::SyncReply(seen)).is_ok() {
                caller.told = news;
                caller.verdicts = last;
            }
            return;
        }
        if caller.sender.send(Body::SyncReply(seen)).is_ok() {
            caller.verdicts = last;
        }
    }

    /// Returns what this node says of itself, without other nodes.
    fn seen(&self, look: Option<&SyncRequest>) -> SyncReply {
        let now = self.shared.now();
        let micros = |age: Duration| age.as_micros() as u64;
        let upkeep = *self.shared.registry_polling();
        let mut seen = SyncReply {
            leaving: self.shared.out_of_rotation.is_set(),
            unread: upkeep.cannot_read(now),
            config_age_us: upkeep.freshness(ReplicaKind::Config).age(now).map(micros),
            stamp: look.map_or(0, |l| l.stamp),
            ..SyncReply::default()
        };
        let replicas = self.shared.replicas();
        seen.config_next = replicas.config.next().0;
        seen.config_bytes = replicas.config.value_bytes() as u64;
        let Some(look) = look else {
            return seen;
        };
        let changes = replicas
            .endpoints
            .changes_since(Offset(look.endpoints_next));
        let few = |all: &Vec<Record>| all.len() <= CHANGES_MAX && look.endpoints_next > 0;
        if let Some(changes) = changes.filter(|all| look.stale || few(all)) {
            seen.endpoints = changes.into_iter().map(convert::record_frame).collect();
            seen.endpoints_next = replicas.endpoints.next().0;
            seen.endpoints_age_us = upkeep
                .freshness(ReplicaKind::Endpoints)
                .age(now)
                .map(micros);
            seen.endpoints_sum = self.shared.directory().checksum();
        }
        seen
    }

    /// Tells all nodes that look at this one what it says of itself.
    pub(super) fn tell_callers(&self) {
        let seen = self.seen(None);
        for caller in self.callers.values() {
            let _full = caller.sender.send(Body::SyncReply(seen.clone()));
        }
    }
}

/// Returns this node and the news that it has of others.
fn known(shared: &Shared, owners: &Owners, now: Time, told: u64) -> Vec<KnownNode> {
    let own = (shared.settings.listen.peers, Some(shared.settings.power));
    let all = owners.changes_since(now, told).chain([own]);
    let known = all.map(|(address, power)| KnownNode {
        address: address.to_string(),
        power: power.map_or(0, |p| p.0),
    });
    known.collect()
}
