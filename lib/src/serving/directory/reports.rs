//! What endpoints say of themselves in their responses, by run of an endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use super::Directory;
use super::Endpoint;
use super::Entry;
use super::VersionRule;
use crate::ids::EndpointId;
use crate::ids::PoolName;
use crate::serving::endpoint_loss::Incarnation;
use crate::serving::homes::Homes;
use crate::serving::kept_connections::EndpointRun;
use crate::serving::rate_limit::NEWS_LIFETIME;
use crate::serving::rate_limit::NamedRate;
use crate::serving::rate_limit::RateChange;
use crate::serving::rate_limit::RateLimit;
use crate::serving::rate_limit::RateNotice;
use crate::serving::self_report::Leave;
use crate::serving::self_report::ReportChange;
use crate::serving::self_report::ReportedState;
use crate::serving::self_report::SelfReport;
use crate::time::Time;
use crate::units::RequestRate;

/// How long what an endpoint said of itself is remembered once it has disappeared.
///
/// Registrations disappear for seconds while the registry is away.
const REPORT_RETENTION: Duration = Duration::from_mins(1);

/// What an endpoint that has disappeared said of itself.
#[derive(Debug, Clone)]
pub(super) struct Departed {
    pub(super) entry: Entry,
    pub(super) reported: ReportedState,
    pub(super) since: Time,
}

impl Directory {
    pub(super) fn update_indexes(&mut self, id: &EndpointId) {
        let endpoint = self.endpoints.get(id);
        let is_limited = endpoint.is_some_and(|e| e.rate_limit().is_some());
        let is_leaving = endpoint.is_some_and(|e| e.leave().is_some());
        let is_estimated = endpoint.is_some_and(|e| e.speed().is_some());
        for (index, is_member) in [
            (&mut self.estimated, is_estimated),
            (&mut self.limited, is_limited),
            (&mut self.leaving, is_leaving),
        ] {
            if is_member {
                index.insert(id.clone());
            } else {
                index.remove(id);
            }
        }
    }

    pub(super) fn forget_departed(&mut self, now: Time) {
        self.departed.retain(|_, d| {
            let is_recent = now.since(d.since) < REPORT_RETENTION;
            is_recent || now < d.reported.rest_until()
        });
    }

    /// Handles what the response to a request that was sent at `sent` says of its
    /// endpoint.
    ///
    /// Nothing is taken over from another run of the endpoint. A run that has no
    /// registration now may have one again.
    pub fn on_report(
        &mut self,
        now: Time,
        entry: &Entry,
        (sent, report): (Time, &SelfReport),
    ) -> Vec<ReportChange> {
        self.start_speed(entry, report.contention);
        let changes = match self.endpoints.get_mut(&entry.id) {
            Some(endpoint) if endpoint.entry.is_same_run(entry) => {
                let request = (sent, endpoint.own_calls);
                endpoint.reported.on_response(now, request, report)
            }
            None if report.is_binding() => {
                self.forget_departed(now);
                let departed = self.departed.remove(&entry.id);
                let departed = departed.filter(|d| d.entry.is_same_run(entry));
                let mut departed = departed.unwrap_or_else(|| Departed {
                    entry: entry.clone(),
                    reported: ReportedState::default(),
                    since: now,
                });
                let changes = departed.reported.on_response(now, (sent, 0), report);
                self.departed.insert(entry.id.clone(), departed);
                changes
            }
            Some(_) | None => return Vec::new(),
        };
        self.update_indexes(&entry.id);
        changes
    }

    /// Returns whether a call may leave for a run of an endpoint now: it neither
    /// leaves nor rests, as far as this node knows.
    ///
    /// Asked right before the first byte is sent, since a choice may be hundreds of
    /// milliseconds old by then.
    #[must_use]
    pub fn accepts_calls(&self, now: Time, entry: &Entry) -> bool {
        if let Some(endpoint) = self.endpoints.get(&entry.id) {
            let is_same = endpoint.entry.is_same_run(entry);
            return !is_same || endpoint.is_present() && !endpoint.is_resting(now);
        }
        let departed = self.departed.get(&entry.id);
        let departed = departed.filter(|d| d.entry.is_same_run(entry));
        departed.is_none_or(|d| d.reported.leave().is_none() && d.reported.rest_until() <= now)
    }

    /// Returns whether connections to a run of an endpoint may stay open: it is
    /// registered and in use, and neither leaves nor rests.
    #[must_use]
    pub fn keeps_connections(&self, now: Time, run: &EndpointRun) -> bool {
        let endpoint = self.endpoints.get(&run.endpoint);
        endpoint.is_some_and(|e| {
            let is_same = EndpointRun::from(&e.entry) == *run;
            is_same && e.is_open() && !e.is_resting(now) && !e.is_paused(now)
        })
    }

    /// Handles the news of another node that a run of an endpoint leaves.
    pub fn on_leave_news(
        &mut self,
        now: Time,
        (run, age): (&Incarnation, Duration),
        source: SocketAddr,
    ) -> Option<ReportChange> {
        let endpoint = self.endpoints.get_mut(&run.endpoint)?;
        if endpoint.entry.started_at != run.started_at {
            return None;
        }
        let change = endpoint.reported.on_leave_news(now, age, source)?;
        self.update_indexes(&run.endpoint);
        Some(change)
    }

    /// Returns the endpoints that said that they leave.
    pub fn leaves(&self) -> impl Iterator<Item = (&Endpoint, &Leave)> {
        let leaving = self.leaving.iter();
        let leaving = leaving.filter_map(|id| self.endpoints.get(id));
        leaving.filter_map(|e| Some((e, e.leave()?)))
    }

    /// Returns the endpoints of a service that asked this node for a rest.
    #[must_use]
    pub fn resting(&self, now: Time, service: &PoolName) -> Vec<EndpointId> {
        let all = self.open_endpoints(service);
        let resting = all.filter(|e| e.is_resting(now));
        resting.map(|e| e.entry.id.clone()).collect()
    }

    /// Returns when the first of the endpoints that a call could otherwise use ends
    /// its rest; `None` if none rests.
    #[must_use]
    pub fn first_rest_end(
        &self,
        now: Time,
        service: &PoolName,
        (homes, versions): (&Homes, &VersionRule),
    ) -> Option<Time> {
        let all = self.open_endpoints(service);
        let permitted = all.filter(|e| homes.allows(e.region()) && e.satisfies(now, versions));
        let resting = permitted.filter(|e| e.is_resting(now));
        resting.map(Endpoint::rest_until).min()
    }

    /// Handles what a response says about the rate of its endpoint.
    pub fn on_rate_notice(
        &mut self,
        now: Time,
        id: &EndpointId,
        (sent, notice): (Time, RateNotice),
    ) -> Option<RateChange> {
        let endpoint = self.endpoints.get_mut(id)?;
        let change = endpoint.reported.rate.on_response(now, sent, notice)?;
        self.update_indexes(id);
        Some(change)
    }

    /// Handles the rate of an endpoint that another node heard.
    pub fn on_rate_news(
        &mut self,
        now: Time,
        (id, rate, age): (&EndpointId, NamedRate, Duration),
        source: SocketAddr,
    ) -> Option<RateChange> {
        let endpoint = self.endpoints.get_mut(id)?;
        let change = endpoint.reported.rate.on_news(now, (rate, age), source)?;
        self.update_indexes(id);
        Some(change)
    }

    /// Returns the endpoints that named a rate recently, with their ages.
    pub fn recent_rates(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&EndpointId, NamedRate, Duration)> {
        let rates = self.limits().map(move |(e, limit)| {
            let age = now.since(limit.named_at);
            (&e.entry.id, limit.rate, age)
        });
        rates.filter(|(_, _, age)| *age < NEWS_LIFETIME)
    }

    /// Returns the endpoints that name a rate.
    pub fn limits(&self) -> impl Iterator<Item = (&Endpoint, &RateLimit)> {
        let limited = self.limited.iter();
        let limited = limited.filter_map(|id| self.endpoints.get(id));
        limited.filter_map(|e| Some((e, e.rate_limit()?)))
    }

    /// Returns whether an endpoint of a service names a rate.
    #[must_use]
    pub fn has_limits(&self, service: &PoolName) -> bool {
        self.limits().any(|(e, _)| e.entry.service == *service)
    }

    /// Records that a request did not go to an endpoint because of its rate.
    pub fn record_held_back(&mut self, id: &EndpointId) {
        let endpoint = self.endpoints.get_mut(id);
        if let Some(limit) = endpoint.and_then(|e| e.reported.rate.limit_mut()) {
            limit.held_back += 1;
        }
    }

    /// Records that this node was refused a grant for an endpoint; it asks for
    /// none for a while.
    pub fn pause_grants(&mut self, now: Time, id: &EndpointId) {
        let endpoint = self.endpoints.get_mut(id);
        if let Some(limit) = endpoint.and_then(|e| e.reported.rate.limit_mut()) {
            limit.paused_until = now + limit.rate.refusal_pause();
        }
    }

    /// Returns the rate that the endpoints which a request may use accept
    /// together, if all of them name one, rest or are too cold.
    #[must_use]
    pub fn total_rate(
        &self,
        now: Time,
        service: &PoolName,
        (homes, warm_only): (&Homes, bool),
    ) -> Option<RequestRate> {
        let usable = self.open_endpoints(service);
        let usable = usable.filter(|e| homes.allows(e.region()));
        let usable = usable.filter(|e| !e.is_resting(now));
        let mut usable = usable.filter(|e| !(warm_only && e.is_cold(now))).peekable();
        usable.peek()?;
        let rate = |e: &Endpoint| Some(e.rate_limit()?.rate.per_second());
        usable.map(rate).sum::<Option<f64>>().map(RequestRate)
    }
}
