//! Estimates what an endpoint can do now, from its responses.
//!
//! Endpoints run on hosts of different speed and share them with other work. An
//! endpoint that names its current service time has an estimate of three
//! components: a factor that lasts as long as its run, the contention on its
//! host, which comes and goes within a second, and the load beyond its slots.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::time::Time;

/// The service time that endpoints name as the usual one.
const USUAL: f32 = 100.0;

/// The highest usable service time, a hundred times the usual one.
const CONTENTION_MAX: u32 = 10_000;

/// How long contention lasts after it was named.
///
/// Other work on a host takes some 600 ms at a time.
const CONTENTION_LIFETIME: Duration = Duration::from_millis(600);

/// The bound on the lasting factor in either direction.
///
/// Hosts of one service differ by less; more is a fault of the observation.
const LASTING_MAX: f32 = 8.0;

/// The bound on the factor for load beyond the slots.
const SATURATION_MAX: f32 = 8.0;

/// The number of first samples whose mean is the estimate.
const FIRST_SAMPLES: u32 = 16;

/// The weight of a sample after the first ones.
const WEIGHT: f32 = 0.02;

/// The weight of a sample that is far above the estimate.
///
/// An endpoint that becomes sick must not become the measure of itself; an
/// estimate that was learned wrong corrects itself within hundreds of responses.
const OUTLIER_WEIGHT: f32 = 0.002;

/// The ratio to its own estimate above which an endpoint counts as slow.
pub(super) const SLOW_RATIO: f32 = 2.5;

/// The bound on a sample relative to the estimate, in either direction.
const STEP_MAX: f32 = 2.0;

/// Why a named service time is not usable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum ContentionError {
    /// It is not a number.
    #[display("the service time is not a whole number: send hundredths of the usual one")]
    NotANumber,
    /// It is zero or too large.
    #[display("the service time is out of range: send 1 to {CONTENTION_MAX}, where 100 is usual")]
    OutOfRange,
}

/// The service time on an endpoint's host relative to the usual one, in
/// hundredths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub struct Contention(u32);

impl Contention {
    /// Returns the hundredths.
    #[must_use]
    pub const fn hundredths(self) -> u32 {
        self.0
    }

    /// Returns the factor on the usual service time.
    #[must_use]
    pub fn factor(self) -> f32 {
        self.0 as f32 / USUAL
    }
}

impl TryFrom<u32> for Contention {
    type Error = ContentionError;

    fn try_from(hundredths: u32) -> Result<Self, ContentionError> {
        let is_usable = (1..=CONTENTION_MAX).contains(&hundredths);
        is_usable
            .then_some(Self(hundredths))
            .ok_or(ContentionError::OutOfRange)
    }
}

impl std::str::FromStr for Contention {
    type Err = ContentionError;

    fn from_str(text: &str) -> Result<Self, ContentionError> {
        let text = text.trim();
        let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        if !is_number {
            return Err(ContentionError::NotANumber);
        }
        // A number that does not fit is too large.
        let hundredths = text.parse::<u32>().unwrap_or(u32::MAX);
        Self::try_from(hundredths)
    }
}

/// What a response says about the service time on its endpoint's host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ContentionNotice {
    /// It says nothing.
    #[default]
    None,
    /// It names a service time.
    Named(Contention),
    /// The value is not usable.
    Malformed(ContentionError),
}

/// A response time relative to that of a usual endpoint without contention.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedSample {
    /// The ratio of the observed time to the time expected of a usual endpoint,
    /// given the queue before the request.
    pub ratio: f32,
    /// The contention that the response named.
    pub contention: Contention,
    /// Whether the request waited behind others, so that it does not show the
    /// speed of the host.
    pub waited: bool,
}

/// The estimate of one run of an endpoint.
///
/// It is in use while the last named service time was usable.
#[derive(Debug, Clone, Copy)]
pub struct EndpointSpeed {
    lasting: f32,
    samples: u32,
    contention: f32,
    named_at: Time,
    in_use: bool,
    /// The last value that was not usable, if none came since.
    refused: Option<ContentionError>,
}

impl Default for EndpointSpeed {
    fn default() -> Self {
        Self {
            lasting: 1.0,
            samples: 0,
            contention: 1.0,
            named_at: Time::ZERO,
            in_use: false,
            refused: None,
        }
    }
}

impl EndpointSpeed {
    /// Returns whether the endpoint names its service time.
    #[must_use]
    pub const fn is_in_use(&self) -> bool {
        self.in_use
    }

    /// Returns the lasting factor of its service time; 1 is usual.
    #[must_use]
    pub const fn lasting(&self) -> f32 {
        self.lasting
    }

    /// Returns the current contention as a factor of the service time.
    #[must_use]
    pub fn contention(&self, now: Time) -> f32 {
        let lifetime = CONTENTION_LIFETIME.as_secs_f32();
        let left = self.contention_left(now).as_secs_f32() / lifetime;
        1.0 + (self.contention - 1.0) * left
    }

    /// Returns the factor of its service time now.
    #[must_use]
    pub fn factor(&self, now: Time) -> f32 {
        self.lasting * self.contention(now)
    }

    /// Returns how long work takes that takes `usual` at a usual endpoint.
    ///
    /// Contention counts only for as long as it is expected to last.
    #[must_use]
    pub fn stretched(&self, now: Time, usual: Duration) -> Duration {
        let work = usual.as_secs_f32() * self.lasting;
        let left = self.contention_left(now).as_secs_f32();
        let contention = self.contention(now);
        let done = left / contention;
        let time = if work <= done {
            work * contention
        } else {
            left + work - done
        };
        Duration::from_secs_f32(time)
    }

    /// Returns the contention as named, and its age; `None` if it has expired.
    #[must_use]
    pub fn named(&self, now: Time) -> Option<(Contention, Duration)> {
        let age = now.since(self.named_at);
        let is_current = self.in_use && age < CONTENTION_LIFETIME;
        let hundredths = (self.contention * USUAL).round() as u32;
        let contention = Contention::try_from(hundredths).ok()?;
        is_current.then_some((contention, age))
    }

    fn contention_left(&self, now: Time) -> Duration {
        CONTENTION_LIFETIME.saturating_sub(now.since(self.named_at))
    }

    /// Sets the lasting factor of a run that has no samples.
    pub(super) fn start_with(&mut self, lasting: f32) {
        if self.samples == 0 {
            self.lasting = lasting.clamp(1.0 / LASTING_MAX, LASTING_MAX);
        }
    }

    /// Handles what a response said `age` ago. Returns the error of an unusable
    /// value, if the one before was usable.
    pub(super) fn on_notice(
        &mut self,
        now: Time,
        (notice, age): (ContentionNotice, Duration),
    ) -> Option<ContentionError> {
        match notice {
            ContentionNotice::None => None,
            ContentionNotice::Malformed(error) => {
                self.in_use = false;
                self.refused.replace(error).is_none().then_some(error)
            }
            ContentionNotice::Named(contention) => {
                let named_at = now - age;
                if self.in_use && named_at < self.named_at {
                    return None;
                }
                self.contention = contention.factor();
                self.named_at = named_at;
                self.in_use = true;
                self.refused = None;
                None
            }
        }
    }

    /// Learns from a response time. Returns its ratio to the endpoint's own
    /// estimate.
    pub(super) fn record(&mut self, sample: SpeedSample) -> f32 {
        let observed = sample.ratio / sample.contention.factor();
        let own_ratio = observed / self.lasting;
        if sample.waited || !own_ratio.is_finite() {
            return own_ratio;
        }
        let is_first = self.samples < FIRST_SAMPLES;
        let weight = if is_first {
            1.0 / (self.samples + 1) as f32
        } else if own_ratio > SLOW_RATIO {
            OUTLIER_WEIGHT
        } else {
            WEIGHT
        };
        let bounded = if is_first {
            observed
        } else {
            observed.clamp(self.lasting / STEP_MAX, self.lasting * STEP_MAX)
        };
        let lasting = self.lasting + weight * (bounded - self.lasting);
        self.lasting = lasting.clamp(1.0 / LASTING_MAX, LASTING_MAX);
        self.samples = self.samples.saturating_add(1);
        own_ratio
    }
}

/// Returns how much longer calls take at an endpoint with `calls` calls.
#[must_use]
pub fn saturation(calls: f32, slots: u32) -> f32 {
    (calls / slots.max(1) as f32).clamp(1.0, SATURATION_MAX)
}
