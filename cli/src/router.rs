//! One router's control port, as the tool asks it.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use futures_lite::FutureExt;
use http_body_util::Full;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::AUTHORIZATION;
use snipeyoke_lib::query::AnswerLine;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::http::ClientError;
use snipeyoke_runtime::http::collect;
use uuid::Uuid;

use crate::settings::Settings;

/// The path of questions and commands.
pub const QUERY_PATH: &str = "/control/query";

/// The path that tells the revision in force.
pub const REVISION_PATH: &str = "/control/revision";

/// The header with the identity of a change, the same when it is sent again.
pub const CHANGE_HEADER: &str = "x-change-id";

/// The largest answer read, in bytes.
///
/// A thousand rows of 17 cells have about a megabyte.
const ANSWER_MAX: usize = 16 << 20;

/// The reason why a router gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum AskError {
    /// Nothing reached the router.
    #[display("not reached: {what}")]
    Unreached {
        /// What failed.
        what: String,
    },
    /// The question may have reached it, and no whole answer came back.
    #[display("no whole answer: {what}")]
    Unanswered {
        /// What failed.
        what: String,
    },
    /// It does not know the key.
    #[display("the key is not accepted: check `key` in the settings; nothing was done")]
    Key,
}

impl AskError {
    /// Tells whether the question surely had no effect.
    #[must_use]
    pub const fn is_harmless(&self) -> bool {
        !matches!(self, Self::Unanswered { .. })
    }
}

/// A question on its way.
pub type Asking<'a> = Pin<Box<dyn Future<Output = Result<Vec<AnswerLine>, AskError>> + Send + 'a>>;

/// Asks routers; a test puts a script in its place.
pub trait Ask: Debug + Send + Sync {
    /// Sends one statement to a router.
    ///
    /// `change` identifies a change, however often it is sent.
    fn ask(&self, router: SocketAddr, text: String, change: Option<Uuid>) -> Asking<'_>;

    /// Asks a router for the revision in force there.
    fn revision(&self, router: SocketAddr) -> Asking<'_>;

    /// Waits.
    fn pause(&self, time: Duration) -> Pin<Box<dyn Future<Output = ()> + Send + '_>>;
}

/// Asks over HTTP.
#[derive(Debug)]
pub struct Http {
    client: Client,
    settings: Settings,
}

impl Http {
    /// Builds the adapter.
    #[must_use]
    pub const fn new(client: Client, settings: Settings) -> Self {
        Self { client, settings }
    }

    fn head(&self, method: Method, path: &str) -> hyper::http::request::Builder {
        let bearer = format!("Bearer {}", self.settings.key.secret());
        hyper::Request::builder()
            .method(method)
            .uri(path)
            .header(AUTHORIZATION, bearer)
    }

    async fn send(
        &self,
        router: SocketAddr,
        request: hyper::Request<Full<Bytes>>,
    ) -> Result<Vec<AnswerLine>, AskError> {
        let timeout = async {
            Timer::after(self.settings.timeout).await;
            let what = format!("silent for {:?}", self.settings.timeout);
            Err(AskError::Unanswered { what })
        };
        self.exchange(router, request).or(timeout).await
    }

    async fn exchange(
        &self,
        router: SocketAddr,
        request: hyper::Request<Full<Bytes>>,
    ) -> Result<Vec<AnswerLine>, AskError> {
        let sent = self.client.send(router, request).await;
        let (response, kept) = sent.map_err(|error| unsent(&error))?;
        if response.status() == StatusCode::UNAUTHORIZED {
            return Err(AskError::Key);
        }
        let body = collect(response.into_body(), ANSWER_MAX).await;
        let body = body.map_err(|error| unanswered(&error))?;
        self.client.recycle(kept);
        let text = std::str::from_utf8(&body).map_err(|error| unanswered(&error))?;
        let lines = AnswerLine::from_json(text).map_err(|error| unanswered(&error))?;
        // An answer that broke off would pass for one with fewer rows, and the
        // operator would take what is missing for what is not there.
        if !matches!(lines.last(), Some(AnswerLine::End { .. })) {
            return Err(unanswered(&"the answer broke off"));
        }
        Ok(lines)
    }
}

fn unsent(error: &ClientError) -> AskError {
    let what = error.to_string();
    if error.is_not_sent() {
        AskError::Unreached { what }
    } else {
        AskError::Unanswered { what }
    }
}

fn unanswered(error: &impl ToString) -> AskError {
    let what = error.to_string();
    AskError::Unanswered { what }
}

impl Ask for Http {
    fn ask(&self, router: SocketAddr, text: String, change: Option<Uuid>) -> Asking<'_> {
        let mut head = self.head(Method::POST, QUERY_PATH);
        if let Some(change) = change {
            head = head.header(CHANGE_HEADER, change.to_string());
        }
        Box::pin(async move {
            let request = head.body(Full::new(Bytes::from(text)));
            let request = request.map_err(|error| unanswered(&error))?;
            self.send(router, request).await
        })
    }

    fn revision(&self, router: SocketAddr) -> Asking<'_> {
        let head = self.head(Method::GET, REVISION_PATH);
        Box::pin(async move {
            let request = head.body(Full::new(Bytes::new()));
            let request = request.map_err(|error| unanswered(&error))?;
            self.send(router, request).await
        })
    }

    fn pause(&self, time: Duration) -> Pin<Box<dyn Future<Output = ()> + Send + '_>> {
        Box::pin(async move {
            Timer::after(time).await;
        })
    }
}
