//! The interface of policies for the choice of an endpoint.

use std::fmt;
use std::time::Duration;

use derive_more::Display;
use derive_more::FromStr;
use rand_pcg::Pcg32;
use serde::Deserialize;
use serde::Serialize;

use super::LeastOutstanding;
use super::Pool;
use super::Predicted;
use super::RoundRobin;
use crate::config::Weights;
use crate::time::Time;

/// The requirements of a stage on an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Need<'a> {
    /// The model's bit in the pool, or zero for any model.
    pub model: u64,
    /// The length of the prompt in tokens.
    pub prompt: u32,
    /// The expected output tokens; zero for stages without tokens.
    pub output: f32,
    /// The hashes of the prompt's prefix blocks.
    pub prefix: &'a [u64],
    /// The time budget of this stage.
    pub budget: Duration,
    /// The weights of the pipeline.
    pub weights: Weights,
    /// The slots to exclude.
    pub avoid: &'a [usize],
    /// The failure domain to avoid.
    pub domain: Option<u16>,
}

/// Why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display)]
pub enum Why {
    /// It has the least predicted lateness and cost.
    #[display("predicted")]
    Predicted,
    /// It holds the prompt's prefix.
    #[display("prefix")]
    Prefix,
    /// It is the next in the rotation.
    #[display("turn")]
    Turn,
    /// It has the fewest calls in flight.
    #[display("outstanding")]
    Outstanding,
    /// It owns the slot of the idempotency key.
    #[display("key-slot")]
    KeySlot,
}

/// A chosen slot, with the two next best.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// The slot chosen.
    pub slot: usize,
    /// Why it was chosen.
    pub why: Why,
    /// The predicted time to the response, in seconds.
    pub predicted: f32,
    /// The predicted time without the endpoint's health verdict, in seconds.
    pub nominal: f32,
    /// The two next best slots, with their predicted times in seconds.
    pub others: [Option<(usize, f32)>; 2],
}

/// Chooses among the endpoints of a pool.
pub trait Policy: Send + Sync + fmt::Debug {
    /// Returns the policy's name in settings and logs.
    fn name(&self) -> &'static str;

    /// Chooses a slot, or returns `None` if no endpoint qualifies.
    fn choose(
        &mut self,
        now: Time,
        pool: &mut Pool,
        need: &Need<'_>,
        rng: &mut Pcg32,
    ) -> Option<Choice>;
}

/// The policies available in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Display, FromStr, Serialize, Deserialize)]
#[from_str(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// The endpoint with the least predicted lateness and cost.
    #[default]
    #[display("predicted")]
    Predicted,
    /// The endpoints in rotation.
    #[display("round-robin")]
    RoundRobin,
    /// The endpoint with the fewest calls in flight.
    #[display("least-outstanding")]
    LeastOutstanding,
}

impl PolicyKind {
    /// Builds the policy.
    #[must_use]
    pub fn build(self) -> Box<dyn Policy> {
        match self {
            Self::Predicted => Box::new(Predicted),
            Self::RoundRobin => Box::new(RoundRobin::default()),
            Self::LeastOutstanding => Box::new(LeastOutstanding),
        }
    }
}

/// Chooses a slot, relaxing the constraints of `need` one by one.
///
/// The failure domain to avoid is dropped first, then the excluded slots.
pub fn choose(
    policy: &mut dyn Policy,
    now: Time,
    pool: &mut Pool,
    need: &Need<'_>,
    rng: &mut Pcg32,
) -> Option<Choice> {
    if let Some(choice) = policy.choose(now, pool, need, rng) {
        return Some(choice);
    }
    let any_domain = Need {
        domain: None,
        ..*need
    };
    if need.domain.is_some()
        && let Some(choice) = policy.choose(now, pool, &any_domain, rng)
    {
        return Some(choice);
    }
    if need.avoid.is_empty() {
        return None;
    }
    let any_endpoint = Need {
        avoid: &[],
        ..any_domain
    };
    policy.choose(now, pool, &any_endpoint, rng)
}
