//! Requests under which endpoints end.

use derive_more::Display;
use derive_more::FromStr;

/// The hash of what makes two attempts the same request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Display, FromStr)]
#[display("{_0:032x}")]
pub struct Fingerprint(pub u128);
