//! The state of one client attempt while this node handles it.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use hyper::StatusCode;
use hyper::http::request;
use rapidhash::v3::rapidhash_v3;
use snipeyoke_lib::ids::ClientAccount;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::ids::FailureDomain;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::ids::SoftwareVersion;
use snipeyoke_lib::serving::catalog::Catalog;
use snipeyoke_lib::serving::catalog::KeyHolder;
use snipeyoke_lib::serving::catalog::Route;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::crashes::Suspect;
use snipeyoke_lib::serving::directory::Unavailable;
use snipeyoke_lib::serving::directory::VersionRule;
use snipeyoke_lib::serving::durations::Remaining;
use snipeyoke_lib::serving::durations::RequestTiming;
use snipeyoke_lib::serving::homes::Homes;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::http::HeldMemory;

use crate::dialect::RequestHead;
use crate::fingerprint::fingerprint;
use crate::refusal::Refusal;
use crate::shared::Shared;

/// A routed client attempt and its progress.
#[derive(Debug)]
pub(crate) struct RequestContext {
    pub(crate) shared: Arc<Shared>,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) request: RequestHead,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    /// The memory of the body.
    pub(crate) memory: Option<HeldMemory>,
    fingerprint: OnceLock<Fingerprint>,
    /// The suspect of which this is a trial, after its quarantine.
    pub(crate) trial: Option<Suspect>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: PoolName,
    pub(crate) holder: Option<KeyHolder>,
    /// The regions in which it may be served, by its route and client account.
    pub(crate) homes: Homes,
    pub(crate) started_at: Time,
    /// When the response stops being on time.
    pub(crate) target: Time,
    /// When the caller gives up or the route's timeout ends.
    pub(crate) deadline: Time,
    /// The failure domain to run in, if the results to read there outweigh the
    /// shared prefix.
    pub(crate) domain: Option<FailureDomain>,
    /// The failure domain that holds most of the stage results, and the cost of
    /// reading them from another one, in tokens.
    pub(crate) inputs: Option<(FailureDomain, u32)>,
    /// The version at which the stream began; `None` before its first event.
    pub(crate) version: Option<SoftwareVersion>,
    /// The endpoints that received the request.
    pub(crate) attempted: Vec<EndpointId>,
    /// Whether an endpoint may have run the request.
    pub(crate) may_have_run: bool,
    /// Whether the head of the response has been sent to the caller.
    pub(crate) response_started: bool,
    /// The time needed for the work queued ahead, if the service owner reported
    /// it.
    pub(crate) backlog: Duration,
    pub(crate) timeline: Timeline,
}

/// What is logged when a request ends.
#[derive(Debug, Default)]
pub(crate) struct Timeline {
    /// When the stages were complete.
    pub(crate) staged: Option<Time>,
    /// When the request was last sent to an endpoint.
    pub(crate) sent: Option<Time>,
    /// When the first event, or the whole response, arrived.
    pub(crate) first_output: Option<Time>,
    pub(crate) events: u64,
    pub(crate) outcome: Option<(u16, &'static str)>,
}

impl RequestContext {
    pub(crate) fn new(
        shared: Arc<Shared>,
        catalog: Arc<Catalog>,
        request: RequestHead,
        head: request::Parts,
        (route, holder): (Arc<Route>, Option<KeyHolder>),
        started_at: Time,
    ) -> Option<Self> {
        // A route that divides its requests sends a stream to where it began.
        let resumed = request.resumes.as_ref().and_then(|r| r.as_ref().ok());
        let sample = rapidhash_v3(resumed.unwrap_or(&request.id).as_bytes());
        let service = route.choose_target(sample)?.clone();
        let remaining = request
            .remaining
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let own_homes = holder.as_ref().map(|h| &h.homes);
        let homes = own_homes.map_or_else(|| route.homes.clone(), |h| route.homes.intersection(h));
        Some(Self {
            homes,
            target: started_at + route.target_time,
            deadline: started_at + remaining,
            shared,
            catalog,
            request,
            head,
            body: Bytes::new(),
            memory: None,
            fingerprint: OnceLock::new(),
            trial: None,
            route,
            service,
            holder,
            started_at,
            domain: None,
            inputs: None,
            version: None,
            attempted: Vec::new(),
            may_have_run: false,
            response_started: false,
            backlog: Duration::ZERO,
            timeline: Timeline::default(),
        })
    }

    pub(crate) fn account(&self) -> Option<&ClientAccount> {
        self.holder.as_ref().map(|h| &h.account)
    }

    /// Returns the hash that identifies attempts at the same request.
    ///
    /// The body must be set.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let hash = || fingerprint(&self.head, self.account(), &self.body);
        *self.fingerprint.get_or_init(hash)
    }

    /// Returns the suspects of the request that are refused, and for how much longer.
    fn quarantined(&self) -> Vec<(Suspect, Duration)> {
        let now = self.shared.now();
        let crashes = self.shared.crashes();
        crashes.quarantined(now, self.fingerprint(), &self.request.parts)
    }

    /// Returns the remaining quarantine, imposed because endpoints crashed
    /// while running the request or others with a part of its prompt.
    pub(crate) fn quarantine_remaining(&self) -> Option<Duration> {
        let mut refused = self.quarantined();
        if let Some(tried) = self.trial {
            let may_continue = self.shared.crashes().may_continue(self.shared.now(), tried);
            refused.retain(|(suspect, _)| *suspect != tried || !may_continue);
        }
        refused.into_iter().map(|(_, remaining)| remaining).max()
    }

    /// Counts a refusal because of what is quarantined.
    pub(crate) fn record_quarantine_refusal(&self) {
        for (suspect, _) in self.quarantined() {
            metrics::counter!("snipeyoke_quarantine_refusals_total", "kind" => suspect.kind())
                .increment(1);
            self.shared.crashes().record_refusal(suspect);
        }
    }

    /// Starts the trial attempt after a quarantine, if this node may run it.
    pub(crate) fn start_trial(&mut self) -> bool {
        let now = self.shared.now();
        let [(suspect, _)] = self.quarantined()[..] else {
            return false;
        };
        let own = self.shared.settings.listen.peers;
        // A trial on each node could crash as many endpoints as there are nodes.
        if self.shared.owners().trial_node(now, suspect) != Some(own) {
            return false;
        }
        let Some(verdict) = self.shared.crashes().try_start_trial(now, suspect) else {
            return false;
        };
        log::info!(event = "quarantine-trial", request = self.request.id.as_str(), suspect = suspect.to_string().as_str(), trials = verdict.trials; "");
        self.shared.dispatcher.announce_verdict(verdict);
        self.trial = Some(suspect);
        true
    }

    /// Waits until the request or a part of its prompt is refused.
    async fn await_quarantine(&self) {
        loop {
            let changed = self.shared.quarantines_changed.listen();
            if self.quarantine_remaining().is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Waits for a future until the request has to be given up, also because it
    /// is refused from now on.
    pub(crate) async fn before_quarantine<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let refused = async {
            self.await_quarantine().await;
            None
        };
        self.before_give_up(future).or(refused).await
    }

    /// Returns the urgency for a model; an account's own priority takes
    /// precedence.
    pub(crate) fn urgency(&self) -> u8 {
        let own = self.holder.as_ref().and_then(|h| h.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Returns whether only warm endpoints of the request's own service may get
    /// calls that no other node has admitted.
    pub(crate) fn limits_cold_calls(&self) -> bool {
        let service = self.catalog.service(&self.service);
        service.is_some_and(|s| s.cold_start.is_some())
    }

    /// Returns why no endpoint of a service may run this request or its stages, but
    /// for rests: these end, and those of stages bind the nodes that call them.
    pub(crate) fn unavailability(&self, service: &PoolName) -> Option<Unavailable> {
        if self.homes.is_empty() {
            return Some(Unavailable::OutsideHomes);
        }
        let now = self.shared.now();
        let directory = self.shared.directory();
        let why = directory.unavailability(now, service, (&self.homes, false));
        why.filter(|&why| why != Unavailable::Resting)
    }

    /// Returns when the first of the endpoints that rest and that could otherwise run
    /// this request ends its rest.
    pub(crate) fn first_rest_end(&self) -> Option<Time> {
        let rule = self.version_rule();
        let now = self.shared.now();
        let directory = self.shared.directory();
        directory.first_rest_end(now, &self.service, (&self.homes, &rule))
    }

    /// Returns whether all endpoints that could run this request rest until its
    /// deadline.
    pub(crate) fn is_rested_out(&self) -> bool {
        let now = self.shared.now();
        let directory = self.shared.directory();
        let why = directory.unavailability(now, &self.service, (&self.homes, false));
        drop(directory);
        let all_rest = why == Some(Unavailable::Resting);
        all_rest
            && self
                .first_rest_end()
                .is_some_and(|end| end >= self.deadline)
    }

    /// Returns the versions at which the request may run.
    pub(crate) fn version_rule(&self) -> VersionRule {
        match &self.version {
            Some(version) => VersionRule::At(version.clone()),
            None if self.route.kind.is_stream() && self.route.kind.is_retryable() => {
                self.shared.new_stream_rule(&self.service)
            }
            None => VersionRule::Any,
        }
    }

    /// Returns whether an endpoint may continue the stream, if it has begun.
    pub(crate) fn has_version(&self) -> bool {
        let now = self.shared.now();
        let rule = self.version_rule();
        let directory = self.shared.directory();
        self.version.is_none() || directory.satisfies(now, &self.service, &rule)
    }

    /// Returns the remaining time.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.since(self.shared.now())
    }

    /// Waits for a future until the request's deadline, or until a node that
    /// shuts down gives up unanswered requests.
    ///
    /// Used before a response starts, while the node can still send a refusal.
    pub(crate) async fn before_give_up<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let given_up = async {
            self.shared.given_up.wait().await;
            None
        };
        self.before_deadline(future).or(given_up).await
    }

    /// Waits for a future while the response can still be expected to end
    /// before the node shuts down.
    pub(crate) async fn before_latest_send<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let too_late = async {
            self.shared.out_of_rotation.wait().await;
            let latest = self.latest_send();
            Timer::after(latest.since(self.shared.now())).await;
            None
        };
        if self.response_started {
            return self.before_give_up(future).await;
        }
        self.before_give_up(future).or(too_late).await
    }

    /// Waits for a future until the request's deadline.
    pub(crate) async fn before_deadline<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let timeout = async {
            Timer::after(self.remaining()).await;
            None
        };
        async { Some(future.await) }.or(timeout).await
    }

    /// Returns whether another attempt is allowed, and spends the retry budget.
    pub(crate) fn try_spend_retry(&self) -> bool {
        let attempts_left = (self.attempted.len() as u32) < self.route.attempts;
        let now = self.shared.now();
        let shutting_down = !self.response_started && self.refused_by_shutdown(Remaining::Answer);
        let time_left = now < self.deadline && !self.shared.given_up.is_set() && !shutting_down;
        // A trial is a single attempt, whatever its outcome.
        let refused = self.trial.is_some() || self.quarantine_remaining().is_some();
        attempts_left && time_left && !refused && self.shared.budget().try_spend(now, &self.service)
    }

    /// Returns the refusal for a request past its deadline or the node's
    /// shutdown.
    pub(crate) fn timeout_refusal(&self) -> Refusal {
        if self.may_have_run {
            Refusal::Timeout
        } else if self.shared.now() < self.deadline {
            Refusal::ShuttingDown
        } else {
            Refusal::TimeoutNotRun
        }
    }

    /// Returns a number in `0..1` that differs between requests.
    pub(crate) fn sample(&self) -> f64 {
        sample(&self.request.id)
    }

    /// Sets the outcome to log.
    pub(crate) const fn set_outcome(&mut self, status: StatusCode, outcome: &'static str) {
        self.timeline.outcome = Some((status.as_u16(), outcome));
    }
}

/// Returns a number in `0..1` that differs between ids.
pub(crate) fn sample(id: &str) -> f64 {
    (rapidhash_v3(id.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64
}

impl Drop for RequestContext {
    fn drop(&mut self) {
        let now = self.shared.now();
        let cut = self.shared.shutdown.get().is_some_and(|s| now >= s.cut_at);
        let unanswered = if cut { "cut-leaving" } else { "caller-gone" };
        let (status, outcome) = self.timeline.outcome.unwrap_or((0, unanswered));
        let elapsed = now.since(self.started_at);
        metrics::counter!("snipeyoke_requests_total", "route" => self.route.name.clone(), "outcome" => outcome).increment(1);
        metrics::histogram!("snipeyoke_request_seconds", "outcome" => outcome).record(elapsed);
        if let (Some(sent), "answered") = (self.timeline.sent, outcome) {
            // A resumed response says little about the duration of a whole one.
            if self.request.last_event.is_none() {
                let timing = RequestTiming {
                    wait: sent.since(self.started_at),
                    answer: now.since(sent),
                    tokens: self.request.prompt.and_then(|p| p.output_length()),
                };
                self.shared.durations().observe(&self.route.name, timing);
            }
            let parts = &self.request.parts;
            let mut crashes = self.shared.crashes();
            let (lifted, cleared) = crashes.on_answered(now, self.fingerprint(), parts);
            drop(crashes);
            for verdict in lifted {
                self.shared.dispatcher.announce_verdict(verdict);
            }
            if !cleared.is_empty() {
                self.shared.dispatcher.send_clearances(cleared);
            }
        }
        let since =
            |at: Option<Time>| at.map_or(0, |at| at.since(self.started_at).as_millis() as u64);
        let endpoint = self.attempted.last().map(ToString::to_string);
        let fingerprint = self.fingerprint.get().map(ToString::to_string);
        log::info!(
            event = "request-ended",
            request = self.request.id.as_str(),
            route = self.route.name.as_str(),
            account = self.account().map_or("-", |a| a.as_str()),
            status,
            outcome,
            took_ms = elapsed.as_millis() as u64,
            staged_ms = since(self.timeline.staged),
            first_ms = since(self.timeline.first_output),
            events = self.timeline.events,
            answer_tokens = self.request.prompt.and_then(|p| p.max_output).unwrap_or_default(),
            expected_tokens = self.request.prompt.and_then(|p| p.expected_output).unwrap_or_default(),
            tries = self.attempted.len(),
            endpoint = endpoint.as_deref().unwrap_or("-"),
            fingerprint = fingerprint.as_deref().unwrap_or("-"),
            config = self.catalog.version();
            ""
        );
    }
}
