//! One client attempt on its way, owned by this node alone.

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
use snipeyoke_lib::serving::catalog::Catalog;
use snipeyoke_lib::serving::catalog::KeyHolder;
use snipeyoke_lib::serving::catalog::Route;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::durations::Remaining;
use snipeyoke_lib::serving::durations::RequestTiming;
use snipeyoke_lib::time::Time;

use crate::dialect::RequestHead;
use crate::fingerprint::fingerprint;
use crate::refusal::Refusal;
use crate::shared::Shared;

/// A client attempt that has a route, and what became of it so far.
#[derive(Debug)]
pub(crate) struct Ticket {
    pub(crate) shared: Arc<Shared>,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) ask: RequestHead,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    fingerprint: OnceLock<Fingerprint>,
    /// Whether it is the trial after a quarantine.
    pub(crate) trial: bool,
    pub(crate) route: Arc<Route>,
    pub(crate) service: PoolName,
    pub(crate) holder: Option<KeyHolder>,
    pub(crate) began: Time,
    /// When the answer stops being on time.
    pub(crate) goal: Time,
    /// When the caller, or the route, gives the request up.
    pub(crate) due: Time,
    /// Where the request is to run, if its results outweigh its prefix.
    pub(crate) domain: Option<FailureDomain>,
    /// Where most results of its stages lie, and what it costs to read them
    /// elsewhere, in tokens.
    pub(crate) inputs: Option<(FailureDomain, u32)>,
    /// The endpoints that it was sent to.
    pub(crate) tried: Vec<EndpointId>,
    /// Whether an endpoint may have run it.
    pub(crate) may_have_run: bool,
    /// Whether its caller has the head of an answer already.
    pub(crate) begun: bool,
    /// How long what waits before it takes, where that was told.
    pub(crate) backlog: Duration,
    pub(crate) timeline: Timeline,
}

/// What the log tells of a request at its end.
#[derive(Debug, Default)]
pub(crate) struct Timeline {
    /// When its stages were done.
    pub(crate) staged: Option<Time>,
    /// When it was last sent to an endpoint.
    pub(crate) sent: Option<Time>,
    /// When its first event, or its answer, came.
    pub(crate) first: Option<Time>,
    pub(crate) events: u64,
    pub(crate) ended: Option<(u16, &'static str)>,
}

impl Ticket {
    pub(crate) fn new(
        shared: Arc<Shared>,
        catalog: Arc<Catalog>,
        ask: RequestHead,
        head: request::Parts,
        (route, holder): (Arc<Route>, Option<KeyHolder>),
        began: Time,
    ) -> Option<Self> {
        let draw = rapidhash_v3(ask.id.as_bytes());
        let service = route.choose_target(draw)?.clone();
        let left = ask.remaining.unwrap_or(route.timeout).min(route.timeout);
        Some(Self {
            goal: began + route.target_time,
            due: began + left,
            shared,
            catalog,
            ask,
            head,
            body: Bytes::new(),
            fingerprint: OnceLock::new(),
            trial: false,
            route,
            service,
            holder,
            began,
            domain: None,
            inputs: None,
            tried: Vec::new(),
            may_have_run: false,
            begun: false,
            backlog: Duration::ZERO,
            timeline: Timeline::default(),
        })
    }

    pub(crate) fn account(&self) -> Option<&ClientAccount> {
        self.holder.as_ref().map(|h| &h.account)
    }

    /// Returns the hash by which other attempts at the same request are
    /// recognized; the body must be there.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let hash = || fingerprint(&self.head, self.account(), &self.body);
        *self.fingerprint.get_or_init(hash)
    }

    /// Returns for how much longer it is refused because endpoints end under it.
    pub(crate) fn quarantined(&self) -> Option<Duration> {
        let now = self.shared.now();
        let request = self.fingerprint();
        let crashes = self.shared.crashes();
        let left = crashes.quarantine_remaining(now, request);
        left.filter(|_| !self.trial || !crashes.may_continue(now, request))
    }

    /// Takes it as the trial after its quarantine, if this node may try it.
    pub(crate) fn try_quarantined(&mut self) -> bool {
        let now = self.shared.now();
        let request = self.fingerprint();
        let counters = self.shared.owners().crash_counters(now, request);
        let own = self.shared.settings.listen.peers;
        // Tried at each node, it would end as many endpoints as there are nodes.
        self.trial =
            counters.first() == Some(&own) && self.shared.crashes().try_start_trial(now, request);
        if self.trial {
            log::info!(event = "quarantine-trial", request = self.ask.id.as_str(), fingerprint = request.to_string().as_str(); "");
        }
        self.trial
    }

    /// Returns the urgency for a model; an account's own goes first.
    pub(crate) fn urgency(&self) -> u8 {
        let own = self.holder.as_ref().and_then(|h| h.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Returns the time left as of now.
    pub(crate) fn left(&self) -> Duration {
        self.due.since(self.shared.now())
    }

    /// Waits for a future as long as the request has time, and the node.
    ///
    /// For what comes before an answer begins: a leaving node gives it up while
    /// it can still tell the caller.
    pub(crate) async fn within<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let overtime = async {
            self.shared.overtime.wait().await;
            None
        };
        self.in_time(future).or(overtime).await
    }

    /// Waits for a future as long as the answer can still be expected to end
    /// before the node leaves.
    pub(crate) async fn in_time_to_send<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let late = async {
            self.shared.out_of_rotation.wait().await;
            let latest = self.latest_send();
            Timer::after(latest.since(self.shared.now())).await;
            None
        };
        if self.begun {
            return self.within(future).await;
        }
        self.within(future).or(late).await
    }

    /// Waits for a future as long as the request has time.
    pub(crate) async fn in_time<T>(&self, future: impl Future<Output = T>) -> Option<T> {
        let over = async {
            Timer::after(self.left()).await;
            None
        };
        async { Some(future.await) }.or(over).await
    }

    /// Tells whether another endpoint may be tried, and spends the budget.
    pub(crate) fn may_try_again(&self) -> bool {
        let more = (self.tried.len() as u32) < self.route.attempts;
        let now = self.shared.now();
        let leaves = !self.begun && self.refused_by_leaving(Remaining::Answer);
        let time = now < self.due && !self.shared.overtime.is_set() && !leaves;
        // A trial is one send, whatever became of it.
        let refused = self.trial || self.quarantined().is_some();
        more && time && !refused && self.shared.budget().try_spend(now, &self.service)
    }

    /// Returns the refusal for a request whose time, or the node's, is over.
    pub(crate) fn timeout(&self) -> Refusal {
        if self.may_have_run {
            Refusal::Timeout
        } else if self.shared.now() < self.due {
            Refusal::Leaving
        } else {
            Refusal::TimeoutNotRun
        }
    }

    /// Returns a number in `0..1` that differs from request to request.
    pub(crate) fn draw(&self) -> f64 {
        draw(&self.ask.id)
    }

    /// Notes how the request ended, for the log.
    pub(crate) const fn end(&mut self, status: StatusCode, outcome: &'static str) {
        self.timeline.ended = Some((status.as_u16(), outcome));
    }
}

/// Returns a number in `0..1` that differs from id to id.
pub(crate) fn draw(id: &str) -> f64 {
    (rapidhash_v3(id.as_bytes()) >> 11) as f64 / (1_u64 << 53) as f64
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.shared.now();
        let cut = self.shared.stop.get().is_some_and(|s| now >= s.cut_at);
        let unheard = if cut { "cut-leaving" } else { "caller-gone" };
        let (status, outcome) = self.timeline.ended.unwrap_or((0, unheard));
        let took = now.since(self.began);
        metrics::counter!("snipeyoke_requests_total", "route" => self.route.name.clone(), "outcome" => outcome).increment(1);
        metrics::histogram!("snipeyoke_request_seconds", "outcome" => outcome).record(took);
        if let (Some(sent), "answered") = (self.timeline.sent, outcome) {
            // The rest of an answer says little about a whole one.
            if self.ask.last_event.is_none() {
                let took = RequestTiming {
                    wait: sent.since(self.began),
                    answer: now.since(sent),
                    tokens: self.ask.prompt.and_then(|p| p.output_length()),
                };
                self.shared.durations().observe(&self.route.name, took);
            }
            let lifted = self.shared.crashes().on_answered(now, self.fingerprint());
            if let Some(lifted) = lifted {
                self.shared.dispatcher.announce_verdict(lifted);
            }
        }
        let since = |at: Option<Time>| at.map_or(0, |at| at.since(self.began).as_millis() as u64);
        let endpoint = self.tried.last().map(ToString::to_string);
        let fingerprint = self.fingerprint.get().map(ToString::to_string);
        log::info!(
            event = "request-ended",
            request = self.ask.id.as_str(),
            route = self.route.name.as_str(),
            account = self.account().map_or("-", |a| a.as_str()),
            status,
            outcome,
            took_ms = took.as_millis() as u64,
            staged_ms = since(self.timeline.staged),
            first_ms = since(self.timeline.first),
            events = self.timeline.events,
            answer_tokens = self.ask.prompt.and_then(|p| p.max_output).unwrap_or_default(),
            expected_tokens = self.ask.prompt.and_then(|p| p.expected_output).unwrap_or_default(),
            tries = self.tried.len(),
            endpoint = endpoint.as_deref().unwrap_or("-"),
            fingerprint = fingerprint.as_deref().unwrap_or("-"),
            config = self.catalog.version();
            ""
        );
    }
}
