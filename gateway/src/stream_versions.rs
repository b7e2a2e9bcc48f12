//! Software versions of endpoints, and the version at which a stream continues.

use std::collections::BTreeSet;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use snipeyoke_lib::ids::PoolName;
use snipeyoke_lib::ids::SoftwareVersion;
use snipeyoke_lib::serving::directory::Endpoint;
use snipeyoke_lib::serving::directory::VersionRule;
use snipeyoke_lib::serving::registry_polling::ReplicaKind;
use snipeyoke_lib::serving::stream_origins::Origin;
use snipeyoke_lib::serving::stream_origins::OriginAnswer;
use snipeyoke_lib::serving::stream_origins::RecentVersions;
use snipeyoke_lib::serving::stream_origins::StreamId;
use snipeyoke_lib::serving::stream_origins::VersionSets;
use snipeyoke_lib::time::Time;

use crate::fingerprint::stream_id;
use crate::refusal::Refusal;
use crate::request_context::RequestContext;
use crate::shared::Shared;

/// How long a request waits to learn where its stream began.
///
/// A node that is alive answers within milliseconds; one that is silent is
/// replaced as keeper after 0.75 s.
const ORIGIN_WAIT: Duration = Duration::from_secs(1);

impl Shared {
    /// Returns the versions of the endpoints of all services that are known.
    pub(crate) fn current_versions(&self) -> VersionSets {
        self.versions_where(|_| true)
    }

    /// Returns the versions of the endpoints of all services that may get calls.
    pub(crate) fn usable_versions(&self) -> VersionSets {
        self.versions_where(Endpoint::is_open)
    }

    fn versions_where(&self, is_wanted: impl Fn(&Endpoint) -> bool) -> VersionSets {
        let mut sets = VersionSets::new();
        for endpoint in self.directory().iter().filter(|e| is_wanted(e)) {
            let entry = endpoint.entry();
            let versions = sets.entry(entry.service.clone()).or_default();
            versions.insert(entry.version.clone());
        }
        sets
    }

    /// Returns the services whose streams have to be kept.
    pub(crate) fn tracked_services(&self) -> BTreeSet<PoolName> {
        let now = self.now();
        let current = self.current_versions();
        let origins = self.origins();
        let kept = current
            .iter()
            .filter(|(service, versions)| origins.needs_tracking(now, service, versions));
        kept.map(|(service, _)| service.clone()).collect()
    }

    /// Returns whether the streams of a service have to be kept.
    fn is_tracked(&self, service: &PoolName) -> bool {
        let now = self.now();
        let current = self.directory().versions(service);
        self.origins().needs_tracking(now, service, &current)
    }

    /// Returns the versions at which a new stream of a service may start.
    pub(crate) fn new_stream_rule(&self, service: &PoolName) -> VersionRule {
        let closed = self.origins().closed_versions(service);
        VersionRule::NewStream { closed }
    }

    /// Records up to when this node has known all endpoints.
    pub(crate) fn record_confirmed_endpoints(&self) {
        let freshness = *self.registry_polling().freshness(ReplicaKind::Endpoints);
        if let Some(at) = freshness.confirmed() {
            let stale_after = freshness.stale_after();
            self.origins()
                .confirm_endpoints(self.now(), at, stale_after);
        }
    }

    /// Records the versions of services before and after a change.
    pub(crate) fn record_versions(&self, sets: &VersionSets) {
        let now = self.now();
        let mut origins = self.origins();
        for (service, versions) in sets {
            origins.record_versions(now, service, versions);
        }
    }
}

/// How a node knows the version at which a stream continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
enum Source {
    /// It began the stream.
    #[display("own")]
    Own,
    /// Another node told where the stream began.
    #[display("keeper")]
    Keeper,
    /// The service has had no other version.
    #[display("sole-version")]
    SoleVersion,
    /// It does not know.
    #[display("none")]
    None,
}

/// Determines the service and version at which a stream continues that its
/// caller takes up again.
///
/// # Errors
///
/// Returns a [`Refusal`] if the version is not known, or has no endpoint left.
pub(crate) async fn resolve_continuation(ctx: &mut RequestContext) -> Result<(), Refusal> {
    if !ctx.request.is_continuation() {
        return Ok(());
    }
    let arrived_at = ctx.shared.now();
    let stream = continued_stream(ctx);
    let own = stream.and_then(|s| ctx.shared.origins().get(arrived_at, s).cloned());
    let (answer, source) = match own {
        Some(origin) => (OriginAnswer::Known(origin), Source::Own),
        None => ask(ctx, stream, arrived_at).await,
    };
    let result = apply_answer(ctx, answer);
    let outcome = result.err().map_or("continues", Refusal::name);
    let now = ctx.shared.now();
    let version = ctx.version.as_ref().map(ToString::to_string);
    let heard = ctx.version.as_ref().and_then(|version| {
        let origins = ctx.shared.origins();
        origins.first_heard(&ctx.service, version)
    });
    log::info!(
        event = "stream-resumed",
        request = ctx.request.id.as_str(),
        stream = stream.map(|s| s.to_string()).as_deref().unwrap_or("-"),
        service = ctx.service.as_str(),
        version = version.as_deref().unwrap_or("-"),
        source = source.to_string().as_str(),
        age_ms = heard.map_or(-1, |at| now.since(at).as_millis() as i64),
        took_ms = now.since(arrived_at).as_millis() as u64,
        outcome;
        ""
    );
    metrics::counter!("snipeyoke_resumed_streams_total", "source" => source.to_string(), "outcome" => outcome)
        .increment(1);
    result
}

/// Returns the stream that the caller names, if it is usable.
fn continued_stream(ctx: &RequestContext) -> Option<StreamId> {
    match ctx.request.resumes.as_ref()? {
        Ok(attempt) => Some(stream_id(ctx.account(), attempt)),
        Err(error) => {
            log::warn!(event = "resumes-malformed", request = ctx.request.id.as_str(), error = error.to_string().as_str(); "");
            metrics::counter!("snipeyoke_malformed_resumes_total").increment(1);
            None
        }
    }
}

/// Asks the keeper of a stream; if it is silent, this node decides by itself.
async fn ask(
    ctx: &RequestContext,
    stream: Option<StreamId>,
    arrived_at: Time,
) -> (OriginAnswer, Source) {
    let service = &ctx.service;
    let report = ctx.shared.dispatcher.find_origin(service.clone(), stream);
    let told = async { report.recv().await.ok() };
    let timeout = async {
        Timer::after(ORIGIN_WAIT).await;
        None
    };
    if let Some(told) = ctx.before_give_up(told.or(timeout)).await.flatten() {
        let source = match &told {
            OriginAnswer::Known(_) => Source::Keeper,
            OriginAnswer::Sole(_) => Source::SoleVersion,
            OriginAnswer::Unknown => Source::None,
        };
        return (told, source);
    }
    // A version that began the stream was registered before the request came.
    let now = ctx.shared.now();
    let age = ctx
        .shared
        .registry_polling()
        .freshness(ReplicaKind::Endpoints)
        .age(now);
    let is_confirmed = age.is_some_and(|age| now - age >= arrived_at);
    let current = ctx.shared.directory().versions(service);
    let recent = ctx.shared.origins().recent_versions(now, service, &current);
    match recent {
        RecentVersions::Sole(version) if is_confirmed => {
            (OriginAnswer::Sole(version), Source::SoleVersion)
        }
        RecentVersions::Sole(_) | RecentVersions::Several => (OriginAnswer::Unknown, Source::None),
    }
}

fn apply_answer(ctx: &mut RequestContext, answer: OriginAnswer) -> Result<(), Refusal> {
    let origin = match answer {
        OriginAnswer::Known(origin) => origin,
        OriginAnswer::Sole(version) => Origin {
            service: ctx.service.clone(),
            version,
        },
        OriginAnswer::Unknown => return Err(Refusal::OriginUnknown),
    };
    // A route may divide its requests among services, or have moved to another one.
    if ctx.service != origin.service {
        let targets = &ctx.route.targets;
        if targets.iter().all(|t| t.service != origin.service) {
            return Err(Refusal::VersionGone);
        }
        ctx.service = origin.service;
    }
    ctx.version = Some(origin.version);
    if ctx.has_version() {
        Ok(())
    } else {
        Err(Refusal::VersionGone)
    }
}

/// Records the version at which a stream began, with its first event.
pub(crate) fn record_origin(ctx: &mut RequestContext, version: &SoftwareVersion) {
    ctx.version = Some(version.clone());
    if !ctx.route.kind.is_retryable() {
        return;
    }
    let now = ctx.shared.now();
    let origin = || Origin {
        service: ctx.service.clone(),
        version: version.clone(),
    };
    let own = stream_id(ctx.account(), &ctx.request.id);
    let resumed = ctx.request.resumes.as_ref().and_then(|r| r.as_ref().ok());
    let resumed = resumed.map(|attempt| stream_id(ctx.account(), attempt));
    let mut origins = ctx.shared.origins();
    for stream in resumed.into_iter().chain([own]) {
        origins.begin(now, stream, origin());
    }
    drop(origins);
    if ctx.shared.is_tracked(&ctx.service) {
        ctx.shared.dispatcher.stream_begun();
    }
}
