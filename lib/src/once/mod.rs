//! At most once for calls that are not idempotent.
//!
//! Every key falls into a slot, and every slot is owned by one incarnation of
//! one agent through a lease. The owner keeps its keys in memory. It vouches
//! for a key only if the key was issued after it began to own the slot: what
//! was issued before may have run at an earlier owner, and is refused as
//! unknown.

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
