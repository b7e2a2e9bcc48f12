//! A single attempt of a request at one endpoint.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::serving::catalog::RouteKind;
use snipeyoke_lib::serving::cold_start::ADMISSION_LIFETIME;
use snipeyoke_lib::serving::crashes::Casualty;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::crashes::PartId;
use snipeyoke_lib::serving::crashes::RunNumber;
use snipeyoke_lib::serving::directory::Entry;
use snipeyoke_lib::serving::durations::Remaining;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::serving::kept_connections::CallKind;
use snipeyoke_lib::serving::rate_limit::RateNotice;
use snipeyoke_lib::serving::self_report::RestNotice;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::flag::Flag;

use crate::call::BodyError;
use crate::call::Call;
use crate::call::CallError;
use crate::call::send_completed;
use crate::choice::choose_endpoint;
use crate::choice::log_choice;
use crate::dialect::ForwardContext;
use crate::dialect::ResponseHead;
use crate::dialect::Verdict;
use crate::dispatch::Booking;
use crate::kept_connections::Pooling;
use crate::kept_connections::report_foreign;
use crate::kept_connections::send_pooled;
use crate::prefix_fetch::PrefixFetch;
use crate::refusal::Refusal;
use crate::request_context::RequestContext;
use crate::shared::Shared;
use crate::speeds::NamedSpeed;
use crate::speeds::Work;

/// The maximum number of failed connections per attempt.
///
/// A failed connection is not an attempt, since the endpoint never received the
/// request. If this many fail, the service is considered down.
const CONNECTS_MAX: usize = 4;

/// The result of one attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The endpoint responded; the body is still to be read.
    Response(Box<OpenResponse>),
    /// The endpoint did not run the request in this attempt.
    NotRun(Refusal),
    /// Not sent, and another attempt would not be either.
    Unserved(Refusal),
    /// An input from an earlier stage is gone; the request did not run.
    InputsGone,
    /// The request may have run, and there is no response.
    Unknown(Refusal),
}

/// An endpoint's response whose body is still to be read.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    pub(crate) call: Call,
    pub(crate) head: ResponseHead,
    pub(crate) flight: InFlight,
    pub(crate) sent: Time,
}

/// Counts a call as in flight at its endpoint until dropped.
///
/// If dropped while the endpoint may still work on the call, reports the
/// request as given up.
#[derive(Debug)]
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    pub(crate) entry: Entry,
    /// The booking, if another node may hold it.
    booking: Option<Booking>,
    request: Fingerprint,
    parts: Arc<[PartId]>,
    sent: Time,
    /// When the answer began, and the number of the run.
    run: Option<(Time, RunNumber)>,
    /// Set before the first byte of the request may be sent.
    handed_off: Flag,
    /// Whether the outcome at the endpoint is known.
    settled: bool,
    /// What the head of the response says of the endpoint's speed.
    named_speed: Option<NamedSpeed>,
}

impl InFlight {
    fn new(ctx: &RequestContext, entry: &Entry, booking: Option<Booking>) -> Self {
        ctx.shared.directory().call_started(&entry.id);
        ctx.shared.record_call(&entry.domain);
        Self {
            shared: Arc::clone(&ctx.shared),
            entry: entry.clone(),
            booking,
            request: ctx.fingerprint(),
            parts: Arc::clone(&ctx.request.parts),
            sent: ctx.shared.now(),
            run: None,
            handed_off: Flag::default(),
            settled: false,
            named_speed: None,
        }
    }

    /// Marks the outcome at the endpoint as known.
    pub(crate) const fn settle(&mut self) {
        self.settled = true;
    }

    /// Returns whether the answer has begun.
    pub(crate) const fn has_begun(&self) -> bool {
        self.run.is_some()
    }

    /// Records that the answer has begun.
    pub(crate) fn begin(&mut self) {
        if self.run.is_some() {
            return;
        }
        let now = self.shared.now();
        let number = self.shared.dispatcher.next_run();
        self.run = Some((now, number));
        let parts = Arc::clone(&self.parts);
        self.shared.crashes().on_answer_began(now, number, parts);
    }

    /// Returns what the endpoint loses with this request if it ends now.
    fn casualty(&self) -> Casualty {
        let now = self.shared.now();
        Casualty {
            request: self.request,
            parts: Arc::clone(&self.parts),
            sent: self.sent,
            answered: self
                .run
                .map_or(Duration::ZERO, |(began, _)| now.since(began)),
        }
    }

    fn incarnation(&self) -> Incarnation {
        Incarnation {
            endpoint: self.entry.id.clone(),
            started_at: self.entry.started_at,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.directory().call_ended(&self.entry.id);
        if let Some((_, number)) = self.run {
            self.shared.crashes().on_run_ended(number);
        }
        if !self.settled && self.handed_off.is_set() {
            self.shared
                .dispatcher
                .request_abandoned(self.incarnation(), self.casualty());
        }
    }
}

/// Chooses an endpoint and sends the request to it.
pub(crate) async fn attempt(
    ctx: &mut RequestContext,
    inputs: &[String],
    last_event: Option<u64>,
) -> AttemptResult {
    let mut failed = Vec::new();
    loop {
        let asked_at = ctx.shared.now();
        let (choice, booking) = match choose_endpoint(ctx, &failed).await {
            Ok(chosen) => chosen,
            Err(refusal) => return AttemptResult::Unserved(refusal),
        };
        // The request may have been quarantined while its stages ran.
        if ctx.quarantine_remaining().is_some() {
            return AttemptResult::Unserved(Refusal::Quarantined);
        }
        // A response that has started can no longer be refused.
        if !ctx.response_started && ctx.refused_by_shutdown(Remaining::Answer) {
            return AttemptResult::Unserved(Refusal::ShuttingDown);
        }
        log_choice(ctx, &choice);
        let fetch = booking.as_ref().and_then(Booking::source);
        let fetch = fetch.map(|source| PrefixFetch::new(ctx, &choice.entry, &failed, source));
        let mut flight = InFlight::new(ctx, &choice.entry, booking);
        let sent = ctx.shared.now();
        if !ctx.response_started {
            ctx.timeline.sent = Some(sent);
        }
        let context = ForwardContext {
            account: ctx.account(),
            endpoint: &choice.entry.id,
            remaining: ctx.remaining(),
            inputs,
            last_event,
            urgency: ctx.route.kind.is_stream().then(|| ctx.urgency()),
        };
        let body = ctx.body.clone();
        let request = ctx.shared.dialect.forward_request(&ctx.head, body, context);
        let handed_off = flight.handed_off.clone();
        let limited = choice.cold && ctx.limits_cold_calls();
        let shared = Arc::clone(&ctx.shared);
        let may_send = || {
            let now = shared.now();
            let admitted = !limited || now.since(asked_at) <= ADMISSION_LIFETIME;
            admitted && shared.directory().accepts_calls(now, &choice.entry)
        };
        let how = (&choice.entry, pooling(ctx.route.kind), fetch);
        // Boxed, since the states of all ways to send would make each request large.
        let response = Box::pin(send(&shared, how, request, (&handed_off, &may_send)));
        let may_have_run = std::mem::replace(&mut ctx.may_have_run, true);
        match ctx.before_quarantine(response).await {
            None if !handed_off.is_set() && ctx.quarantine_remaining().is_some() => {
                ctx.may_have_run = may_have_run;
                return AttemptResult::Unserved(Refusal::Quarantined);
            }
            None if ctx.quarantine_remaining().is_some() => {
                ctx.attempted.push(choice.entry.id);
                return AttemptResult::Unserved(Refusal::ResponseLost);
            }
            None if !handed_off.is_set() => {
                ctx.may_have_run = may_have_run;
                return AttemptResult::NotRun(ctx.timeout_refusal());
            }
            None => {
                ctx.attempted.push(choice.entry.id);
                return AttemptResult::Unknown(Refusal::Timeout);
            }
            Some(Ok(call)) => {
                ctx.attempted.push(choice.entry.id);
                return classify_response(ctx, call, flight, sent, may_have_run);
            }
            Some(Err(error)) => {
                flight.settle();
                if !error.is_withheld() && !error.is_stale() {
                    record_connect_error(ctx, &choice.entry.id, &error);
                    if let Some(booking) = &mut flight.booking {
                        booking.mark_failed();
                    }
                }
                if !error.is_not_sent() {
                    report_break(ctx, &mut flight);
                    ctx.attempted.push(choice.entry.id);
                    return AttemptResult::Unknown(Refusal::ResponseLost);
                }
                if error.is_refused() {
                    ctx.shared
                        .dispatcher
                        .connection_refused(flight.incarnation(), flight.entry.address);
                }
                ctx.may_have_run = may_have_run;
                failed.push(choice.entry.id);
                if failed.len() >= CONNECTS_MAX {
                    return AttemptResult::NotRun(Refusal::NoEndpoint);
                }
            }
        }
    }
}

/// Sends a request, with the source of its prefix if one was named.
async fn send(
    shared: &Shared,
    (entry, pooling, fetch): (&Entry, Pooling, Option<PrefixFetch>),
    request: Request<Full<Bytes>>,
    checks: (&Flag, &(dyn Fn() -> bool + Sync)),
) -> Result<Call, CallError> {
    let Some(fetch) = fetch else {
        return send_pooled(shared, (entry, pooling), request, checks).await;
    };
    let complete = || fetch.complete(request);
    send_completed(&shared.traffic, entry.address, complete, checks).await
}

/// Returns which connections a request may use.
///
/// After a close without a response nothing proves that a request did not run, and the
/// work of a stream is cancelled by closing its connection.
const fn pooling(kind: RouteKind) -> Pooling {
    match kind {
        RouteKind::Safe => Pooling::Reuse(CallKind::Plain),
        RouteKind::Unsafe => Pooling::KeepOnly(CallKind::Plain),
        RouteKind::Stream { .. } => Pooling::Never,
    }
}

fn record_connect_error(ctx: &RequestContext, endpoint: &EndpointId, error: &CallError) {
    let now = ctx.shared.now();
    if let Some(health) = ctx.shared.directory().health_mut(endpoint) {
        health.record_connection_failure(now);
    }
    log::warn!(event = "call-failed", request = ctx.request.id.as_str(), endpoint = endpoint.to_string().as_str(), error = error.to_string().as_str(); "");
}

/// Maps the head of a response to the result of the attempt.
fn classify_response(
    ctx: &mut RequestContext,
    call: Call,
    mut flight: InFlight,
    sent: Time,
    may_have_run: bool,
) -> AttemptResult {
    let shared = Arc::clone(&ctx.shared);
    let head = shared.dialect.parse_response(&call.head);
    let now = shared.now();
    let endpoint = flight.entry.id.clone();
    shared.report_unread(&endpoint, &head.unread);
    let is_own = head.id.as_deref() == Some(ctx.request.id.as_str());
    let rate = head.rate_evidence();
    let rate = rate.filter(|_| is_own || head.verdict == Verdict::NotRun);
    forward_rate_notice(&flight, rate);
    shared.on_response(&flight.entry, sent, &head, rate);
    flight.named_speed = NamedSpeed::of(now, &head.report);
    let status = call.head.status;
    // On a reused connection, the response to another call may arrive late.
    let is_foreign = call.is_reused() && !is_own;
    if is_foreign {
        report_foreign(&flight.entry, "plain");
    }
    if head.verdict != Verdict::Ran && !(is_foreign && head.id.is_some()) {
        flight.settle();
        // A refusal without an id does not prove that this request did not run.
        ctx.may_have_run = may_have_run || is_foreign;
        return classify_refusal(ctx, &endpoint, &head, status);
    }
    // An endpoint may send a second response to another request. Without this
    // check the caller would receive data of another caller.
    if !is_own || head.encoded {
        log::warn!(event = "answer-of-another", request = ctx.request.id.as_str(), endpoint = endpoint.to_string().as_str(), found = head.id.as_deref().unwrap_or("-"); "");
        if let Some(health) = shared.directory().health_mut(&endpoint) {
            health.record_failure(now);
        }
        return AttemptResult::Unknown(Refusal::ResponseLost);
    }
    AttemptResult::Response(Box::new(OpenResponse {
        call,
        head,
        flight,
        sent,
    }))
}

/// Tells the node that grants the requests to an endpoint what a response says about
/// its rate.
fn forward_rate_notice(flight: &InFlight, rate: Option<RateNotice>) {
    let was_limited = flight.shared.is_limited(&flight.entry.id);
    let news = rate.filter(|&rate| was_limited || rate != RateNotice::Unlimited);
    if let (Some(notice), Some(booking)) = (news, &flight.booking) {
        booking.rate_notice(notice);
    }
}

/// Maps an endpoint's refusal to the result of the attempt.
fn classify_refusal(
    ctx: &mut RequestContext,
    endpoint: &EndpointId,
    head: &ResponseHead,
    status: StatusCode,
) -> AttemptResult {
    let replaced = head.verdict == Verdict::WrongEndpoint;
    log::info!(event = "endpoint-refused", request = ctx.request.id.as_str(), endpoint = endpoint.to_string().as_str(), status = status.as_u16(), replaced; "");
    let now = ctx.shared.now();
    let mut directory = ctx.shared.directory();
    if replaced {
        directory.mark_replaced(endpoint);
        return AttemptResult::NotRun(Refusal::NoEndpoint);
    }
    if status == StatusCode::CONFLICT {
        drop(directory);
        ctx.attempted.pop();
        return AttemptResult::InputsGone;
    }
    // An endpoint that asks for a rest is not sick: it gets nothing for as long.
    let asks_for_rest = matches!(head.report.rest, RestNotice::Asked(_));
    if let Some(health) = directory.health_mut(endpoint).filter(|_| !asks_for_rest) {
        health.record_failure(now);
    }
    AttemptResult::NotRun(Refusal::Full)
}

/// Records the latency of a response against the service's expected time.
pub(crate) fn record_latency(ctx: &RequestContext, flight: &InFlight, sent: Time) {
    let shared = &ctx.shared;
    let endpoint = &flight.entry.id;
    let now = shared.now();
    let tokens = ctx.request.prompt.map_or(0, |p| p.tokens);
    let ratio = shared
        .paces()
        .observe(&ctx.service, tokens, now.since(sent));
    if let Some(health) = shared.directory().health_mut(endpoint) {
        health.record_response(now, ratio);
    }
    let elapsed = now.since(sent);
    let work = flight.booking.as_ref().and_then(Booking::work);
    let work = match (ctx.request.prompt, work) {
        (None, _) => Work::Plain,
        (Some(_), Some(work)) => Work::Booked(work),
        (Some(_), None) => Work::Unbooked(ratio),
    };
    if let (Work::Booked(work), None) = (&work, flight.named_speed) {
        let waited = work.ahead_tokens > 0;
        let observed = (elapsed, 1.0);
        shared
            .paces()
            .reading_ratio(&ctx.service, work.tokens(), observed, waited);
    }
    let speed = flight.named_speed.map(|named| {
        shared.observe_usual_time(&flight.entry, tokens, elapsed);
        shared.on_response_time(&flight.entry, (work, elapsed), named)
    });
    if let Some(booking) = &flight.booking {
        booking.first_event(ratio, speed);
    }
}

/// Records a response that reports an endpoint failure or was cut short.
pub(crate) fn record_failure(ctx: &RequestContext, flight: &mut InFlight) {
    let now = ctx.shared.now();
    if let Some(health) = ctx.shared.directory().health_mut(&flight.entry.id) {
        health.record_failure(now);
    }
    if let Some(booking) = &mut flight.booking {
        booking.mark_failed();
    }
}

/// Reports that a connection broke before the response was complete.
pub(crate) fn report_break(ctx: &RequestContext, flight: &mut InFlight) {
    flight.settle();
    let dispatcher = &ctx.shared.dispatcher;
    dispatcher.connection_broke(
        flight.incarnation(),
        flight.entry.address,
        flight.casualty(),
    );
}

/// Reports that the body of a response broke off while it was read.
pub(crate) fn report_broken_body(ctx: &RequestContext, flight: &mut InFlight, error: &BodyError) {
    log::warn!(event = "answer-broken", request = ctx.request.id.as_str(), endpoint = flight.entry.id.to_string().as_str(), error = error.to_string().as_str(); "");
    report_break(ctx, flight);
}

/// Returns whether a status claims that the request did not run.
///
/// Such a status must not be relayed from an endpoint that does not vouch for
/// it: the node would make a false claim of its own.
pub(crate) const fn claims_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
