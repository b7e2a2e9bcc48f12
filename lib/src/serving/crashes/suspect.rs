//! What may crash endpoints: a request, or a part of prompts.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use super::ends::CRASH_DELAY_MAX;
use crate::time::Time;

/// The maximum number of parts of one prompt that are considered.
///
/// Callers choose the number of parts; each takes memory at the nodes that count.
pub const PARTS_MAX: usize = 64;

/// The hash that identifies a request across attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
#[display("{_0:032x}")]
pub struct Fingerprint(pub u128);

/// The id of a part of prompts.
///
/// A part has the same id in each prompt that contains it, wherever it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
#[display("{_0:x}")]
pub struct PartId(pub u128);

/// A request or a part of prompts that may crash endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display)]
pub enum Suspect {
    /// All attempts at one request.
    #[display("request:{_0}")]
    Request(Fingerprint),
    /// All requests with a part in their prompts.
    #[display("part:{_0}")]
    Part(PartId),
}

/// Why a text names no suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, Error)]
pub enum SuspectError {
    /// It says neither what kind it is.
    #[display("{text:?} names no suspect: write part:ID or request:FINGERPRINT")]
    NoKind {
        /// The rejected text.
        #[error(not(source))]
        text: String,
    },
    /// The id is not hexadecimal or too long.
    #[display("{id:?} is no id: write 1 to 32 hexadecimal digits")]
    BadId {
        /// The rejected id.
        #[error(not(source))]
        id: String,
    },
}

impl Suspect {
    /// Returns the name of the kind.
    #[must_use]
    pub const fn kind(self) -> &'static str {
        match self {
            Self::Request(_) => "request",
            Self::Part(_) => "part",
        }
    }
}

fn parse_id(id: &str) -> Result<u128, SuspectError> {
    let is_hex = id.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u128::from_str_radix(id, 16).ok().filter(|_| is_hex);
    number.ok_or_else(|| SuspectError::BadId { id: id.to_owned() })
}

impl FromStr for Fingerprint {
    type Err = SuspectError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_id(text).map(Self)
    }
}

impl FromStr for PartId {
    type Err = SuspectError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_id(text).map(Self)
    }
}

impl FromStr for Suspect {
    type Err = SuspectError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once(':') {
            Some(("request", id)) => id.parse().map(Self::Request),
            Some(("part", id)) => id.parse().map(Self::Part),
            _ => Err(SuspectError::NoKind {
                text: text.to_owned(),
            }),
        }
    }
}

/// A request that an endpoint had when it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Casualty {
    /// The request.
    pub request: Fingerprint,
    /// The parts of its prompt that other requests may share, in order.
    pub parts: Arc<[PartId]>,
    /// When it was sent to the endpoint.
    pub sent: Time,
    /// How long its answer had gone on; zero if it had not begun.
    pub answered: Duration,
}

impl Casualty {
    /// Returns the request and the parts of its prompt.
    pub fn suspects(&self) -> impl Iterator<Item = Suspect> {
        suspects(self.request, &self.parts)
    }

    /// Returns the suspects that would have crashed the endpoint earlier.
    pub(super) fn cleared(&self) -> impl Iterator<Item = Suspect> {
        let is_long = self.answered > CRASH_DELAY_MAX;
        let parts = self.parts.iter().filter(move |_| is_long);
        parts.map(|&part| Suspect::Part(part))
    }

    pub(super) fn involves(&self, suspect: Suspect) -> bool {
        match suspect {
            Suspect::Request(request) => self.request == request,
            Suspect::Part(part) => self.parts.contains(&part),
        }
    }
}

/// Returns a request and the parts of its prompt as suspects.
pub(super) fn suspects(request: Fingerprint, parts: &[PartId]) -> impl Iterator<Item = Suspect> {
    let parts = parts.iter().map(|&part| Suspect::Part(part));
    std::iter::once(Suspect::Request(request)).chain(parts)
}
