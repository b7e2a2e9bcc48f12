//! What one run of an experiment came to.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use snipeyoke_lib::ids::PoolName;

use crate::sample::Sample;
use crate::sample::Verdict;

/// The longest latency that histograms tell apart, in microseconds.
const LATENCY_MAX_US: u64 = 600_000_000;

/// How requests ended, as their callers saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Requests sent.
    pub offered: u64,
    /// Whole answers within their deadline.
    pub attained: u64,
    /// Whole answers past their deadline.
    pub late: u64,
    /// Refusals with "not run".
    pub not_run: u64,
    /// Outcomes said or left unknown.
    pub unknown: u64,
    /// Answers that were another's, or only part of the own.
    pub wrong: u64,
    /// Requests refused as malformed or unknown.
    pub rejected: u64,
}

impl Counts {
    /// Returns the share of requests answered whole within their deadline.
    #[must_use]
    pub fn attainment(&self) -> f64 {
        self.attained as f64 / self.offered.max(1) as f64
    }

    fn add(&mut self, sample: &Sample) {
        self.offered += 1;
        let field = match sample.verdict {
            Verdict::Whole if sample.is_late() => &mut self.late,
            Verdict::Whole => &mut self.attained,
            Verdict::NotRun => &mut self.not_run,
            Verdict::Unknown => &mut self.unknown,
            Verdict::Wrong | Verdict::Partial => &mut self.wrong,
            Verdict::Rejected => &mut self.rejected,
        };
        *field += 1;
    }
}

/// Percentiles of latency, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Latency {
    /// Half are faster.
    pub p50: f64,
    /// 95 in 100 are faster.
    pub p95: f64,
    /// 99 in 100 are faster.
    pub p99: f64,
}

impl Latency {
    /// Reads percentiles from microseconds.
    #[must_use]
    pub fn of(micros: impl Iterator<Item = u64>) -> Self {
        Self::of_counts(micros.map(|value| (value, 1)))
    }

    /// Reads percentiles from microseconds with their counts.
    ///
    /// # Panics
    ///
    /// Panics if the histogram's constant bounds are refused, which is a bug.
    #[must_use]
    pub fn of_counts(micros: impl Iterator<Item = (u64, u64)>) -> Self {
        let histogram = Histogram::<u64>::new_with_bounds(1, LATENCY_MAX_US, 3);
        let mut histogram = histogram.expect("the bounds are constant and in order");
        for (value, count) in micros {
            histogram.saturating_record_n(value.max(1), count);
        }
        let at = |q| histogram.value_at_quantile(q) as f64 / 1_000.0;
        Self {
            p50: at(0.50),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// One request kind of a run.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct KindStats {
    /// How its requests ended.
    pub counts: Counts,
    /// Latency of whole answers.
    pub latency: Latency,
    /// Time to the first byte of whole answers.
    pub first: Latency,
}

/// One pool of a run.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct PoolStats {
    /// Seconds in which endpoints were at work, together.
    pub busy: f64,
    /// Those seconds at the pool's price.
    pub cost: f64,
    /// Calls finished.
    pub completed: u64,
    /// Generations cancelled.
    pub cancelled: u64,
    /// Prompt tokens asked for.
    pub prompt: u64,
    /// Those of them found cached.
    pub cached: u64,
    /// Counts of times at the endpoints, by microseconds.
    pub times: BTreeMap<u64, u64>,
}

impl PoolStats {
    /// Adds what one endpoint says of itself.
    pub fn add(&mut self, effects: &Value, price: f64) {
        let number = |key: &str| effects[key].as_u64().unwrap_or_default();
        let busy = number("busy_us") as f64 / 1e6;
        self.busy += busy;
        self.cost += busy * price;
        self.completed += number("completed");
        self.cancelled += number("cancelled");
        self.prompt += number("prompt_tokens");
        self.cached += number("cached_tokens");
        for (micros, count) in effects["times_us"].as_object().into_iter().flatten() {
            let Ok(micros) = micros.parse() else {
                continue;
            };
            *self.times.entry(micros).or_default() += count.as_u64().unwrap_or_default();
        }
    }

    /// Returns what was added since an earlier reading.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            busy: self.busy - before.busy,
            cost: self.cost - before.cost,
            completed: self.completed - before.completed,
            cancelled: self.cancelled - before.cancelled,
            prompt: self.prompt - before.prompt,
            cached: self.cached - before.cached,
            times: self.times_since(&before.times),
        }
    }

    fn times_since(&self, before: &BTreeMap<u64, u64>) -> BTreeMap<u64, u64> {
        let times = self.times.iter().map(|(micros, count)| {
            let earlier = before.get(micros).copied().unwrap_or_default();
            (*micros, count - earlier)
        });
        times.filter(|(_, count)| *count > 0).collect()
    }

    /// Returns percentiles of the time at the endpoints, waiting included.
    #[must_use]
    pub fn latency(&self) -> Latency {
        let times = self.times.iter();
        Latency::of_counts(times.map(|(micros, count)| (*micros, *count)))
    }
}

/// One second of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Tick {
    /// Requests due in it.
    pub offered: u64,
    /// Those of them attained.
    pub attained: u64,
}

/// A time in which something was wrong.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Mark {
    /// What it was.
    pub name: String,
    /// The start, in seconds.
    pub from: f64,
    /// The end, in seconds.
    pub until: f64,
}

/// What was run.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Setup {
    /// The deployment.
    pub deployment: String,
    /// The routers' policy.
    pub policy: String,
    /// The load, in percent of capacity.
    pub load: f64,
    /// The fault.
    pub fault: String,
    /// Requests a second.
    pub rate: f64,
    /// The seed.
    pub seed: u64,
    /// Seconds in which requests were sent and counted.
    pub seconds: f64,
    /// When what was wrong.
    pub marks: Vec<Mark>,
}

/// One run of an experiment.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct Cell {
    /// What was run.
    pub setup: Setup,
    /// How all requests ended.
    pub counts: Counts,
    /// Each request kind.
    pub kinds: BTreeMap<String, KindStats>,
    /// Refusals and unknown outcomes, by the reason given.
    pub reasons: BTreeMap<String, u64>,
    /// Each pool.
    pub pools: BTreeMap<PoolName, PoolStats>,
    /// Each second.
    pub ticks: Vec<Tick>,
    /// Promises broken; empty in a good run.
    pub violations: Vec<String>,
}

impl Cell {
    /// Sums up the samples of a run.
    #[must_use]
    pub fn new(setup: Setup, samples: &[Sample]) -> Self {
        let mut cell = Self {
            setup,
            ..Self::default()
        };
        for sample in samples {
            cell.add(sample);
        }
        let kinds: BTreeSet<&str> = samples.iter().map(|s| s.kind.as_str()).collect();
        for kind in kinds {
            let whole = samples
                .iter()
                .filter(|s| s.kind == kind && s.verdict == Verdict::Whole);
            let stats = cell.kinds.entry(kind.to_owned()).or_default();
            stats.latency = Latency::of(whole.clone().map(|s| s.latency_us));
            stats.first = Latency::of(whole.map(|s| s.first_us));
        }
        cell
    }

    fn add(&mut self, sample: &Sample) {
        self.counts.add(sample);
        let kind = self.kinds.entry(sample.kind.clone()).or_default();
        kind.counts.add(sample);
        if sample.verdict != Verdict::Whole {
            let reason = format!("{}: {}", sample.verdict, sample.reason);
            *self.reasons.entry(reason).or_default() += 1;
        }
        let second = usize::try_from(sample.at_us / 1_000_000).unwrap_or_default();
        if self.ticks.len() <= second {
            self.ticks.resize(second + 1, Tick::default());
        }
        self.ticks[second].offered += 1;
        self.ticks[second].attained += u64::from(sample.is_attained());
        if matches!(
            sample.verdict,
            Verdict::Wrong | Verdict::Partial | Verdict::Rejected
        ) {
            let what = format!(
                "request {} ({}) is {}: {}",
                sample.serial, sample.kind, sample.verdict, sample.reason
            );
            self.violations.push(what);
        }
    }

    /// Returns the cost of all pools.
    #[must_use]
    pub fn cost(&self) -> f64 {
        // An empty sum of floats is -0, which tables would show.
        self.pools.values().fold(0.0, |sum, p| sum + p.cost)
    }

    /// Returns the cost of one whole answer, late ones included.
    #[must_use]
    pub fn cost_each(&self) -> f64 {
        let whole = self.counts.attained + self.counts.late;
        self.cost() / whole.max(1) as f64
    }

    /// Returns requests attained a second.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.counts.attained as f64 / self.setup.seconds.max(1e-9)
    }

    /// Returns the share of prompt tokens found cached.
    #[must_use]
    pub fn cached(&self) -> f64 {
        let prompt: u64 = self.pools.values().map(|p| p.prompt).sum();
        let cached: u64 = self.pools.values().map(|p| p.cached).sum();
        cached as f64 / prompt.max(1) as f64
    }
}

/// Compares what callers were told with the effects that really were.
///
/// `effects` counts the effects of each idempotency key over all endpoints.
#[must_use]
pub fn audit(samples: &[Sample], effects: &BTreeMap<String, u64>) -> Vec<String> {
    let mut violations = Vec::new();
    for sample in samples {
        let Some(key) = &sample.key else {
            continue;
        };
        let count = effects.get(key).copied().unwrap_or_default();
        let broken = match (sample.verdict, count) {
            (_, 2..) => Some("ran more than once"),
            (Verdict::NotRun, 1) => Some("was answered \"not run\" and ran"),
            (Verdict::Whole, 0) => Some("was answered and never ran"),
            _ => None,
        };
        if let Some(what) = broken {
            let kind = &sample.kind;
            violations.push(format!("{kind} {} with key {key} {what}", sample.serial));
        }
    }
    violations
}
