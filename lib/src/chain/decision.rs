//! Decisions in the form that goes to the log.

use std::fmt;
use std::time::Duration;

use crate::ids::AttemptId;
use crate::ids::EndpointId;
use crate::ids::RequestId;
use crate::routing::Why;

/// An endpoint that was considered and not chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct Alternative {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The predicted time to its answer.
    pub predicted: Duration,
}

/// A decision of a chain; displays as key=value pairs.
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
        /// The predicted time to its answer.
        predicted: Duration,
        /// The two next best.
        others: [Option<Alternative>; 2],
    },
    /// An attempt ended; its real time is known.
    Settled {
        /// The request.
        request: RequestId,
        /// The stage's index in the pipeline.
        stage: usize,
        /// The attempt.
        attempt: AttemptId,
        /// The endpoint that was chosen.
        endpoint: EndpointId,
        /// The time that was predicted.
        predicted: Duration,
        /// The time that it took.
        actual: Duration,
    },
}

impl Decision {
    /// Returns the decision as key=value pairs, for a log line.
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

/// The keys of the two next best endpoints and their predicted times.
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
