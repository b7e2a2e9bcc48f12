//! Responses that the node itself produces.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use snipeyoke_lib::serving::directory::Unavailable;
use snipeyoke_runtime::http::Reply;
use snipeyoke_runtime::http::full;

/// Why a request ends without an endpoint's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(derive_more::Display)]
#[display("{}", self.name())]
pub(crate) enum Refusal {
    /// No configuration is known yet.
    NoConfig,
    /// The head can't be parsed.
    Malformed,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// The body is larger than allowed.
    TooLarge,
    /// The body is incomplete.
    BodyIncomplete,
    /// Other requests have the memory for bodies.
    NoMemory,
    /// No endpoint accepts work.
    NoEndpoint,
    /// All endpoints are full.
    Full,
    /// The stages can't be completed in time.
    StagesLate,
    /// The chain of services has no place for the request.
    NotAdmitted,
    /// A stage failed.
    StageFailed,
    /// The deadline passed, and nothing was sent.
    TimeoutNotRun,
    /// Endpoints crashed while running the request, and nothing was sent.
    Quarantined,
    /// The node shuts down before the response would end, and nothing was sent.
    ShuttingDown,
    /// All endpoints are in evacuated failure domains.
    Evacuated,
    /// No endpoint is in a region where the request may be served.
    OutsideHomes,
    /// All endpoints are cold and get as many calls as they tolerate.
    Cold,
    /// All endpoints have asked this node for a rest.
    Resting,
    /// All endpoints name a rate and get as many requests as they accept.
    Limited,
    /// No endpoint of the version that began the stream accepts work.
    VersionGone,
    /// The version that began the stream is not known.
    OriginUnknown,
    /// The deadline passed, and the request may have run.
    Timeout,
    /// The endpoint's response was lost or can't be used.
    ResponseLost,
}

impl From<Unavailable> for Refusal {
    fn from(why: Unavailable) -> Self {
        match why {
            Unavailable::OutsideHomes => Self::OutsideHomes,
            Unavailable::Evacuated => Self::Evacuated,
            Unavailable::Cold => Self::Cold,
            Unavailable::Resting => Self::Resting,
        }
    }
}

impl Refusal {
    /// Returns the name in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no-config",
            Self::Malformed => "malformed",
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
            Self::TooLarge => "too-large",
            Self::BodyIncomplete => "body-broken",
            Self::NoMemory => "no-memory",
            Self::NoEndpoint => "no-endpoint",
            Self::Full => "full",
            Self::StagesLate => "stages-late",
            Self::NotAdmitted => "not-admitted",
            Self::StageFailed => "stage-failed",
            Self::TimeoutNotRun => "timeout-not-run",
            Self::Quarantined => "quarantined",
            Self::ShuttingDown => "leaving",
            Self::Evacuated => "evacuated",
            Self::OutsideHomes => "outside-homes",
            Self::Cold => "endpoints-cold",
            Self::Limited => "endpoints-limited",
            Self::Resting => "endpoints-resting",
            Self::VersionGone => "version-gone",
            Self::OriginUnknown => "origin-unknown",
            Self::Timeout => "timeout",
            Self::ResponseLost => "answer-lost",
        }
    }

    /// Returns the HTTP status; 503 only if nothing ran.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::BodyIncomplete => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::ResponseLost => StatusCode::BAD_GATEWAY,
            Self::NoConfig
            | Self::NoMemory
            | Self::NoEndpoint
            | Self::Full
            | Self::StagesLate
            | Self::NotAdmitted
            | Self::StageFailed
            | Self::TimeoutNotRun
            | Self::Quarantined
            | Self::ShuttingDown
            | Self::Evacuated
            | Self::OutsideHomes
            | Self::Cold
            | Self::VersionGone
            | Self::OriginUnknown
            | Self::Resting
            | Self::Limited => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Builds the response; the caller may retry after `wait`.
    pub(crate) fn reply(self, wait: Duration) -> Reply {
        let status = self.status();
        let mut reply = Reply::new(full(format!("{self}\n")));
        *reply.status_mut() = status;
        let headers = reply.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let text = format!("{:.2}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        reply
    }
}
