//! One try of a request at one endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::serving::bookings::PlacementRequest;
use snipeyoke_lib::serving::crashes::Fingerprint;
use snipeyoke_lib::serving::directory::Choice;
use snipeyoke_lib::serving::directory::EndpointCriteria;
use snipeyoke_lib::serving::directory::Entry;
use snipeyoke_lib::serving::durations::Remaining;
use snipeyoke_lib::serving::endpoint_loss::Incarnation;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::time::Time;
use snipeyoke_runtime::flag::Flag;

use crate::call::Call;
use crate::call::CallError;
use crate::call::send_request;
use crate::dialect::ForwardContext;
use crate::dialect::ResponseHead;
use crate::dialect::Verdict;
use crate::dispatch::Booking;
use crate::refusal::Refusal;
use crate::shared::Shared;
use crate::ticket::Ticket;

/// How long a request waits for the first endpoint of its service.
///
/// Entries that lapsed with the registry are back within two seconds of its
/// return; a service without endpoints for longer has none.
const ENDPOINT_WAIT: Duration = Duration::from_secs(2);

/// The most connections that are tried for one request.
///
/// A failed connection is no try: the endpoint never had the request. With
/// more of them failing than this the service is away.
const CONNECTS_MAX: usize = 4;

/// How long a request waits to be told its endpoint.
///
/// The node that is asked answers within milliseconds. An endpoint chosen without
/// it is as good as one that is known this late: it has read 4,000 tokens by then.
const PLACE_WAIT: Duration = Duration::from_millis(60);

/// The shared tokens from which a prompt is kept to an endpoint.
///
/// Fewer are read again in less time than a busier endpoint costs.
const SHARED_MIN: u32 = 256;

/// What one try brought.
#[derive(Debug)]
pub(crate) enum Tried {
    /// An endpoint answers; the body is still to be read.
    Answered(Box<Answered>),
    /// Nothing ran at this try.
    NotRun(Refusal),
    /// It was not sent: its service has had no endpoint for a while.
    NoEndpoint,
    /// It was not sent: this node leaves before the answer would end.
    Leaving,
    /// One of the stages' results is gone; nothing ran.
    InputsGone,
    /// The request may have run, and there is no answer.
    Unknown(Refusal),
}

/// An endpoint's answer.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) call: Call,
    pub(crate) answer: ResponseHead,
    pub(crate) flight: InFlight,
    pub(crate) sent: Time,
}

/// Counts a call at its endpoint until it is dropped.
///
/// Dropped while the endpoint may still work on it, it tells that the request was
/// given up.
#[derive(Debug)]
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    pub(crate) endpoint: EndpointId,
    born: Option<u64>,
    address: SocketAddr,
    /// Its booking, if another node may know of it.
    booking: Option<Booking>,
    request: Fingerprint,
    /// Set before the first byte of the request may have left.
    handed: Flag,
    /// Whether it is known what became of it at the endpoint.
    settled: bool,
}

impl InFlight {
    fn new(ticket: &Ticket, entry: &Entry, booking: Option<Booking>) -> Self {
        ticket.shared.directory().call_started(&entry.id);
        Self {
            shared: Arc::clone(&ticket.shared),
            endpoint: entry.id.clone(),
            born: entry.started_at,
            address: entry.address,
            booking,
            request: ticket.fingerprint(),
            handed: Flag::default(),
            settled: false,
        }
    }

    /// Notes that it is known what became of it at the endpoint.
    pub(crate) const fn settle(&mut self) {
        self.settled = true;
    }

    fn run(&self) -> Incarnation {
        Incarnation {
            endpoint: self.endpoint.clone(),
            started_at: self.born,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.directory().call_ended(&self.endpoint);
        if !self.settled && self.handed.is_set() {
            self.shared
                .dispatcher
                .request_abandoned(self.run(), self.request);
        }
    }
}

/// Chooses an endpoint and sends the request to it.
pub(crate) async fn attempt(
    ticket: &mut Ticket,
    inputs: &[String],
    last_event: Option<u64>,
) -> Tried {
    let mut failed = Vec::new();
    loop {
        let booked = book(ticket, &failed).await;
        let (choice, booking) = match booked {
            Some((choice, booking)) => (Some(choice), Some(booking)),
            None => (choose(ticket, &failed).await, None),
        };
        let Some(choice) = choice else {
            return Tried::NoEndpoint;
        };
        // The verdict may have come while it waited in its stages.
        if ticket.quarantined().is_some() {
            return Tried::NotRun(Refusal::Quarantined);
        }
        // What has begun can't be refused any more.
        if !ticket.begun && ticket.refused_by_leaving(Remaining::Answer) {
            return Tried::Leaving;
        }
        log_choice(ticket, &choice);
        let mut flight = InFlight::new(ticket, &choice.entry, booking);
        let sent = ticket.shared.now();
        if !ticket.begun {
            ticket.timeline.sent = Some(sent);
        }
        let with = ForwardContext {
            account: ticket.account(),
            endpoint: &choice.entry.id,
            remaining: ticket.left(),
            inputs,
            last_event,
            urgency: ticket.route.kind.is_stream().then(|| ticket.urgency()),
        };
        let body = ticket.body.clone();
        let request = ticket
            .shared
            .dialect
            .forward_request(&ticket.head, body, with);
        let exec = Arc::clone(&ticket.shared.traffic);
        let handed = flight.handed.clone();
        let called = send_request(&exec, choice.entry.address, request, &handed);
        let may_have_run = std::mem::replace(&mut ticket.may_have_run, true);
        match ticket.within(called).await {
            None if !handed.is_set() => {
                ticket.may_have_run = may_have_run;
                return Tried::NotRun(ticket.timeout());
            }
            None => {
                ticket.tried.push(choice.entry.id);
                return Tried::Unknown(Refusal::Timeout);
            }
            Some(Ok(call)) => {
                ticket.tried.push(choice.entry.id);
                return judge(ticket, call, flight, sent, may_have_run);
            }
            Some(Err(error)) => {
                note_error(ticket, &choice.entry.id, &error);
                flight.settle();
                if let Some(booking) = &mut flight.booking {
                    booking.mark_failed();
                }
                if !error.is_not_sent() {
                    note_break(ticket, &mut flight);
                    ticket.tried.push(choice.entry.id);
                    return Tried::Unknown(Refusal::AnswerLost);
                }
                if error.is_refused() {
                    ticket
                        .shared
                        .dispatcher
                        .connection_refused(flight.run(), flight.address);
                }
                ticket.may_have_run = may_have_run;
                failed.push(choice.entry.id);
                if failed.len() >= CONNECTS_MAX {
                    return Tried::NotRun(Refusal::NoEndpoint);
                }
            }
        }
    }
}

/// Has the endpoint of a prompt chosen where all prompts are known.
///
/// `None` if this node has to choose by itself.
async fn book(ticket: &Ticket, failed: &[EndpointId]) -> Option<(Choice, Booking)> {
    let shared = &ticket.shared;
    let prompt = ticket.ask.prompt?;
    if !ticket.catalog.service(&ticket.service)?.is_engine {
        return None;
    }
    let keeps = prompt.shared >= SHARED_MIN;
    let mut avoid = ticket.tried.clone();
    avoid.extend_from_slice(failed);
    let wish = PlacementRequest {
        prefix: keeps.then_some(prompt.prefix),
        shared_tokens: prompt.shared,
        own_tokens: prompt.tokens.saturating_sub(prompt.shared),
        input_domain: ticket.inputs.as_ref().map(|(domain, _)| domain.clone()),
        remote_cost: ticket.inputs.as_ref().map_or(0, |(_, tokens)| *tokens),
        avoid,
    };
    let (booking, endpoint) = shared
        .dispatcher
        .request_placement(ticket.service.clone(), wish);
    let told = async { endpoint.recv().await.ok().flatten() };
    let over = async {
        async_io::Timer::after(PLACE_WAIT).await;
        None
    };
    let endpoint = futures_lite::future::or(told, over).await?;
    let tried = ticket.tried.contains(&endpoint) || failed.contains(&endpoint);
    let choice = shared.directory().booked_choice(shared.now(), &endpoint);
    let choice = choice.filter(|_| !tried)?;
    Some((choice, booking))
}

async fn choose(ticket: &Ticket, failed: &[EndpointId]) -> Option<Choice> {
    let shared = &ticket.shared;
    let until = shared.now() + ENDPOINT_WAIT;
    loop {
        let changed = shared.changed.listen();
        if let Some(choice) = pick(ticket, failed) {
            return Some(choice);
        }
        let left = until.min(ticket.due).since(shared.now());
        if left.is_zero() {
            return None;
        }
        let over = async_io::Timer::after(left);
        let timer = async {
            over.await;
        };
        futures_lite::future::or(changed, timer).await;
    }
}

fn pick(ticket: &Ticket, failed: &[EndpointId]) -> Option<Choice> {
    let mut avoid = ticket.tried.clone();
    avoid.extend_from_slice(failed);
    let prompt = ticket.ask.prompt.filter(|p| p.shared >= SHARED_MIN);
    let near = ticket.domain.as_ref();
    let wanted = EndpointCriteria {
        service: &ticket.service,
        avoid: &avoid,
        domain: near.or(Some(&ticket.shared.settings.domain)),
        strict: near.is_some(),
        prefix: prompt.map(|p| p.prefix),
    };
    ticket
        .shared
        .directory()
        .choose(ticket.shared.now(), wanted)
}

fn log_choice(ticket: &Ticket, choice: &Choice) {
    let endpoint = choice.entry.id.to_string();
    let now = ticket.shared.now();
    let known = ticket
        .shared
        .registry_polling()
        .freshness(ReplicaKind::Endpoints)
        .age(now);
    log::info!(
        event = "endpoint-chosen",
        request = ticket.ask.id.as_str(),
        endpoint = endpoint.as_str(),
        reason = choice.reason.to_string().as_str(),
        calls = choice.calls,
        report_ms = choice.report_age.as_millis().min(99_999) as u64,
        known_ms = known.unwrap_or_default().as_millis() as u64,
        left_ms = ticket.left().as_millis() as u64;
        ""
    );
}

fn note_error(ticket: &Ticket, endpoint: &EndpointId, error: &CallError) {
    let now = ticket.shared.now();
    if let Some(health) = ticket.shared.directory().health_mut(endpoint) {
        health.record_broken(now);
    }
    log::warn!(event = "call-failed", request = ticket.ask.id.as_str(), endpoint = endpoint.to_string().as_str(), error = error.to_string().as_str(); "");
}

/// Tells what the head of an answer means for the request.
fn judge(
    ticket: &mut Ticket,
    call: Call,
    mut flight: InFlight,
    sent: Time,
    may_have_run: bool,
) -> Tried {
    let shared = Arc::clone(&ticket.shared);
    let answer = shared.dialect.parse_response(&call.head);
    let now = shared.now();
    let endpoint = flight.endpoint.clone();
    if let Some(load) = answer.load {
        shared.directory().apply_load(now, &endpoint, load);
    }
    let status = call.head.status;
    if answer.verdict != Verdict::Ran {
        flight.settle();
        ticket.may_have_run = may_have_run;
        return refused(ticket, &endpoint, answer.verdict, status);
    }
    // An endpoint may send a second answer to another request; taken for this
    // one's, the caller would get a stranger's bytes.
    if answer.id.as_deref() != Some(ticket.ask.id.as_str()) || answer.encoded {
        log::warn!(event = "answer-of-another", request = ticket.ask.id.as_str(), endpoint = endpoint.to_string().as_str(), found = answer.id.as_deref().unwrap_or("-"); "");
        if let Some(health) = shared.directory().health_mut(&endpoint) {
            health.record_failure(now);
        }
        return Tried::Unknown(Refusal::AnswerLost);
    }
    Tried::Answered(Box::new(Answered {
        call,
        answer,
        flight,
        sent,
    }))
}

/// Tells what an endpoint's refusal means for the request.
fn refused(
    ticket: &mut Ticket,
    endpoint: &EndpointId,
    verdict: Verdict,
    status: StatusCode,
) -> Tried {
    let replaced = verdict == Verdict::WrongEndpoint;
    log::info!(event = "endpoint-refused", request = ticket.ask.id.as_str(), endpoint = endpoint.to_string().as_str(), status = status.as_u16(), replaced; "");
    let now = ticket.shared.now();
    let mut directory = ticket.shared.directory();
    if replaced {
        directory.mark_replaced(endpoint);
        return Tried::NotRun(Refusal::NoEndpoint);
    }
    if status == StatusCode::CONFLICT {
        drop(directory);
        ticket.tried.pop();
        return Tried::InputsGone;
    }
    if let Some(health) = directory.health_mut(endpoint) {
        health.record_failure(now);
    }
    Tried::NotRun(Refusal::Full)
}

/// Notes an answer's time against what was expected of the service.
pub(crate) fn note_time(ticket: &Ticket, flight: &InFlight, sent: Time) {
    let shared = &ticket.shared;
    let endpoint = &flight.endpoint;
    let now = shared.now();
    let tokens = ticket.ask.prompt.map_or(0, |p| p.tokens);
    let ratio = shared
        .paces()
        .observe(&ticket.service, tokens, now.since(sent));
    if let Some(health) = shared.directory().health_mut(endpoint) {
        health.record_response(now, ratio);
    }
    if let Some(booking) = &flight.booking {
        booking.first_event(ratio);
    }
}

/// Notes an answer that says that the endpoint failed, or was broken off.
pub(crate) fn note_failure(ticket: &Ticket, flight: &mut InFlight) {
    let now = ticket.shared.now();
    if let Some(health) = ticket.shared.directory().health_mut(&flight.endpoint) {
        health.record_failure(now);
    }
    if let Some(booking) = &mut flight.booking {
        booking.mark_failed();
    }
}

/// Notes that the connection of a call broke before its whole answer.
pub(crate) fn note_break(ticket: &Ticket, flight: &mut InFlight) {
    flight.settle();
    let dispatcher = &ticket.shared.dispatcher;
    dispatcher.connection_broke(flight.run(), flight.address, flight.request);
}

/// Tells whether a status says that the request did not run.
///
/// Passed on from an endpoint that does not vouch for it, the promise would be
/// the node's own, and false.
pub(crate) const fn is_promise(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
