//! The choice of the endpoint for an attempt, by this node or by the one that books
//! its service.

use std::time::Duration;

use snipeyoke_lib::ids::EndpointId;
use snipeyoke_lib::serving::bookings::PlacementRequest;
use snipeyoke_lib::serving::directory::Choice;
use snipeyoke_lib::serving::directory::EndpointCriteria;
use snipeyoke_lib::serving::directory::Unavailable;
use snipeyoke_lib::serving::directory::VersionRule;
use snipeyoke_lib::serving::rate_limit::interval;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::units::RequestRate;

use crate::dialect::Prompt;
use crate::dispatch::Booking;
use crate::dispatch::PlacedRequest;
use crate::refusal::Refusal;
use crate::request_context::RequestContext;

/// How long a request waits for the first endpoint of its service.
///
/// Entries that expired during a registry outage are back within two seconds of
/// its return. A service without endpoints for longer has none.
const ENDPOINT_WAIT: Duration = Duration::from_secs(2);

/// How long a new stream waits until the version of an endpoint is recorded.
///
/// The recording node hears of an endpoint within a second, and writes within
/// milliseconds. While the registry is away nothing is recorded, and the endpoints of
/// recorded versions may all have left.
const RECORD_WAIT: Duration = Duration::from_secs(1);

/// How long a request waits for the response to its placement request.
///
/// The booking node responds within milliseconds. An endpoint chosen locally is
/// as good as one known this late: it has read 4,000 tokens by then.
const PLACEMENT_WAIT: Duration = Duration::from_millis(60);

/// How long a stream that has begun waits for the end of a rest.
///
/// Callers abandon a stream after a gap of two seconds.
const REST_WAIT_MAX: Duration = Duration::from_secs(1);

/// The number of shared tokens from which a prompt stays with one endpoint.
///
/// Reading fewer tokens again costs less time than using a busier endpoint.
const SHARED_TOKENS_MIN: u32 = 256;

/// Chooses an endpoint, by the node that books the service or by this one.
///
/// Waits for one no longer than for a response: until the deadline, the end of the
/// grace period or a quarantine of the request. If there is none, sets the time after
/// which one may be had.
pub(crate) async fn choose_endpoint(
    ctx: &mut RequestContext,
    failed: &[EndpointId],
) -> Result<(Choice, Option<Booking>), Refusal> {
    let chosen = ctx.before_quarantine(place_or_wait(ctx, failed)).await;
    let refusal = match chosen {
        Some(Ok(chosen)) => return Ok(chosen),
        Some(Err(refusal)) => refusal,
        None if ctx.quarantine_remaining().is_some() => Refusal::Quarantined,
        None => ctx.timeout_refusal(),
    };
    let now = ctx.shared.now();
    let backlog = match refusal {
        Refusal::Limited => Some(total_rate(ctx).map_or(Duration::ZERO, interval)),
        Refusal::Resting => ctx.first_rest_end().map(|end| end.since(now)),
        _ => None,
    };
    ctx.backlog = backlog.unwrap_or(ctx.backlog);
    Err(refusal)
}

async fn place_or_wait(
    ctx: &RequestContext,
    failed: &[EndpointId],
) -> Result<(Choice, Option<Booking>), Refusal> {
    if let Some((choice, booking)) = request_placement(ctx, failed).await {
        return Ok((choice, Some(booking)));
    }
    let choice = wait_for_choice(ctx, failed).await?;
    Ok((choice, None))
}

/// Requests the endpoint for a prompt from the node that books its service.
///
/// Returns `None` if this node has to choose by itself.
async fn request_placement(
    ctx: &RequestContext,
    failed: &[EndpointId],
) -> Option<(Choice, Booking)> {
    let shared = &ctx.shared;
    let Placeable { prompt, limited } = placeable(ctx, failed)?;
    let has_shared = prompt.shared >= SHARED_TOKENS_MIN;
    let mut avoid = ctx.attempted.clone();
    avoid.extend_from_slice(failed);
    let resting = shared.directory().resting(shared.now(), &ctx.service);
    let placement = PlacementRequest {
        prefix: has_shared.then_some(prompt.prefix),
        shared_tokens: prompt.shared,
        own_tokens: prompt.tokens.saturating_sub(prompt.shared),
        input_domain: ctx.inputs.as_ref().map(|(domain, _)| domain.clone()),
        remote_cost: ctx.inputs.as_ref().map_or(0, |(_, tokens)| *tokens),
        avoid,
        resting,
        homes: ctx.homes.clone(),
        leading: ctx.request.leading.clone(),
        moved: false,
        only: limited.clone().filter(|_| total_rate(ctx).is_none()),
        versions: ctx.version_rule(),
    };
    let (mut booking, endpoint) = shared
        .dispatcher
        .request_placement(ctx.service.clone(), placement);
    let placed = async { endpoint.recv().await.ok().flatten() };
    let timeout = async {
        async_io::Timer::after(PLACEMENT_WAIT).await;
        None
    };
    let Some(placed) = futures_lite::future::or(placed, timeout).await else {
        if let Some(limited) = limited {
            shared.directory().pause_grants(shared.now(), &limited);
        }
        return None;
    };
    let PlacedRequest {
        endpoint,
        work,
        source,
    } = placed;
    booking.set_work(work);
    booking.set_source(source);
    let rule = ctx.version_rule();
    let attempted = ctx.attempted.contains(&endpoint) || failed.contains(&endpoint);
    let choice = shared
        .directory()
        .booked_choice(shared.now(), &endpoint, &rule);
    let choice = choice.filter(|_| !attempted)?;
    Some((choice, booking))
}

/// A request for which another node chooses the endpoint.
struct Placeable {
    prompt: Prompt,
    /// The endpoint that this node would choose, if it names a rate, so that
    /// another node has to grant the request.
    limited: Option<EndpointId>,
}

/// Returns what another node has to place; `None` if this node chooses by itself.
fn placeable(ctx: &RequestContext, failed: &[EndpointId]) -> Option<Placeable> {
    let is_engine = ctx.catalog.service(&ctx.service)?.is_engine;
    let prompt = ctx.request.prompt.filter(|_| is_engine);
    if prompt.is_some() || needs_admission(ctx) {
        let prompt = prompt.unwrap_or_default();
        return Some(Placeable {
            prompt,
            limited: None,
        });
    }
    let versions = ctx.version_rule();
    let endpoint = choose_now(ctx, failed, (Limits::Any, &versions))?.entry.id;
    let now = ctx.shared.now();
    let directory = ctx.shared.directory();
    let paused_until = directory.get(&endpoint)?.rate_limit()?.paused_until;
    drop(directory);
    if now < paused_until {
        ctx.shared.record_held_back(&endpoint);
        return None;
    }
    Some(Placeable {
        prompt: Prompt::default(),
        limited: Some(endpoint),
    })
}

/// Returns the rate of all endpoints that the request may use, if none of them
/// gets requests without a grant.
fn total_rate(ctx: &RequestContext) -> Option<RequestRate> {
    let now = ctx.shared.now();
    let criteria = (&ctx.homes, ctx.limits_cold_calls());
    let directory = ctx.shared.directory();
    directory.total_rate(now, &ctx.service, criteria)
}

/// Returns whether all endpoints of the request's service are cold, so that
/// another node has to admit the call.
fn needs_admission(ctx: &RequestContext) -> bool {
    let now = ctx.shared.now();
    let warm_only = ctx.limits_cold_calls();
    let directory = ctx.shared.directory();
    let why = directory.unavailability(now, &ctx.service, (&ctx.homes, warm_only));
    why == Some(Unavailable::Cold)
}

/// Waits for an endpoint that may get the request.
async fn wait_for_choice(ctx: &RequestContext, failed: &[EndpointId]) -> Result<Choice, Refusal> {
    let shared = &ctx.shared;
    let started_at = shared.now();
    let (record_by, deadline) = (started_at + RECORD_WAIT, started_at + ENDPOINT_WAIT);
    let mut logged = false;
    loop {
        let changed = shared.endpoints_changed.listen();
        let versions = ctx.version_rule();
        if let Some(choice) = choose_now(ctx, failed, (Limits::UnlimitedOnly, &versions)) {
            return Ok(choice);
        }
        if let Some(why) = ctx.unavailability(&ctx.service) {
            return Err(why.into());
        }
        if !ctx.has_version() {
            return Err(Refusal::VersionGone);
        }
        if needs_admission(ctx) {
            return Err(Refusal::Cold);
        }
        if total_rate(ctx).is_some() {
            return Err(Refusal::Limited);
        }
        if let Some(end) = ctx.first_rest_end() {
            let rest = end.since(shared.now());
            if !ctx.response_started || rest > REST_WAIT_MAX || end >= ctx.deadline {
                return Err(Refusal::Resting);
            }
            async_io::Timer::after(rest).await;
            continue;
        }
        let now = shared.now();
        if now >= record_by
            && let Some(choice) = choose_unrecorded(ctx, failed)
        {
            return Ok(choice);
        }
        if now >= deadline {
            return Err(Refusal::NoEndpoint);
        }
        if !std::mem::replace(&mut logged, true) {
            log::info!(event = "endpoint-awaited", request = ctx.request.id.as_str(), service = ctx.service.as_str(), tries = ctx.attempted.len(), wait_ms = ENDPOINT_WAIT.as_millis() as u64, left_ms = ctx.remaining().as_millis() as u64; "");
        }
        let next = if now < record_by { record_by } else { deadline };
        let expiry = async_io::Timer::after(next.since(now));
        let timer = async {
            expiry.await;
        };
        futures_lite::future::or(changed, timer).await;
    }
}

/// The endpoints among which a node chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Limits {
    /// Those that name a rate, too.
    Any,
    /// Only those that name none.
    UnlimitedOnly,
}

/// Chooses an endpoint for a new stream although its version is not recorded.
fn choose_unrecorded(ctx: &RequestContext, failed: &[EndpointId]) -> Option<Choice> {
    let VersionRule::NewStream { .. } = ctx.version_rule() else {
        return None;
    };
    let choice = choose_now(ctx, failed, (Limits::UnlimitedOnly, &VersionRule::Any))?;
    log::warn!(event = "version-unrecorded", request = ctx.request.id.as_str(), service = ctx.service.as_str(), version = choice.entry.version.to_string().as_str(), remedy = "check the registry"; "");
    Some(choice)
}

fn choose_now(
    ctx: &RequestContext,
    failed: &[EndpointId],
    (limits, versions): (Limits, &VersionRule),
) -> Option<Choice> {
    let mut avoid = ctx.attempted.clone();
    avoid.extend_from_slice(failed);
    let prompt = ctx.request.prompt.filter(|p| p.shared >= SHARED_TOKENS_MIN);
    let required = ctx.domain.as_ref();
    let wanted = EndpointCriteria {
        service: &ctx.service,
        avoid: &avoid,
        domain: required.or(Some(&ctx.shared.settings.domain)),
        strict: required.is_some(),
        prefix: prompt.map(|p| p.prefix),
        homes: &ctx.homes,
        warm_only: ctx.limits_cold_calls(),
        unlimited_only: limits == Limits::UnlimitedOnly,
        versions,
    };
    ctx.shared.directory().choose(ctx.shared.now(), wanted)
}

pub(crate) fn log_choice(ctx: &RequestContext, choice: &Choice) {
    let endpoint = choice.entry.id.to_string();
    let now = ctx.shared.now();
    let age = ctx
        .shared
        .registry_polling()
        .freshness(ReplicaKind::Endpoints)
        .age(now);
    log::info!(
        event = "endpoint-chosen",
        request = ctx.request.id.as_str(),
        endpoint = endpoint.as_str(),
        reason = choice.reason.to_string().as_str(),
        calls = choice.calls,
        report_ms = choice.report_age.as_millis().min(99_999) as u64,
        known_ms = age.unwrap_or_default().as_millis() as u64,
        left_ms = ctx.remaining().as_millis() as u64;
        ""
    );
}
