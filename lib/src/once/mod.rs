//! At-most-once execution of calls that are not idempotent.
//!
//! Every idempotency key maps to a slot, and a lease makes one incarnation of
//! one agent the owner of each slot. The owner keeps its keys in memory. It
//! runs only keys that were issued after it became the owner: an older key may
//! have run at an earlier owner, so its outcome is unknown.

mod gate;
mod key;
mod share;
mod slots;
mod table;

pub use gate::NotRun;
pub use gate::OnceGate;
pub use gate::OnceGuards;
pub use gate::Verdict;
pub use key::CLOCK_SKEW_MAX;
pub use key::Digest;
pub use key::KeyError;
pub use key::KeySlot;
pub use key::OnceKey;
pub use key::SLOTS_PER_POOL;
pub(crate) use key::add_skew;
pub use share::SlotShare;
pub use slots::SlotMap;
pub use table::Answer;
pub use table::KeyId;
pub use table::OnceEnd;
pub use table::TableLimits;
