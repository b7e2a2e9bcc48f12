//! The speeds of endpoints that name their service time: what this node learns from
//! responses and notes, and reports.

use std::collections::BTreeSet;
use std::time::Duration;

use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::serving::batching::CallTime;
use snipeyoke_lib::serving::bookings::BookedRequest;
use snipeyoke_lib::serving::bookings::ReadingWork;
use snipeyoke_lib::serving::directory::Endpoint;
use snipeyoke_lib::serving::directory::Entry;
use snipeyoke_lib::serving::directory::LoadReport;
use snipeyoke_lib::serving::endpoint_speed::Contention;
use snipeyoke_lib::serving::endpoint_speed::ContentionNotice;
use snipeyoke_lib::serving::endpoint_speed::SpeedSample;
use snipeyoke_lib::serving::endpoint_speed::saturation;
use snipeyoke_lib::serving::self_report::SelfReport;
use snipeyoke_lib::time::Time;

use crate::shared::Shared;

/// What the head of a response says about the speed of its endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NamedSpeed {
    contention: Contention,
    load: Option<LoadReport>,
    at: Time,
}

impl NamedSpeed {
    pub(crate) const fn of(now: Time, report: &SelfReport) -> Option<Self> {
        let ContentionNotice::Named(contention) = report.contention else {
            return None;
        };
        Some(Self {
            contention,
            load: report.load,
            at: now,
        })
    }

    /// Returns how much longer the request took because of the load named.
    fn saturation(&self) -> f32 {
        let load = self.load.map(|l| saturation(l.calls as f32, l.slots));
        load.unwrap_or(1.0)
    }
}

/// What the first event of a response shows of the speed of its endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FirstEventSpeed {
    pub(crate) contention: Contention,
    /// How long ago the contention was named.
    pub(crate) age: Duration,
    /// The time from sending the request to the first event.
    pub(crate) elapsed: Duration,
}

/// What an endpoint had to do before the first event of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Work {
    /// A plain call.
    Plain,
    /// A prompt that was booked.
    Booked(ReadingWork),
    /// A prompt whose queue is not known, and the ratio of its time to the usual one.
    Unbooked(f32),
}

impl Shared {
    /// Learns from the time of a response of an endpoint that names its service
    /// time.
    pub(crate) fn on_response_time(
        &self,
        entry: &Entry,
        (work, elapsed): (Work, Duration),
        named: NamedSpeed,
    ) -> FirstEventSpeed {
        let now = self.now();
        let contention = named.contention.factor();
        let saturation = named.saturation();
        let service = &entry.service;
        let mut paces = self.paces();
        let (ratio, waited) = match work {
            Work::Plain => {
                let waited = saturation > 1.0;
                let ratio = paces.reading_ratio(service, 0, (elapsed, contention), waited);
                (ratio / saturation, waited)
            }
            Work::Booked(work) => {
                let waited = work.ahead_tokens > 0 || saturation > 1.0;
                let observed = (elapsed, contention);
                let ratio = paces.reading_ratio(service, work.tokens(), observed, waited);
                (ratio / saturation, waited)
            }
            Work::Unbooked(pace) => (pace, true),
        };
        drop(paces);
        let sample = SpeedSample {
            ratio,
            contention: named.contention,
            waited,
        };
        self.directory().record_speed(now, entry, sample);
        FirstEventSpeed {
            contention: named.contention,
            age: now.since(named.at),
            elapsed,
        }
    }

    /// Records the time to a first event for the prediction of later ones.
    pub(crate) fn observe_usual_time(&self, entry: &Entry, tokens: u32, elapsed: Duration) {
        let now = self.now();
        let directory = self.directory();
        let endpoint = directory.get(&entry.id);
        let factor = endpoint.and_then(|e| Some(e.speed()?.factor(now) * e.saturation(now)));
        drop(directory);
        if let Some(factor) = factor {
            let observed = (elapsed, factor);
            self.paces().observe_usual(&entry.service, tokens, observed);
        }
    }

    /// Returns the expected time to the first event of a prompt that is sent now.
    pub(crate) fn expected_first_event(&self, service: &PoolName, tokens: u32) -> Duration {
        let factor = self.directory().speed_factor(self.now(), service);
        self.paces().expected_now(service, tokens, factor)
    }

    /// Learns from the first event of a request of another node that this node has
    /// booked.
    pub(crate) fn on_booked_first_event(
        &self,
        service: &PoolName,
        booked: &BookedRequest,
        speed: FirstEventSpeed,
    ) {
        let now = self.now();
        let mut directory = self.directory();
        let endpoint = directory.get(&booked.endpoint).map(Endpoint::entry);
        let same_run = endpoint.filter(|e| e.started_at == booked.started_at);
        let Some(entry) = same_run.filter(|e| e.service == *service).cloned() else {
            return;
        };
        directory.on_contention_news(now, &entry, (speed.contention, speed.age));
        drop(directory);
        let named = NamedSpeed {
            contention: speed.contention,
            load: None,
            at: now,
        };
        let work = Work::Booked(booked.work);
        let _known = self.on_response_time(&entry, (work, speed.elapsed), named);
    }

    /// Learns from a call of a stage service.
    pub(crate) fn on_call_time(&self, call: &CallTime) {
        let now = self.now();
        let mut directory = self.directory();
        let endpoint = directory.get(&call.entry.id);
        let named = endpoint.and_then(|e| e.speed()?.named(now));
        if let Some((contention, _)) = named {
            let sample = SpeedSample {
                ratio: call.ratio,
                contention,
                waited: call.waited,
            };
            directory.record_speed(now, &call.entry, sample);
        }
    }

    /// Updates the metrics of the endpoints' speeds.
    pub(crate) fn report_speeds(&self) {
        let now = self.now();
        let directory = self.directory();
        let measured = directory.iter().filter(|e| e.speed().is_some());
        let services: BTreeSet<&PoolName> = measured.map(|e| &e.entry().service).collect();
        for service in services {
            let Some(speeds) = directory.service_speeds(now, service) else {
                continue;
            };
            for (of, speed, contention) in [
                ("min", speeds.speed.min, speeds.contention.min),
                ("median", speeds.speed.median, speeds.contention.median),
                ("max", speeds.speed.max, speeds.contention.max),
            ] {
                let name = service.to_string();
                metrics::gauge!("snipeyoke_endpoint_speed", "service" => name.clone(), "of" => of)
                    .set(f64::from(speed));
                metrics::gauge!("snipeyoke_endpoint_contention", "service" => name, "of" => of)
                    .set(f64::from(contention));
            }
        }
    }
}
