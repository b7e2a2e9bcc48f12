//! Tells a peer that lives from one that is slow, cut off or dead.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Display;

use super::peer::PeerHeartbeat;
use crate::ids::Incarnation;
use crate::time::Time;

/// Heartbeats sent whose echo is awaited; more add no evidence.
const AWAITED_MAX: usize = 8;

/// The weight of a new gap in the mean: one in eight, as TCP does for round trips.
const MEAN_GAIN: f64 = 0.125;

/// The weight of a new gap in the deviation: one in four.
const DEVIATION_GAIN: f64 = 0.25;

/// Deviations above the mean until a peer counts as slow.
const DEVIATIONS: f64 = 4.0;

/// Timeouts of "slow" that make a silent peer cut off.
const GONE_FACTOR: u32 = 3;

/// The most extra heartbeats that a flapping peer must show before it is alive.
const PENALTY_MAX: u32 = 8;

/// How long a peer must stay alive to have one penalty lifted.
const PENALTY_DECAY: Duration = Duration::from_secs(30);

/// The bounds within which timeouts adapt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The interval expected before any heartbeat was seen.
    pub interval: Duration,
    /// The shortest silence that makes a peer slow.
    pub slow_min: Duration,
    /// The longest silence that a peer survives as alive.
    pub slow_max: Duration,
    /// The longest silence before a peer is cut off.
    pub gone_max: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            slow_min: Duration::from_millis(1_250),
            slow_max: Duration::from_secs(6),
            gone_max: Duration::from_secs(15),
        }
    }
}

/// What is known of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum PeerState {
    /// It isn't watched: only hints name it, or the link was given up.
    #[display("unheard")]
    Unheard,
    /// Its heartbeats come, and it hears ours.
    #[display("alive")]
    Alive,
    /// It is late, or recovering; what it has may still be answered.
    #[display("slow")]
    Slow,
    /// It doesn't hear us, or is silent without a proof of its end.
    #[display("cut-off")]
    CutOff,
    /// Its end is proven: its host refuses connections, or the list dropped it.
    #[display("dead")]
    Dead,
    /// It said goodbye.
    #[display("left")]
    Left,
}

/// How a link or an attempt to dial ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Display)]
pub enum LinkEnd {
    /// The host answered that no process listens.
    #[display("refused")]
    Refused,
    /// The link broke.
    #[display("reset")]
    Reset,
    /// Nothing answered in time.
    #[display("timeout")]
    Timeout,
}

/// What a heartbeat or hello turned out to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// News of the known life.
    Fresh,
    /// An old or repeated heartbeat: no evidence.
    Repeated,
    /// A new life of the process.
    Restarted {
        /// The life before.
        from: Incarnation,
    },
    /// An older process under the name of a newer one.
    Superseded,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Watch {
    Off,
    Unlinked,
    Linked,
}

/// Judges one peer by its heartbeats, its echoes and its links.
#[derive(Debug, Clone)]
pub struct Detector {
    timing: Timing,
    state: PeerState,
    since: Time,
    incarnation: Option<Incarnation>,
    seq: u64,
    heard: Time,
    mean: f64,
    deviation: f64,
    awaited: VecDeque<(u64, Time)>,
    echoed: u64,
    watch: Watch,
    refused: bool,
    unlisted: bool,
    owed: u32,
    penalty: u32,
}

impl Detector {
    /// Starts with a peer that was never heard.
    #[must_use]
    pub fn new(timing: Timing) -> Self {
        let interval = timing.interval.as_secs_f64();
        Self {
            timing,
            state: PeerState::Unheard,
            since: Time::ZERO,
            incarnation: None,
            seq: 0,
            heard: Time::ZERO,
            mean: interval,
            deviation: interval / 4.0,
            awaited: VecDeque::new(),
            echoed: 0,
            watch: Watch::Off,
            refused: false,
            unlisted: false,
            owed: 0,
            penalty: 0,
        }
    }

    /// Returns the state as of the last event.
    #[must_use]
    pub const fn state(&self) -> PeerState {
        self.state
    }

    /// Returns the known life of the peer.
    #[must_use]
    pub const fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns the highest heartbeat seen on the current link.
    #[must_use]
    pub const fn seen(&self) -> u64 {
        self.seq
    }

    /// Returns the highest of our heartbeats that the peer has seen on this link.
    #[must_use]
    pub const fn echoed(&self) -> u64 {
        self.echoed
    }

    /// Returns the silence after which the peer is slow.
    #[must_use]
    pub fn slow_after(&self) -> Duration {
        let adapted = Duration::from_secs_f64(self.mean + DEVIATIONS * self.deviation);
        adapted.clamp(self.timing.slow_min, self.timing.slow_max)
    }

    /// Returns the silence after which the peer is cut off.
    #[must_use]
    pub fn gone_after(&self) -> Duration {
        (self.slow_after() * GONE_FACTOR).min(self.timing.gone_max)
    }

    /// Takes in a new link on which the peer said hello.
    pub fn link_up(&mut self, now: Time, incarnation: Incarnation) -> HeartbeatVerdict {
        let heard = self.admit(now, incarnation);
        if heard == HeartbeatVerdict::Superseded {
            return heard;
        }
        if self.state == PeerState::Left {
            self.set(now, PeerState::Slow);
        }
        // Sequence numbers count from 1 on each link.
        self.seq = 0;
        self.awaited.clear();
        self.echoed = 0;
        self.watch = Watch::Linked;
        self.refused = false;
        self.heard = now;
        self.judge(now);
        heard
    }

    /// Takes in the end of the link, or of an attempt to dial.
    pub fn link_down(&mut self, now: Time, end: LinkEnd) {
        // A node that never answers a dial must not stay a candidate: its
        // silence counts from the first failure.
        if self.watch == Watch::Off {
            self.heard = now;
        }
        self.watch = Watch::Unlinked;
        self.awaited.clear();
        // Only the host itself can refuse: the process is gone while its host
        // answers. A reset or a timeout may be the network's doing, and taking
        // it as death would make every partition look like a mass failure.
        self.refused |= end == LinkEnd::Refused;
        self.judge(now);
    }

    /// Stops watching the peer, for a link given up by choice.
    pub fn unwatch(&mut self, now: Time) {
        let fresh = Self::new(self.timing);
        *self = Self {
            state: self.state,
            since: self.since,
            incarnation: self.incarnation,
            unlisted: self.unlisted,
            penalty: self.penalty,
            ..fresh
        };
        self.set(now, PeerState::Unheard);
    }

    /// Takes in a heartbeat.
    pub fn heard(&mut self, now: Time, beat: PeerHeartbeat) -> HeartbeatVerdict {
        let heard = self.admit(now, beat.incarnation);
        if heard == HeartbeatVerdict::Superseded {
            return heard;
        }
        if beat.seq <= self.seq {
            return HeartbeatVerdict::Repeated;
        }
        self.observe(now);
        self.seq = beat.seq;
        self.heard = now;
        self.refused = false;
        self.watch = Watch::Linked;
        self.echoed = self.echoed.max(beat.seen);
        while self.awaited.front().is_some_and(|a| a.0 <= beat.seen) {
            self.awaited.pop_front();
        }
        self.owed = self.owed.saturating_sub(1);
        self.judge(now);
        heard
    }

    /// Notes a heartbeat sent to the peer, whose echo is then awaited.
    pub fn sent(&mut self, now: Time, seq: u64) {
        if self.awaited.len() < AWAITED_MAX {
            self.awaited.push_back((seq, now));
        }
    }

    /// Takes in a goodbye of one life of the peer.
    pub fn goodbye(&mut self, now: Time, incarnation: Incarnation) {
        // A goodbye of an earlier life, arriving late, must not end this one.
        if self.incarnation.is_some_and(|i| i > incarnation) {
            return;
        }
        self.incarnation = Some(incarnation);
        self.watch = Watch::Unlinked;
        self.set(now, PeerState::Left);
    }

    /// Notes whether the host list or the settings still name the peer.
    pub fn listed(&mut self, now: Time, listed: bool) {
        self.unlisted = !listed;
        self.judge(now);
    }

    /// Moves the state on with time and returns it.
    pub fn tick(&mut self, now: Time) -> PeerState {
        self.judge(now);
        if self.state == PeerState::Alive && now.since(self.since) >= PENALTY_DECAY {
            self.penalty = self.penalty.saturating_sub(1);
            self.since = now;
        }
        self.state
    }

    /// Returns when silence next changes the state.
    #[must_use]
    pub fn next_check(&self) -> Time {
        let slow = self.heard + self.slow_after();
        let gone = self.heard + self.gone_after();
        let step = Duration::from_micros(1);
        match self.state {
            PeerState::Alive => slow.min(self.echo_due()) + step,
            PeerState::Slow => gone.min(self.echo_due()) + step,
            _ => Time::NEVER,
        }
    }

    fn admit(&mut self, now: Time, incarnation: Incarnation) -> HeartbeatVerdict {
        let Some(known) = self.incarnation else {
            self.incarnation = Some(incarnation);
            return HeartbeatVerdict::Fresh;
        };
        if incarnation == known {
            return HeartbeatVerdict::Fresh;
        }
        // Two processes may run under one name: an old one, paused, and its
        // replacement. If both were heeded in turn, work would go to a process
        // that has lost its leases. The newer life wins while it isn't proven
        // gone. Afterwards an older number is let in, since a clock set back
        // between two starts gives one, and refusing it would keep a live node
        // out for good.
        let over = matches!(self.state, PeerState::Dead | PeerState::Left)
            && now.since(self.since) >= self.gone_after();
        if incarnation < known && !over {
            return HeartbeatVerdict::Superseded;
        }
        self.begin(now, incarnation);
        HeartbeatVerdict::Restarted { from: known }
    }

    fn begin(&mut self, now: Time, incarnation: Incarnation) {
        let fresh = Self::new(self.timing);
        // A restart after a goodbye was planned and tells nothing of the network.
        let planned = self.state == PeerState::Left;
        let penalty = (self.penalty + u32::from(!planned)).min(PENALTY_MAX);
        let owed = if planned { 0 } else { penalty };
        *self = Self {
            state: self.state,
            since: self.since,
            incarnation: Some(incarnation),
            heard: now,
            watch: Watch::Linked,
            unlisted: self.unlisted,
            owed,
            penalty,
            ..fresh
        };
        if self.state == PeerState::Left {
            self.set(now, PeerState::Slow);
        }
    }

    fn observe(&mut self, now: Time) {
        if self.seq == 0 {
            return;
        }
        // A pause of an hour would otherwise make every later death take
        // minutes to see.
        let gap = now.since(self.heard).min(self.timing.slow_max);
        let error = gap.as_secs_f64() - self.mean;
        self.mean += MEAN_GAIN * error;
        self.deviation += DEVIATION_GAIN * (error.abs() - self.deviation);
    }

    fn echo_due(&self) -> Time {
        let oldest = self.awaited.front();
        oldest.map_or(Time::NEVER, |a| a.1 + self.gone_after())
    }

    fn judge(&mut self, now: Time) {
        let next = self.verdict(now);
        self.set(now, next);
    }

    fn verdict(&self, now: Time) -> PeerState {
        if self.state == PeerState::Left {
            return PeerState::Left;
        }
        if self.refused {
            return PeerState::Dead;
        }
        if self.watch == Watch::Off {
            return PeerState::Unheard;
        }
        let silence = now.since(self.heard);
        if silence > self.gone_after() {
            let ended = self.unlisted || self.state == PeerState::Dead;
            return if ended {
                PeerState::Dead
            } else {
                PeerState::CutOff
            };
        }
        // Its heartbeats come but ours don't reach it: calls would be lost on
        // the way, so it must not look alive.
        if now > self.echo_due() {
            return PeerState::CutOff;
        }
        if silence > self.slow_after() || self.watch == Watch::Unlinked || self.owed > 0 {
            return PeerState::Slow;
        }
        PeerState::Alive
    }

    fn set(&mut self, now: Time, next: PeerState) {
        if next == self.state {
            return;
        }
        if self.state == PeerState::Alive && next != PeerState::Left {
            // Each loss of "alive" makes the next return dearer, which bounds
            // how often a peer on a bad network can flap.
            self.penalty = (self.penalty + 1).min(PENALTY_MAX);
            self.owed = self.penalty;
        }
        self.state = next;
        self.since = now;
    }
}
