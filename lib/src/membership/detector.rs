//! Failure detection: classifies a peer as alive, slow, unreachable or dead.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;

use super::peer::PeerHeartbeat;
use crate::ids::Incarnation;
use crate::time::Time;

/// The maximum number of sent heartbeats tracked until their echo; more add no evidence.
const PENDING_ECHOES_MAX: usize = 8;

/// The weight of a new gap in the moving mean: 1/8, as in TCP's round-trip estimate.
const MEAN_GAIN: f64 = 0.125;

/// The weight of a new gap in the moving deviation: 1/4, as in TCP.
const DEVIATION_GAIN: f64 = 0.25;

/// The number of deviations above the mean gap after which a peer counts as slow.
const SLOW_DEVIATIONS: f64 = 4.0;

/// The multiple of the slow time-out after which a silent peer counts as unreachable.
const UNREACHABLE_FACTOR: u32 = 3;

/// The maximum number of extra heartbeats required of a flapping peer before it is alive.
const PENALTY_MAX: u32 = 8;

/// How long a peer must stay alive for its flap penalty to drop by one.
const PENALTY_DECAY: Duration = Duration::from_secs(30);

/// The bounds within which time-outs adapt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeoutBounds {
    /// The heartbeat interval assumed before any heartbeat arrives.
    pub interval: Duration,
    /// The minimum silence after which a peer is slow.
    pub slow_min: Duration,
    /// The maximum silence during which a peer still counts as alive.
    pub slow_max: Duration,
    /// The maximum silence before a peer is unreachable.
    pub unreachable_max: Duration,
}

impl Default for TimeoutBounds {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            slow_min: Duration::from_millis(1_250),
            slow_max: Duration::from_secs(6),
            unreachable_max: Duration::from_secs(15),
        }
    }
}

/// The state of a peer, as judged by its detector.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum PeerState {
    /// The peer isn't monitored: only hints name it, or its link was closed by choice.
    #[display("unheard")]
    Unheard,
    /// Heartbeats arrive in both directions.
    #[display("alive")]
    Alive,
    /// Heartbeats are late, or the peer is recovering; requests in flight may still complete.
    #[display("slow")]
    Slow,
    /// The peer doesn't receive our heartbeats, or is silent without proof of its end.
    #[display("cut-off")]
    CutOff,
    /// The peer's end is proven: its host refuses connections, or it is silent and unlisted.
    #[display("dead")]
    Dead,
    /// The peer sent a goodbye.
    #[display("left")]
    Left,
}

/// How a link or a dial attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum LinkEnd {
    /// The host refused the connection: no process listens.
    #[display("refused")]
    Refused,
    /// The link broke.
    #[display("reset")]
    Reset,
    /// Nothing answered in time.
    #[display("timeout")]
    Timeout,
}

/// How a heartbeat or hello relates to the known incarnation of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// New evidence of the known incarnation.
    Fresh,
    /// An old or repeated heartbeat, which is no evidence.
    Repeated,
    /// The process restarted with a new incarnation.
    Restarted {
        /// The previous incarnation.
        from: Incarnation,
    },
    /// The sender is an older process with the name of a newer one.
    Superseded,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LinkState {
    Unwatched,
    Unlinked,
    Linked,
}

/// Detects failures of one peer from its heartbeats, their echoes and its links.
#[derive(Debug, Clone)]
pub struct Detector {
    timeouts: TimeoutBounds,
    state: PeerState,
    state_since: Time,
    incarnation: Option<Incarnation>,
    seen_seq: u64,
    last_heard: Time,
    mean_gap: f64,
    gap_deviation: f64,
    pending_echoes: VecDeque<(u64, Time)>,
    echoed_seq: u64,
    link: LinkState,
    refused: bool,
    unlisted: bool,
    probation: u32,
    flap_penalty: u32,
}

impl Detector {
    /// Creates a detector for a peer that has sent nothing yet.
    #[must_use]
    pub fn new(timeouts: TimeoutBounds) -> Self {
        let interval = timeouts.interval.as_secs_f64();
        Self {
            timeouts,
            state: PeerState::Unheard,
            state_since: Time::ZERO,
            incarnation: None,
            seen_seq: 0,
            last_heard: Time::ZERO,
            mean_gap: interval,
            gap_deviation: interval / 4.0,
            pending_echoes: VecDeque::new(),
            echoed_seq: 0,
            link: LinkState::Unwatched,
            refused: false,
            unlisted: false,
            probation: 0,
            flap_penalty: 0,
        }
    }

    /// Returns the state as of the last event.
    #[must_use]
    pub const fn state(&self) -> PeerState {
        self.state
    }

    /// Returns the known incarnation of the peer.
    #[must_use]
    pub const fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns the highest sequence number received on the current link.
    #[must_use]
    pub const fn seen_seq(&self) -> u64 {
        self.seen_seq
    }

    /// Returns the highest of our sequence numbers that the peer has echoed on this link.
    #[must_use]
    pub const fn echoed_seq(&self) -> u64 {
        self.echoed_seq
    }

    /// Returns the silence after which the peer is slow.
    #[must_use]
    pub fn slow_after(&self) -> Duration {
        let adapted = Duration::from_secs_f64(self.mean_gap + SLOW_DEVIATIONS * self.gap_deviation);
        adapted.clamp(self.timeouts.slow_min, self.timeouts.slow_max)
    }

    /// Returns the silence after which the peer is unreachable.
    #[must_use]
    pub fn unreachable_after(&self) -> Duration {
        (self.slow_after() * UNREACHABLE_FACTOR).min(self.timeouts.unreachable_max)
    }

    /// Handles a new link on which the peer sent its hello.
    pub fn on_link_up(&mut self, now: Time, incarnation: Incarnation) -> HeartbeatVerdict {
        let verdict = self.check_incarnation(now, incarnation);
        if verdict == HeartbeatVerdict::Superseded {
            return verdict;
        }
        if self.state == PeerState::Left {
            self.set_state(now, PeerState::Slow);
        }
        // Sequence numbers count from 1 on each link.
        self.seen_seq = 0;
        self.pending_echoes.clear();
        self.echoed_seq = 0;
        self.link = LinkState::Linked;
        self.refused = false;
        self.last_heard = now;
        self.update_state(now);
        verdict
    }

    /// Handles the end of the link, or of a dial attempt.
    pub fn on_link_down(&mut self, now: Time, end: LinkEnd) {
        // A node that never accepts a dial must not stay a candidate: its
        // silence counts from the first failure.
        if self.link == LinkState::Unwatched {
            self.last_heard = now;
        }
        self.link = LinkState::Unlinked;
        self.pending_echoes.clear();
        // Only a refusal proves that the process is gone: its host still responds.
        // The network can cause a reset or time-out; counting those as death
        // would make every partition look like a mass failure.
        self.refused |= end == LinkEnd::Refused;
        self.update_state(now);
    }

    /// Stops monitoring the peer, after its link was closed by choice.
    pub fn unwatch(&mut self, now: Time) {
        let fresh = Self::new(self.timeouts);
        *self = Self {
            state: self.state,
            state_since: self.state_since,
            incarnation: self.incarnation,
            unlisted: self.unlisted,
            flap_penalty: self.flap_penalty,
            ..fresh
        };
        self.set_state(now, PeerState::Unheard);
    }

    /// Handles a heartbeat.
    pub fn on_heartbeat(&mut self, now: Time, heartbeat: PeerHeartbeat) -> HeartbeatVerdict {
        let verdict = self.check_incarnation(now, heartbeat.incarnation);
        if verdict == HeartbeatVerdict::Superseded {
            return verdict;
        }
        if heartbeat.seq <= self.seen_seq {
            return HeartbeatVerdict::Repeated;
        }
        self.observe_gap(now);
        self.seen_seq = heartbeat.seq;
        self.last_heard = now;
        self.refused = false;
        self.link = LinkState::Linked;
        self.echoed_seq = self.echoed_seq.max(heartbeat.seen);
        while self
            .pending_echoes
            .front()
            .is_some_and(|a| a.0 <= heartbeat.seen)
        {
            self.pending_echoes.pop_front();
        }
        self.probation = self.probation.saturating_sub(1);
        self.update_state(now);
        verdict
    }

    /// Records a heartbeat sent to the peer, whose echo is then expected.
    pub fn on_heartbeat_sent(&mut self, now: Time, seq: u64) {
        if self.pending_echoes.len() < PENDING_ECHOES_MAX {
            self.pending_echoes.push_back((seq, now));
        }
    }

    /// Handles a goodbye from one incarnation of the peer.
    pub fn on_goodbye(&mut self, now: Time, incarnation: Incarnation) {
        // A late goodbye from an earlier incarnation must not end this one.
        if self.incarnation.is_some_and(|i| i > incarnation) {
            return;
        }
        self.incarnation = Some(incarnation);
        self.link = LinkState::Unlinked;
        self.set_state(now, PeerState::Left);
    }

    /// Sets whether the host list or the settings still name the peer.
    pub fn set_listed(&mut self, now: Time, listed: bool) {
        self.unlisted = !listed;
        self.update_state(now);
    }

    /// Updates the state for the current time and returns it.
    pub fn tick(&mut self, now: Time) -> PeerState {
        self.update_state(now);
        if self.state == PeerState::Alive && now.since(self.state_since) >= PENALTY_DECAY {
            self.flap_penalty = self.flap_penalty.saturating_sub(1);
            self.state_since = now;
        }
        self.state
    }

    /// Returns when silence would next change the state.
    #[must_use]
    pub fn next_check(&self) -> Time {
        let slow = self.last_heard + self.slow_after();
        let gone = self.last_heard + self.unreachable_after();
        let step = Duration::from_micros(1);
        match self.state {
            PeerState::Alive => slow.min(self.echo_deadline()) + step,
            PeerState::Slow => gone.min(self.echo_deadline()) + step,
            _ => Time::NEVER,
        }
    }

    fn check_incarnation(&mut self, now: Time, incarnation: Incarnation) -> HeartbeatVerdict {
        let Some(known) = self.incarnation else {
            self.incarnation = Some(incarnation);
            return HeartbeatVerdict::Fresh;
        };
        if incarnation == known {
            return HeartbeatVerdict::Fresh;
        }
        // A paused process and its replacement may share one name, and the old
        // one has lost its leases. The newer wins until proven gone; then a lower
        // number is accepted, as a clock set back gives one to a live node.
        let over = matches!(self.state, PeerState::Dead | PeerState::Left)
            && now.since(self.state_since) >= self.unreachable_after();
        if incarnation < known && !over {
            return HeartbeatVerdict::Superseded;
        }
        self.restart(now, incarnation);
        HeartbeatVerdict::Restarted { from: known }
    }

    fn restart(&mut self, now: Time, incarnation: Incarnation) {
        let fresh = Self::new(self.timeouts);
        // A restart after a goodbye was planned and says nothing about the network.
        let planned = self.state == PeerState::Left;
        let penalty = (self.flap_penalty + u32::from(!planned)).min(PENALTY_MAX);
        let probation = if planned { 0 } else { penalty };
        *self = Self {
            state: self.state,
            state_since: self.state_since,
            incarnation: Some(incarnation),
            last_heard: now,
            link: LinkState::Linked,
            unlisted: self.unlisted,
            probation,
            flap_penalty: penalty,
            ..fresh
        };
        if self.state == PeerState::Left {
            self.set_state(now, PeerState::Slow);
        }
    }

    fn observe_gap(&mut self, now: Time) {
        if self.seen_seq == 0 {
            return;
        }
        // Capped, since a gap of an hour would otherwise delay the detection of
        // every later failure by minutes.
        let gap = now.since(self.last_heard).min(self.timeouts.slow_max);
        let error = gap.as_secs_f64() - self.mean_gap;
        self.mean_gap += MEAN_GAIN * error;
        self.gap_deviation += DEVIATION_GAIN * (error.abs() - self.gap_deviation);
    }

    fn echo_deadline(&self) -> Time {
        let oldest = self.pending_echoes.front();
        oldest.map_or(Time::NEVER, |a| a.1 + self.unreachable_after())
    }

    fn update_state(&mut self, now: Time) {
        let next = self.evaluate(now);
        self.set_state(now, next);
    }

    fn evaluate(&self, now: Time) -> PeerState {
        if self.state == PeerState::Left {
            return PeerState::Left;
        }
        if self.refused {
            return PeerState::Dead;
        }
        if self.link == LinkState::Unwatched {
            return PeerState::Unheard;
        }
        let silence = now.since(self.last_heard);
        if silence > self.unreachable_after() {
            let ended = self.unlisted || self.state == PeerState::Dead;
            return if ended {
                PeerState::Dead
            } else {
                PeerState::CutOff
            };
        }
        // The peer's heartbeats arrive but ours don't reach it: calls would be
        // lost on the way, so it must not count as alive.
        if now > self.echo_deadline() {
            return PeerState::CutOff;
        }
        if silence > self.slow_after() || self.link == LinkState::Unlinked || self.probation > 0 {
            return PeerState::Slow;
        }
        PeerState::Alive
    }

    fn set_state(&mut self, now: Time, next: PeerState) {
        if next == self.state {
            return;
        }
        if self.state == PeerState::Alive && next != PeerState::Left {
            // Each loss of the alive state lengthens the next probation, which
            // bounds how often a peer on a bad network can flap.
            self.flap_penalty = (self.flap_penalty + 1).min(PENALTY_MAX);
            self.probation = self.flap_penalty;
        }
        self.state = next;
        self.state_since = now;
    }
}
