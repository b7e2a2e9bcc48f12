//! What is asked, when and by whom: all of it drawn from one seed.

mod arrivals;
mod mix;
mod prompt;

pub use arrivals::Arrivals;
pub use arrivals::Burst;
pub use mix::Kind;
pub use mix::Mix;
pub use mix::MixError;
pub use mix::Mixture;
pub use mix::Shape;
pub use mix::key_of;
pub use prompt::Sizes;

use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use snipeyoke_standin::answer;
use snipeyoke_standin::answer::Generation;

/// What the caller must get for its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expected {
    /// Generated text, byte for byte.
    Text(String),
    /// The receipt of a plain service.
    Receipt(String),
}

/// One request, before it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Planned {
    /// Its number in the run.
    pub serial: u64,
    /// When to send it, from the start of the run.
    pub at: Duration,
    /// The client account.
    pub account: String,
    /// The request kind.
    pub kind: String,
    /// The path to post to.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// Whether the answer is a stream.
    pub stream: bool,
    /// Whether it needs an idempotency key.
    pub once: bool,
    /// The time it may take.
    pub deadline: Duration,
    /// What must come back.
    pub expected: Expected,
}

/// Draws requests of a mix at a rate.
#[derive(Debug)]
pub struct Plan {
    mix: Mixture,
    arrivals: Arrivals,
    rng: Pcg64Mcg,
    serial: u64,
}

impl Plan {
    /// Builds the plan of a run.
    #[must_use]
    pub fn new(mix: Mixture, rate: f64, bursts: Vec<Burst>, seed: u64) -> Self {
        Self {
            mix,
            arrivals: Arrivals::new(rate, bursts, seed),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            serial: 0,
        }
    }

    fn chat(&mut self, kind: &Kind, sizes: &Sizes, at: Duration, account: String) -> Planned {
        let prefix = sizes.prefix(&kind.name, &account, &mut self.rng);
        let question = sizes.question(self.serial, &mut self.rng);
        let max_tokens = sizes.output(&mut self.rng);
        let stream = self.rng.random_bool(sizes.stream);
        let answer = Generation::new(&question, max_tokens);
        let body = json!({
            "model": kind.name,
            "messages": [
                {"role": "system", "content": prefix},
                {"role": "user", "content": question},
            ],
            "max_tokens": max_tokens,
            "stream": stream,
        });
        Planned {
            serial: self.serial,
            at,
            account,
            kind: kind.name.clone(),
            path: "/v1/chat/completions".to_owned(),
            body: Bytes::from(body.to_string()),
            stream,
            once: false,
            deadline: kind.deadline(),
            expected: Expected::Text(answer.text(0)),
        }
    }

    fn call(&mut self, kind: &Kind, once: bool, at: Duration, account: String) -> Planned {
        // Unique, so that an answer handed to another request shows.
        let nonce: u64 = self.rng.random();
        let body = json!({"kind": kind.name, "nonce": nonce, "serial": self.serial});
        let body = Bytes::from(body.to_string());
        Planned {
            serial: self.serial,
            at,
            account,
            kind: kind.name.clone(),
            path: format!("/v1/requests/{}", kind.name),
            stream: false,
            once,
            deadline: kind.deadline(),
            expected: Expected::Receipt(answer::receipt(&body)),
            body,
        }
    }
}

impl Iterator for Plan {
    type Item = Planned;

    fn next(&mut self) -> Option<Planned> {
        let at = self.arrivals.next()?;
        let account = self.mix.account(&mut self.rng).to_owned();
        let kind = self.mix.kind(&mut self.rng).clone();
        let planned = match &kind.shape {
            Shape::Chat(sizes) => self.chat(&kind, sizes, at, account),
            Shape::Call { once } => self.call(&kind, *once, at, account),
        };
        self.serial += 1;
        Some(planned)
    }
}
