//! The test's hand on the stand-ins: faults on schedule, effects read back.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use snipeyoke_runtime::http::Client;
use snipeyoke_runtime::http::ClientError;
use snipeyoke_runtime::http::collect;
use snipeyoke_standin::Fault;

/// The largest answer read from a stand-in, in bytes.
const ANSWER_MAX: usize = 64 << 20;

/// The reason why a stand-in could not be told or asked.
#[derive(Debug)]
#[derive(Display, Error)]
pub enum HandError {
    /// It can't be reached.
    #[display("{address} can't be reached: {source}; start the stand-in")]
    Unreachable {
        /// The stand-in.
        address: SocketAddr,
        /// What the client found.
        source: ClientError,
    },
    /// It refused.
    #[display("{address} answered {status} to {path}: check that it is a stand-in")]
    Refused {
        /// The stand-in.
        address: SocketAddr,
        /// The path.
        path: String,
        /// The status.
        status: StatusCode,
    },
    /// Its answer is no JSON.
    #[display("{address} answered with no JSON: check that it is a stand-in")]
    Malformed {
        /// The stand-in.
        address: SocketAddr,
    },
}

/// Faults for some stand-ins over some time.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// What it is called in reports.
    pub name: String,
    /// The start, in seconds from that of the run.
    pub from: f64,
    /// The end, in seconds; it is cleared then.
    pub until: f64,
    /// The stand-ins hit.
    pub at: Vec<SocketAddr>,
    /// What goes wrong.
    pub fault: Fault,
}

impl FaultPlan {
    /// Sets the fault on time and clears it on time.
    pub async fn carry_out(self, start: Instant, hand: &Hand) {
        Timer::at(start + Duration::from_secs_f64(self.from)).await;
        self.tell(hand, &self.fault).await;
        Timer::at(start + Duration::from_secs_f64(self.until)).await;
        self.tell(hand, &Fault::default()).await;
    }

    async fn tell(&self, hand: &Hand, fault: &Fault) {
        for &address in &self.at {
            if let Err(error) = hand.set_fault(address, fault).await {
                log::error!(event = "fault-not-set", error = error.to_string().as_str(); "");
            }
        }
    }
}

/// Calls stand-ins.
#[derive(Debug)]
pub struct Hand {
    client: Client,
}

impl Hand {
    /// Builds a hand on a client.
    #[must_use]
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    /// Sets the fault of a stand-in.
    ///
    /// # Errors
    ///
    /// Returns [`HandError`] if it can't be told.
    pub async fn set_fault(&self, address: SocketAddr, fault: &Fault) -> Result<(), HandError> {
        let value = serde_json::to_value(fault).unwrap_or_default();
        self.post(address, "/fault", &value).await.map(|_empty| ())
    }

    /// Asks a stand-in what really ran.
    ///
    /// # Errors
    ///
    /// Returns [`HandError`] if it can't be asked.
    pub async fn effects(&self, address: SocketAddr) -> Result<Value, HandError> {
        self.call(Method::GET, address, "/effects", Bytes::new())
            .await
    }

    /// Posts a JSON value to a stand-in.
    ///
    /// # Errors
    ///
    /// Returns [`HandError`] if it can't be told.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        value: &Value,
    ) -> Result<Value, HandError> {
        let body = Bytes::from(value.to_string());
        self.call(Method::POST, address, path, body).await
    }

    /// Appends records to a topic of the platform's log.
    ///
    /// # Errors
    ///
    /// Returns [`HandError`] if the platform does not take them.
    pub async fn append(
        &self,
        platform: SocketAddr,
        topic: &str,
        records: Bytes,
    ) -> Result<Value, HandError> {
        let path = format!("/log/{topic}/append");
        self.call(Method::POST, platform, &path, records).await
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Value, HandError> {
        let request = Request::builder().method(method).uri(path);
        let malformed = HandError::Malformed { address };
        let Ok(request) = request.body(Full::new(body)) else {
            return Err(malformed);
        };
        let sent = self.client.send(address, request).await;
        let (response, kept) = sent.map_err(|source| HandError::Unreachable { address, source })?;
        let status = response.status();
        if !status.is_success() {
            let path = path.to_owned();
            return Err(HandError::Refused {
                address,
                path,
                status,
            });
        }
        let Ok(body) = collect(response.into_body(), ANSWER_MAX).await else {
            return Err(malformed);
        };
        self.client.recycle(kept);
        serde_json::from_slice(&body).map_err(|_no_json| malformed)
    }
}
