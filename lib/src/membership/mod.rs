//! Failure detection, peer selection and the membership view.
//!
//! The host list lags and settings go stale, so both are hints: they determine
//! which addresses to dial. Only a peer's own heartbeats make it alive.

mod detector;
mod dial;
mod event;
mod pace;
mod peer;
mod subset;
mod view;

pub use detector::Detector;
pub use detector::HeartbeatVerdict;
pub use detector::LinkEnd;
pub use detector::PeerState;
pub use detector::TimeoutBounds;
pub use event::Action;
pub use event::Event;
pub use event::LinkId;
pub use event::Refusal;
pub use pace::Pace;
pub use peer::ListedNode;
pub use peer::NodeKind;
pub use peer::PeerHeartbeat;
pub use peer::Profile;
pub use subset::Candidate;
pub use subset::NodeLocation;
pub use subset::Subset;
pub use subset::SubsetChange;
pub use subset::choose_peers;
pub use subset::degree;
pub use view::Member;
pub use view::View;
pub use view::ViewSettings;
