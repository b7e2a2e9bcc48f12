//! Refusals of the door, in the dialect's error object.

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

/// The reason why the door refuses a request before anything is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub(crate) enum IngressError {
    #[display("no bearer key: send `Authorization: Bearer KEY`")]
    NoKey,
    #[display("the key is not known: check it, or ask the operator of your client account")]
    BadKey,
    #[display("no path {path}: see docs/architecture.md for those there are")]
    NoPath { path: String },
    #[display("{kind:?} is not bound for this client account: ask the operator to bind it")]
    NoKind { kind: String },
    #[display("the body is no such JSON: {what}; correct it")]
    BadBody { what: String },
    #[display("the body has more than {max} bytes: send less")]
    TooLarge { max: usize },
    #[display("the body did not arrive in time or broke off: send it again")]
    SlowBody,
    #[display("this kind may run only once: send `Idempotency-Key` with a UUIDv7")]
    KeyMissing,
    #[display("the idempotency key is no text: make a UUIDv7 for each new request")]
    KeyMalformed,
    #[display("{_0}")]
    Key(KeyError),
    #[display("no request {id} is known here: it may be at another router, or too old")]
    NoRequest { id: String },
    #[display("no configuration has arrived yet: try again shortly")]
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
            Self::NoConfig | Self::Draining => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Self::NoKey | Self::BadKey => "authentication_error",
            Self::NoConfig | Self::Draining => "server_error",
            _ => "invalid_request_error",
        }
    }

    /// Returns the outcome: a key that is too old may have run long ago.
    const fn outcome(&self) -> Outcome {
        match self {
            Self::Key(KeyError::Old) => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NoConfig | Self::Draining => Some(Duration::from_millis(500)),
            _ => None,
        }
    }

    /// Builds the answer that refuses request `id`.
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

/// Builds the dialect's error object.
pub(crate) fn error_object(kind: &str, message: &str, code: Option<&str>) -> serde_json::Value {
    serde_json::json!({"error": {"message": message, "type": kind, "param": null, "code": code}})
}

/// Returns the status and wording of a request that ended without an answer.
pub(crate) fn failure_message(outcome: Outcome, reason: Reason) -> (StatusCode, String) {
    if outcome == Outcome::Unknown {
        let status = match reason {
            Reason::KeyConflict => StatusCode::CONFLICT,
            _ => StatusCode::GATEWAY_TIMEOUT,
        };
        if reason == Reason::KeyConflict {
            let text = "the idempotency key was used with another body, which may have run: make \
                        a new key for a new request";
            return (status, text.to_owned());
        }
        let message = format!(
            "outcome unknown ({reason}): it may have run; ask GET /v1/requests/ID, or repeat it \
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
        Reason::Limit => "the client account is over its limit: slow down",
        Reason::KeyConflict => "the idempotency key was used with another body: make a new key",
        Reason::Deadline => "the stages can't finish in time now: come back later",
        Reason::NoEndpoint => "no endpoint can be reached now: come back later",
        _ => "come back later",
    };
    (status, format!("not run ({reason}): {remedy}"))
}
