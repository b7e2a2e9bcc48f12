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

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
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
                write!(
                    f,
                    "decision=route request={request} stage={stage} attempt={attempt} \
                     endpoint={endpoint} why={why} predicted_ms={:.1}",
                    millis(*predicted)
                )?;
                for (rank, other) in others.iter().flatten().enumerate() {
                    let place = rank + 2;
                    let late = millis(other.predicted);
                    write!(
                        f,
                        " best{place}={} best{place}_ms={late:.1}",
                        other.endpoint
                    )?;
                }
                Ok(())
            }
            Self::Settled {
                request,
                stage,
                attempt,
                endpoint,
                predicted,
                actual,
            } => write!(
                f,
                "decision=settled request={request} stage={stage} attempt={attempt} \
                 endpoint={endpoint} predicted_ms={:.1} actual_ms={:.1}",
                millis(*predicted),
                millis(*actual)
            ),
        }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
