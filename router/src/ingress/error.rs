//! Errors of the ingress, as error objects of the chat completions API.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use hyper::StatusCode;
use snipeyoke_lib::ids::RequestId;
use snipeyoke_lib::once::KeyError;
use snipeyoke_lib::outcome::Outcome;
use snipeyoke_lib::outcome::Reason;

use super::reply::Head;
use super::reply::json;

/// The reason why the ingress rejects a request before anything is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub(crate) enum IngressError {
    #[display("no bearer key: send `Authorization: Bearer KEY`")]
    NoKey,
    #[display("the key is unknown: check it, or contact the operator of your client account")]
    BadKey,
    #[display("unknown path {path}: docs/architecture.md lists the valid ones")]
    NoPath { path: String },
    #[display("{kind:?} is not bound for this client account: ask the operator to bind it")]
    NoKind { kind: String },
    #[display("the body is not valid JSON for this path: {what}")]
    BadBody { what: String },
    #[display("the body has more than {max} bytes: send less")]
    TooLarge { max: usize },
    #[display("the body did not arrive in time or was incomplete: send it again")]
    SlowBody,
    #[display("the memory for requests is in use: send it again later")]
    NoMemory,
    #[display("this request kind must not run twice: send `Idempotency-Key` with a UUIDv7")]
    KeyMissing,
    #[display("the idempotency key is not ASCII text: generate a UUIDv7 for each new request")]
    KeyMalformed,
    #[display("{_0}")]
    Key(KeyError),
    #[display("request {id} is unknown to this router: it may be at another router, or too old")]
    NoRequest { id: String },
    #[display("no configuration has arrived yet: retry shortly")]
    NoConfig,
    #[display("this router is draining: use another")]
    Draining,
}

impl IngressError {
    fn status(&self) -> StatusCode {
        match self {
            Self::NoKey | Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::NoPath { .. } | Self::NoKind { .. } | Self::NoRequest { .. } => {
                StatusCode::NOT_FOUND
            }
            Self::Key(KeyError::Old) => StatusCode::CONFLICT,
            Self::BadBody { .. } | Self::KeyMissing | Self::KeyMalformed | Self::Key(_) => {
                StatusCode::BAD_REQUEST
            }
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory | Self::NoConfig | Self::Draining => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::NoKey | Self::BadKey => "authentication_error",
            Self::NoMemory | Self::NoConfig | Self::Draining => "server_error",
            _ => "invalid_request_error",
        }
    }

    /// Returns the outcome; a request with an expired key may have run before.
    const fn outcome(&self) -> Outcome {
        match self {
            Self::Key(KeyError::Old) => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NoMemory | Self::NoConfig | Self::Draining => Some(Duration::from_millis(500)),
            _ => None,
        }
    }

    /// Builds the error response for request `id`.
    pub(crate) fn reply(&self, id: RequestId) -> snipeyoke_runtime::http::Reply {
        let head = Head {
            id,
            status: self.status(),
            outcome: Some(self.outcome()),
            retry_after: self.retry_after(),
        };
        json(&head, &error_object(self.kind(), &self.to_string(), None))
    }
}

/// Builds an error object of the chat completions API.
pub(crate) fn error_object(kind: &str, message: &str, code: Option<&str>) -> serde_json::Value {
    serde_json::json!({"error": {"message": message, "type": kind, "param": null, "code": code}})
}

/// Returns the status and message of a request that did not complete.
pub(crate) fn failure_message(outcome: Outcome, reason: Reason) -> (StatusCode, String) {
    if outcome == Outcome::Unknown {
        let status = match reason {
            Reason::KeyConflict => StatusCode::CONFLICT,
            _ => StatusCode::GATEWAY_TIMEOUT,
        };
        if reason == Reason::KeyConflict {
            let text = "the idempotency key was used with another body, which may have run: \
                        generate a new key for a new request";
            return (status, text.to_owned());
        }
        let message = format!(
            "outcome unknown ({reason}): it may have run; query GET /v1/requests/ID, or retry it \
             with the same idempotency key"
        );
        return (status, message);
    }
    let status = match reason {
        Reason::Limit => StatusCode::TOO_MANY_REQUESTS,
        Reason::KeyConflict => StatusCode::CONFLICT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let remedy = match reason {
        Reason::Limit => "the client account is over its limit: reduce the request rate",
        Reason::KeyConflict => "the idempotency key was used with another body: generate a new key",
        Reason::Deadline => "the stages can't finish before the deadline now: retry later",
        Reason::NoEndpoint => "no endpoint is reachable now: retry later",
        _ => "retry later",
    };
    (status, format!("not run ({reason}): {remedy}"))
}
