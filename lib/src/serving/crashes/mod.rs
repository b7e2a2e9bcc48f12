//! Quarantine of requests, and of parts of prompts, that crash endpoints.
//!
//! Each node reports the loss of an endpoint, with all requests that the endpoint
//! had, to the two nodes that count. These ask all nodes for answers that clear a
//! suspect, and announce a verdict on what none has cleared. See
//! `docs/design/crashing-requests.md`.

mod ends;
mod evidence;
mod suspect;
mod tracker;

pub use self::ends::AMBIGUOUS_ENDS;
pub use self::ends::CRASH_DELAY_MAX;
pub use self::ends::END_THRESHOLD;
pub use self::ends::EndReport;
pub use self::ends::SETTLE_TIME;
pub use self::evidence::Clearance;
pub use self::evidence::Inquiry;
pub use self::evidence::RunNumber;
pub use self::suspect::Casualty;
pub use self::suspect::Fingerprint;
pub use self::suspect::PARTS_MAX;
pub use self::suspect::PartId;
pub use self::suspect::Suspect;
pub use self::suspect::SuspectError;
pub use self::tracker::CrashTracker;
pub use self::tracker::Findings;
pub use self::tracker::Verdict;
pub use self::tracker::VerdictOutcome;
