//! What other nodes ask of the desk.

use snipeyoke_lib::ids::Offset;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::pieces::JobId;
use snipeyoke_wire::Look;
use snipeyoke_wire::PieceJob;
use snipeyoke_wire::PieceUnneeded;
use snipeyoke_wire::Seen;
use snipeyoke_wire::frame::Body;

use super::Done;
use super::Failure;
use super::JobNumber;
use super::books;
use super::messages::LinkNumber;
use super::run::Origin;
use super::run::State;

impl State {
    pub(super) fn asked(&mut self, link: LinkNumber, body: Body) {
        match body {
            Body::PieceJob(frame) => self.asked_job(link, frame),
            Body::PieceCancel(cancel) => self.asked_cancel(link, cancel.job),
            Body::PieceUnneeded(unneeded) => self.asked_unneeded(unneeded),
            Body::Look(look) => self.asked_look(link, &look),
            _ => {
                log::warn!(event = "frame-unexpected", remedy = "run the same release on all nodes"; "");
            }
        }
    }

    pub(super) fn asked_job(&mut self, link: LinkNumber, frame: PieceJob) {
        let job = frame.job;
        let origin = Origin::Peer { link, job };
        let service = frame.service.parse::<PoolName>();
        let read = books::job_of(self.shared.now(), frame);
        let queued = service.ok().and_then(|s| self.queue(&s, read, origin));
        if queued.is_none()
            && let Some(sender) = self.callers.get(&link)
        {
            let refused = Done {
                number: JobNumber(job),
                made: Vec::new(),
                failure: Some(Failure::Failed),
            };
            let _full = sender.send(Body::PieceJobEnd(books::end_frame(&refused)));
        }
    }

    pub(super) fn asked_cancel(&mut self, link: LinkNumber, job: u64) {
        self.drop_jobs(
            |origin| matches!(origin, Origin::Peer { link: l, job: j } if *l == link && *j == job),
        );
    }

    pub(super) fn hung(&mut self, link: LinkNumber) {
        self.callers.remove(&link);
        self.drop_jobs(|origin| matches!(origin, Origin::Peer { link: l, .. } if *l == link));
    }

    pub(super) fn drop_jobs(&mut self, wanted: impl Fn(&Origin) -> bool) {
        let now = self.shared.now();
        for counter in self.counters.values_mut() {
            let found = counter.origins.iter().filter(|(_, o)| wanted(o));
            let ids: Vec<JobId> = found.map(|(&id, _)| id).collect();
            for id in ids {
                counter.origins.remove(&id);
                counter.queue.cancel(now, id);
            }
        }
    }

    pub(super) fn asked_unneeded(&mut self, frame: PieceUnneeded) {
        let Ok(service) = frame.service.parse::<PoolName>() else {
            return;
        };
        let now = self.shared.now();
        if let Some(counter) = self.counters.get_mut(&service) {
            for result in frame.results {
                if let Ok(endpoint) = result.endpoint.parse() {
                    counter.queue.give_back(now, &endpoint, result.handle);
                }
            }
        }
    }

    pub(super) fn asked_look(&self, link: LinkNumber, look: &Look) {
        let now = self.shared.now();
        if let Ok(address) = look.address.parse() {
            self.shared.owners().learn(now, address);
        }
        let seen = self.seen(Some(look));
        if let Some(sender) = self.callers.get(&link) {
            let _full = sender.send(Body::Seen(seen));
        }
    }

    pub(super) fn seen(&self, look: Option<&Look>) -> Seen {
        let nodes = self
            .shared
            .owners()
            .live(self.shared.now())
            .map(|a| a.to_string())
            .collect();
        let mut seen = Seen {
            leaving: self.shared.aside.is_set(),
            nodes,
            ..Seen::default()
        };
        let Some(look) = look else {
            return seen;
        };
        let replicas = self.shared.replicas();
        if replicas.config.next() > Offset(look.config_next) {
            let records = replicas.config.since(Offset(look.config_next));
            seen.config = records.into_iter().map(books::record_frame).collect();
            seen.config_next = replicas.config.next().0;
        }
        if look.stale && replicas.endpoints.next() > Offset(look.endpoints_next) {
            let records = replicas.endpoints.since(Offset(look.endpoints_next));
            seen.endpoints = records.into_iter().map(books::record_frame).collect();
            seen.endpoints_next = replicas.endpoints.next().0;
        }
        seen
    }

    pub(super) fn tell_leaving(&self) {
        let seen = self.seen(None);
        for sender in self.callers.values() {
            let _full = sender.send(Body::Seen(seen.clone()));
        }
    }
}
