//! Routing decisions in the form that is logged.

use std::fmt;
use std::time::Duration;

use crate::ids::AttemptId;
use crate::ids::EndpointId;
use crate::ids::RequestId;
use crate::routing::Why;

/// An endpoint that was a candidate and not chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Alternative {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The predicted time to its response.
    pub predicted: Duration,
}

/// A decision of a chain, displayed as key=value pairs.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// An endpoint was chosen for an attempt.
    Chosen {
        /// The request.
        request: RequestId,
        /// The stage's index in the pipeline.
        stage: usize,
        /// The attempt.
        attempt: AttemptId,
        /// The endpoint chosen.
        endpoint: EndpointId,
        /// Why it was chosen.
        why: Why,
        /// The predicted time to its response.
        predicted: Duration,
        /// The two next best endpoints.
        others: [Option<Alternative>; 2],
    },
    /// An attempt ended, and its actual time is known.
    Settled {
        /// The request.
        request: RequestId,
        /// The stage's index in the pipeline.
        stage: usize,
        /// The attempt.
        attempt: AttemptId,
        /// The endpoint that was chosen.
        endpoint: EndpointId,
        /// The predicted time.
        predicted: Duration,
        /// The actual time.
        actual: Duration,
    },
}

impl Decision {
    /// Returns the key=value pairs for a log line.
    #[must_use]
    pub fn pairs(&self) -> Vec<(&'static str, String)> {
        match self {
            Self::Chosen {
                request,
                stage,
                attempt,
                endpoint,
                why,
                predicted,
                others,
            } => {
                let mut pairs = vec![
                    ("decision", "route".to_owned()),
                    ("request", request.to_string()),
                    ("stage", stage.to_string()),
                    ("attempt", attempt.to_string()),
                    ("endpoint", endpoint.to_string()),
                    ("why", why.to_string()),
                    ("predicted_ms", millis(*predicted)),
                ];
                for (other, (name, time)) in others.iter().flatten().zip(ALTERNATIVE_KEYS) {
                    pairs.push((name, other.endpoint.to_string()));
                    pairs.push((time, millis(other.predicted)));
                }
                pairs
            }
            Self::Settled {
                request,
                stage,
                attempt,
                endpoint,
                predicted,
                actual,
            } => vec![
                ("decision", "settled".to_owned()),
                ("request", request.to_string()),
                ("stage", stage.to_string()),
                ("attempt", attempt.to_string()),
                ("endpoint", endpoint.to_string()),
                ("predicted_ms", millis(*predicted)),
                ("actual_ms", millis(*actual)),
            ],
        }
    }
}

/// The log keys of the two next best endpoints and their predicted times.
const ALTERNATIVE_KEYS: [(&str, &str); 2] = [("best2", "best2_ms"), ("best3", "best3_ms")];

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (key, value)) in self.pairs().iter().enumerate() {
            let space = if index == 0 { "" } else { " " };
            write!(f, "{space}{key}={value}")?;
        }
        Ok(())
    }
}

fn millis(duration: Duration) -> String {
    format!("{:.1}", duration.as_secs_f64() * 1e3)
}
